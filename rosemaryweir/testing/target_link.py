"""Executes the target actions of processes on fake targets."""

from collections.abc import Callable
from itertools import chain
from random import Random
from typing import Any

from rosemaryweir.node.action import (
    CancelAttempt,
    CloseConnection,
    OpenConnection,
    ProbeTarget,
    SendTarget,
)
from rosemaryweir.node.event import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    Event,
    TargetHealth,
)
from rosemaryweir.schema.generated.config import Config, Service
from rosemaryweir.testing.fake_target import (
    FakeTarget,
    ServiceTime,
    TargetSpec,
)
from rosemaryweir.testing.network import OTHER_DOMAIN_DELAY_S, Network
from rosemaryweir.testing.process import Process
from rosemaryweir.testing.scheduler import Scheduler

__all__ = ['TargetLink']

#: Time until a refused connection is reported, in seconds.
REFUSAL_DELAY_S = 0.001
MS_PER_SECOND = 1000.0


class TargetLink:
    """Implements the target port of every process.

    Parameters
    ----------
    scheduler : Scheduler
        Virtual time.
    network : Network
        Delays and partitions.
    deliver : callable
        Called as ``(process, event)`` for each event of a target.
    config : Config
        Configuration with the failure domain of each target.
    service_time : callable
        ``rng -> seconds`` for the targets that `add` creates.
    target_type : type
        Class of the targets that `add` creates.

    Attributes
    ----------
    targets : dict of str to FakeTarget
        Fake targets by name.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        deliver: Callable[[Process, Event], None],
        config: Config,
        service_time: ServiceTime,
        target_type: type[FakeTarget] = FakeTarget,
    ) -> None:
        self.scheduler = scheduler
        self.network = network
        self.deliver = deliver
        self.config = config
        self.service_time = service_time
        self.target_type = target_type
        self.targets: dict[str, FakeTarget] = {}
        self._handlers: dict[type, Callable[[Process, Any], None]] = {
            OpenConnection: self._open,
            CloseConnection: self._close,
            SendTarget: self._send_target,
            CancelAttempt: self._cancel,
            ProbeTarget: self._probe,
        }

    def add(self, config: Config, rng: Random) -> None:
        """Create fakes for the new targets of a configuration."""
        for service in config['services'].values():
            spec = self._spec(service)
            for name in chain.from_iterable(
                shard['targets'] for shard in service['shards'].values()
            ):
                if name not in self.targets:
                    target_rng = Random(rng.getrandbits(32))
                    self.targets[name] = self.target_type(
                        name, spec, self.scheduler, target_rng
                    )
                    self.targets[name].layout = service['layout']

    def call(self, process: Process, action: Any) -> None:
        """Execute a target action of a process."""
        self._handlers[type(action)](process, action)

    def _spec(self, service: Service) -> TargetSpec:
        return TargetSpec(
            service['slots'],
            service['connections'],
            service['connect_ms'] / MS_PER_SECOND,
            service['cold_slots'],
            service['warm_after'],
            self.service_time,
        )

    def _target_delay(self, process: Process, target: str) -> float | None:
        known = self.config['targets'].get(target)
        domain = known['domain'] if known else ''
        return self.network.target_delay(process.settings, domain)

    def _open(self, process: Process, action: OpenConnection) -> None:
        process.conns[action.conn] = action.target
        target = self.targets.get(action.target)
        delay = self._target_delay(process, action.target)
        left = action.deadline - process.offset - self.scheduler.now
        if target is None or delay is None:
            self._fail(process, action, 'timeout', left)
            return
        cost = delay * 2 + target.spec.connect_time
        if cost > left:
            self._fail(process, action, 'timeout', left)
            return
        self.scheduler.after(cost, self._opened, process, action, target)

    def _opened(
        self,
        process: Process,
        action: OpenConnection,
        target: FakeTarget,
    ) -> None:
        if action.conn not in process.conns or not process.alive:
            return
        reason = target.open(
            (process.name, action.conn),
            lambda event: self._deliver_from_target(process, event),
        )
        if reason:
            self._fail(process, action, reason, REFUSAL_DELAY_S)
        else:
            self.deliver(process, ConnectionOpened(action.conn, action.target))

    def _fail(
        self,
        process: Process,
        action: OpenConnection,
        reason: str,
        delay: float,
    ) -> None:
        event = ConnectionFailed(action.conn, action.target, reason)
        self.scheduler.after(max(delay, 0), self._failed, process, event)

    def _failed(self, process: Process, event: ConnectionFailed) -> None:
        if process.conns.pop(event.conn, None) is not None:
            self.deliver(process, event)

    def _deliver_from_target(self, process: Process, event: Event) -> None:
        conn = getattr(event, 'conn', None)
        if conn not in process.conns:
            return
        if self._target_delay(process, process.conns[conn]) is None:
            return
        if isinstance(event, ConnectionClosed):
            process.conns.pop(conn)
        self.deliver(process, event)

    def _close(self, process: Process, action: CloseConnection) -> None:
        target = self.targets.get(process.conns.pop(action.conn, ''))
        if target is not None:
            conn = (process.name, action.conn)
            self.scheduler.after(OTHER_DOMAIN_DELAY_S, target.hang_up, conn)

    def _send_target(self, process: Process, action: SendTarget) -> None:
        name = process.conns.get(action.conn, '')
        delay = self._target_delay(process, name)
        if name not in self.targets or delay is None:
            return
        left = action.deadline - process.offset - self.scheduler.now
        self.scheduler.after(
            delay,
            self.targets[name].receive,
            (process.name, action.conn),
            process.name,
            action,
            left - delay,
        )

    def _cancel(self, process: Process, action: CancelAttempt) -> None:
        target = self.targets.get(action.target)
        delay = self._target_delay(process, action.target)
        if target is not None and delay is not None:
            self.scheduler.after(delay, target.cancel, action.attempt)

    def _probe(self, process: Process, action: ProbeTarget) -> None:
        target = self.targets.get(action.target)
        delay = self._target_delay(process, action.target)
        if target is None or delay is None or not target.up:
            event = TargetHealth(action.target, 'unreachable', 0.0, 0)
        else:
            state = 'draining' if target.draining else 'ready'
            load = len(target.running) / target.spec.slots
            event = TargetHealth(
                action.target,
                state,
                load,
                target.incarnation,
            )
        self.scheduler.after(
            OTHER_DOMAIN_DELAY_S * 2, self.deliver, process, event
        )

"""Simulates whole VMs in virtual time, over the fakes of the four ports.

A `Cluster` composes the nodes of its VMs, delivers messages between them with
delay and loss, and records what the fakes received: callers' answers, targets'
runs, the store's history.  Each process has its own monotonic clock with a
fixed offset, so that a bug that sends a monotonic time to another process
changes the result.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from rosemaryweir import compose
from rosemaryweir.node.action import (
    Action,
    Exit,
    LogEvent,
    ReplyCaller,
    SendPeer,
    StopListening,
)
from rosemaryweir.node.event import (
    CallerGone,
    CallerRequest,
    Event,
    ShutdownAsked,
    Wake,
)
from rosemaryweir.node.node import Node
from rosemaryweir.node.ports import STORE_CALLS, TARGET_CALLS
from rosemaryweir.node.state import NodeUid
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.schema.generated.settings import Settings
from rosemaryweir.testing.deployment import Deployment, config_of, vm_settings
from rosemaryweir.testing.fake_store import FakeStore
from rosemaryweir.testing.fake_target import (
    FakeTarget,
    ServiceTime,
    exponential,
)
from rosemaryweir.testing.network import CALLER_DELAY_S, Network
from rosemaryweir.testing.peer_link import PeerLink
from rosemaryweir.testing.process import Ask, Logged, Process, static_node
from rosemaryweir.testing.scheduler import Scheduler
from rosemaryweir.testing.target_link import TargetLink

__all__ = ['Cluster']

#: Wall-clock time at virtual time 0, in seconds since the Unix epoch.
EPOCH_S = 1_800_000_000.0
MS_PER_SECOND = 1000.0

#: Delay added to each wake so that rounding never makes it early.
WAKE_MARGIN_S = 1e-9


class Cluster:
    """Simulates VMs, targets and a store in virtual time.

    Parameters
    ----------
    settings : list of Settings
        Settings of each VM.
    config : Config
        Configuration that lists the targets; with `static` it is in force
        from the start.
    seed : int
        Seed of all random numbers.
    static : bool
        Run no agents: every entry and leaf starts with the configuration,
        the views and a lease that never ends.  For tests of the entry and
        leaf alone.
    service_time : callable, optional
        ``rng -> seconds`` for all targets; by default exponential with a
        median of 10 ms.
    size_of : callable, optional
        Returns the size of a message in bytes; messages between processes
        are counted only if it is given.

    Attributes
    ----------
    target_type : type
        Class of the fake targets.
    targets : dict of str to FakeTarget
        Fake targets by name.
    store : FakeStore
        Fake store.
    network : Network
        Partitions, loss and delay.
    asks : list of Ask
        All requests of callers.
    logs : list of Logged
        All log events of all processes.
    peers : PeerLink
        Delivers and counts messages between processes.
    """

    target_type = FakeTarget

    def __init__(
        self,
        settings: list[Settings],
        config: Config,
        seed: int = 1,
        static: bool = False,
        service_time: ServiceTime | None = None,
        size_of: Callable[[Any], int] | None = None,
    ) -> None:
        self.scheduler = Scheduler()
        self.rng = Random(seed)
        self.static = static
        self.config = config
        self.settings = {each['vm']: each for each in settings}
        self.store = FakeStore(self.scheduler, Random(seed + 1))
        self.store.live = tuple(self.settings)
        self.network = Network(self.rng)
        self.link = TargetLink(
            self.scheduler,
            self.network,
            self.deliver,
            config,
            service_time or exponential(0.01),
            self.target_type,
        )
        self.targets = self.link.targets
        self.peers = PeerLink(
            self.scheduler,
            self.network,
            self._deliver_message,
            size_of,
        )
        self.asks: list[Ask] = []
        self.logs: list[Logged] = []
        self.processes: dict[str, Process] = {}
        self._ask_count = 0
        self.link.add(config, self.rng)
        for each in settings:
            self.start_vm(each)

    @classmethod
    def from_deployment(
        cls,
        deployment: Deployment,
        vms: int,
        **options: Any,
    ) -> 'Cluster':
        """Return a cluster with a number of VMs of a deployment."""
        settings = vm_settings(deployment, vms)
        return cls(settings, config_of(deployment), **options)

    # Time

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""
        return self.scheduler.now

    def run(self, seconds: float) -> None:
        """Advance virtual time by a number of seconds."""
        self.scheduler.run(self.scheduler.now + seconds)

    @property
    def cuts(self) -> set[frozenset[str]]:
        """Pairs of VMs or failure domains that can't reach each other."""
        return self.network.cuts

    @property
    def loss(self) -> float:
        """Share of messages between processes that are lost."""
        return self.network.loss

    @loss.setter
    def loss(self, share: float) -> None:
        self.network.loss = share

    @property
    def sent_bytes(self) -> dict[str, int]:
        """Bytes sent to other processes, by the name of the sender."""
        return self.peers.sent_bytes

    # VMs

    def start_vm(self, settings: Settings) -> None:
        """Start the processes of a VM."""
        self.settings[settings['vm']] = settings
        roles = ('entry', 'leaf') if self.static else compose.ROLES
        for role in roles:
            self.start_process(settings, role)

    def start_process(self, settings: Settings, role: str) -> Process:
        """Start one process as a new incarnation."""
        incarnation = int((EPOCH_S + self.now) * MS_PER_SECOND) + 1
        rng = Random(self.rng.getrandbits(32))
        if self.static:
            uid = NodeUid(settings['vm'], role, incarnation)
            node = static_node(uid, self.settings, self.config, rng)
        else:
            node = Node.from_config(settings, role, incarnation, rng)
        process = Process(node, settings, self.rng.uniform(1, 1000))
        self.processes[process.name] = process
        self.peers.add(process)
        self.scheduler.after(0, self._schedule_wake, process)
        return process

    def kill_vm(self, vm: str) -> None:
        """Kill the processes of a VM without a shutdown."""
        for role in compose.ROLES:
            name = f'{vm}/{role}'
            if name in self.processes:
                self.kill(name)

    def kill(self, name: str) -> None:
        """Kill a process: connections close, open requests get no answer."""
        process = self.processes[name]
        process.alive = False
        for ask in process.asks.values():
            ask.cut = True
        process.asks.clear()
        self.store.forget(name)
        for conn, target in process.conns.items():
            known = self.targets.get(target)
            if known is not None:
                known.hang_up((name, conn))

    def pause(self, *names: str) -> None:
        """Suspend processes; events for them are queued."""
        for name in names:
            self.processes[name].paused = True

    def resume(self, *names: str) -> None:
        """Resume suspended processes and deliver the queued events."""
        for name in names:
            process = self.processes[name]
            process.paused = False
            backlog = process.backlog
            process.backlog = []
            for event in backlog:
                self.deliver(process, event)
            self._wake(process, process.wake_at)

    def shutdown_vm(self, vm: str) -> None:
        """Request a graceful shutdown of the processes of a VM."""
        for role in compose.ROLES:
            process = self.processes.get(f'{vm}/{role}')
            if process is not None:
                self.deliver(process, ShutdownAsked())

    def set_config(self, config: Config) -> None:
        """Apply a configuration to every node of a static cluster."""
        self.config = config
        self.link.config = config
        self.add_targets(config)
        for process in self.processes.values():
            process.node.state.take_config(config)

    def add_targets(self, config: Config) -> None:
        """Create fakes for the new targets of a configuration."""
        self.link.add(config, self.rng)

    # Callers

    def ask(
        self,
        vm: str,
        topic: str,
        body: Any,
        role: str = 'entry',
        on_answer: Callable[[Ask], None] | None = None,
    ) -> Ask:
        """Send a request to a VM as a caller; return its record."""
        ask = Ask(vm, topic, body, self.now)
        ask.on_answer = on_answer
        self.asks.append(ask)
        self._ask_count += 1
        self.scheduler.after(
            CALLER_DELAY_S,
            self._deliver_ask,
            f'{vm}/{role}',
            self._ask_count,
            ask,
        )
        return ask

    def hang_up(self, ask: Ask) -> None:
        """Close the caller's connection while its request is open."""
        for process in self.processes.values():
            for req, known in tuple(process.asks.items()):
                if known is ask:
                    process.asks.pop(req)
                    self.deliver(process, CallerGone(req, ask.topic))

    def deliver(self, process: Process, event: Event) -> None:
        """Let a process handle an event, unless it has ended."""
        if not process.alive:
            return
        if process.paused:
            process.backlog.append(event)
            return
        now = self.now + process.offset
        self._execute(process, process.node.handle(event, now))
        self._schedule_wake(process)

    # Internals

    def _deliver_message(self, process: Process, event: Event) -> None:
        # Looks `deliver` up at each message, because observers wrap it.
        self.deliver(process, event)

    def _deliver_ask(self, name: str, req: int, ask: Ask) -> None:
        process = self.processes.get(name)
        if process is None or not (process.alive and process.listens):
            ask.cut = True
            ask.refused = True
            if ask.on_answer is not None:
                ask.on_answer(ask)
            return
        process.asks[req] = ask
        wall = EPOCH_S + self.now
        event = CallerRequest(req, ask.topic, ask.body, wall)
        self.deliver(process, event)

    def _schedule_wake(self, process: Process) -> None:
        if not process.alive:
            return
        wake = process.node.next_wake()
        if wake is None:
            return
        when = max(wake - process.offset + WAKE_MARGIN_S, self.now)
        if process.wake_at is None or when < process.wake_at:
            process.wake_at = when
            self.scheduler.at(when, self._wake, process, when)

    def _wake(self, process: Process, when: float | None) -> None:
        if process.paused or when is None or process.wake_at != when:
            return
        process.wake_at = None
        self.deliver(process, Wake())

    def _execute(self, process: Process, actions: list[Action]) -> None:
        for action in actions:
            handler = _HANDLERS.get(type(action))
            if handler is not None:
                handler(self, process, action)

    def _reply(self, process: Process, action: ReplyCaller) -> None:
        ask = process.asks.pop(action.req, None)
        if ask is not None:
            self.scheduler.after(
                CALLER_DELAY_S, self._deliver_answer, ask, action
            )

    def _deliver_answer(self, ask: Ask, action: ReplyCaller) -> None:
        ask.status = action.status
        ask.answer = action.body
        ask.answered = self.now
        if ask.on_answer is not None:
            ask.on_answer(ask)

    def _log(self, process: Process, action: LogEvent) -> None:
        self.logs.append(Logged(self.now, process.name, action))

    def _stop_listening(self, process: Process, action: StopListening) -> None:
        process.listens = False

    def _exit(self, process: Process, action: Exit) -> None:
        process.exit_code = action.code
        self.kill(process.name)

    def _store_call(self, process: Process, action: Any) -> None:
        self.store.call(
            process.name,
            action,
            lambda event: self.deliver(process, event),
        )

    def _target_call(self, process: Process, action: Any) -> None:
        self.link.call(process, action)

    def _send_peer(self, process: Process, action: SendPeer) -> None:
        self.peers.send(process, action)


_HANDLERS: dict[type, Callable[[Cluster, Process, Any], None]] = {
    ReplyCaller: Cluster._reply,
    LogEvent: Cluster._log,
    StopListening: Cluster._stop_listening,
    Exit: Cluster._exit,
    SendPeer: Cluster._send_peer,
    **dict.fromkeys(TARGET_CALLS, Cluster._target_call),
    **dict.fromkeys(STORE_CALLS, Cluster._store_call),
}

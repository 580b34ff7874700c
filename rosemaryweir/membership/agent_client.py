"""Client of the VM's agent: keeps lease, configuration and views current."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from random import Random
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure

from rosemaryweir.config.delta import HashedConfig, apply_deltas, hash_config
from rosemaryweir.membership.timing import HELLO_INTERVAL_S
from rosemaryweir.node.action import Action, LogEvent, SendPeer
from rosemaryweir.node.event import PeerMessage, ShutdownAsked
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import Lease, NodeState
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.schema.generated.control import (
    Configured,
    Delta,
    Grant,
    Hello,
    Viewed,
)
from rosemaryweir.telemetry.log_events import register_event

__all__ = ['AgentClient']

CONFIG_TAKEN = register_event(
    600,
    'client.config_taken',
    'info',
    'A newer configuration is now in force in this process.',
)
CONFIG_UNREADABLE = register_event(
    602,
    'client.config_unreadable',
    'error',
    'The agent sent a configuration that this process cannot decode; the one '
    'in force stays. Check whether the processes on the VM are of different '
    'releases.',
)
LEASE_CHANGED = register_event(
    601,
    'client.lease_changed',
    'warning',
    'The lease permits new work again, no longer permits it, or is refused '
    'for another reason than before; `fenced` means that nothing proves that '
    'this process has the newest views and configuration.',
)

DELTA_REFUSED = register_event(
    603,
    'client.delta_refused',
    'warning',
    'Configuration deltas had a missing link, were unreadable, or did not give '
    'the expected digest; none was applied, and the agent is asked for the '
    'whole configuration.',
)
#: Lease reasons that permit new work.
VALID_LEASE_REASONS = frozenset(('store', 'quorum'))
#: Latest hellos that are kept to match grants against.
MAX_OPEN_HELLOS = 16


class LatestGrant(NamedTuple):
    """End, generation and reason of the latest grant."""

    until: float = 0.0
    generation: int = 0
    reason: str = 'starting'


@part_of('entry', 'leaf')
class AgentClient(Part):
    """Send hellos to the agent of the VM and apply its answers.

    Notes
    -----
    A lease starts when the hello that it answers was sent, so that the time
    a grant spends in transit, or in the queue of a paused process, can only
    shorten it.  A grant for a generation above the one in force permits no
    new work until that configuration has arrived.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self._sequence = 0
        self._last_granted = 0
        self._sent_hellos: dict[int, float] = {}
        self._takeovers: dict[str, int] = {}
        self._granted = LatestGrant()
        self._held = hash_config(state.config)
        self._takes_deltas = True
        self._due = 0.0

    def next_wake(self) -> float | None:
        """Return the time of the next hello."""
        return self._due

    def wake(self, now: float) -> Iterable[Action]:
        """Send a hello."""
        self._due = now + HELLO_INTERVAL_S
        return (self._hello(now),)

    @handles(ShutdownAsked)
    def shut_down(self, event: ShutdownAsked, now: float) -> Iterator[Action]:
        """Notify the agent at once that this process is shutting down."""
        yield self._hello(now)

    @handles(PeerMessage, 'grant')
    def take_grant(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Apply the lease of a grant, unless a later one was applied."""
        grant: Grant = event.message  # type: ignore[assignment]
        sent = self._sent_hellos.get(grant['sequence'])
        stale = grant['sequence'] <= self._last_granted
        if stale or sent is None or not self._is_agent(event):
            return
        self._last_granted = grant['sequence']
        self._granted = LatestGrant(
            sent + grant['lease_ms'] / 1000 if grant['lease_ms'] else 0.0,
            max(grant['generation'], self._granted.generation),
            grant['reason'],
        )
        self.state.suspended = frozenset(grant['suspended'])
        yield from self._renew()

    @handles(PeerMessage, 'configured')
    def take_config(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Apply a newer configuration."""
        message: Configured = event.message  # type: ignore[assignment]
        known = self.state.config['generation']
        if message['generation'] <= known or not self._is_agent(event):
            return
        if 'deltas' in message:
            yield from self._take_deltas(message['deltas'], now)
            return
        try:
            config = msgspec.json.decode(message['content'], type=Config)
        except msgspec.MsgspecError as exc:
            yield LogEvent(CONFIG_UNREADABLE, {'error': str(exc)})
            return
        yield from self._put_in_force(hash_config(config))

    @handles(PeerMessage, 'viewed')
    def take_views(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Adopt newer views; record which takeover times are known."""
        message: Viewed = event.message  # type: ignore[assignment]
        if self._is_agent(event):
            for view in message['views']:
                self.state.take_view(view)
            self._record_takeovers(message['takeover'])
        return ()

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the time left of the lease and what limits it."""
        return {
            'lease_ms': round(1000 * max(0.0, self.state.lease.until - now)),
            'granted_generation': self._granted.generation,
            'suspended': sorted(self.state.suspended),
        }

    def _record_takeovers(self, takeover: Mapping[str, float]) -> None:
        versions = self.state.view_versions()
        known = {
            domain: versions[domain]
            for domain, wait in takeover.items()
            if wait >= 0 and domain in versions
        }
        self._takeovers.update(known)

    def _take_deltas(
        self,
        deltas: Sequence[Delta],
        now: float,
    ) -> Iterator[Action]:
        if self._held.config is not self.state.config:
            self._held = hash_config(self.state.config)
        made = apply_deltas(deltas, self._held)
        if isinstance(made, Failure):
            self._takes_deltas = False
            yield LogEvent(DELTA_REFUSED, {'reason': made.failure()})
            yield self._hello(now)
            return
        yield from self._put_in_force(made.unwrap())

    def _put_in_force(self, held: HashedConfig) -> Iterator[Action]:
        self._held = held
        self._takes_deltas = True
        self.state.take_config(held.config)
        generation = held.config['generation']
        yield LogEvent(CONFIG_TAKEN, {'generation': generation})
        yield from self._renew()

    def _renew(self) -> Iterator[Action]:
        before = self.state.lease.reason
        if self._granted.generation > self.state.config['generation']:
            self.state.lease = Lease(0.0, 'configuring')
        else:
            self.state.lease = Lease(
                self._granted.until,
                self._granted.reason,
            )
        after = self.state.lease.reason
        if before != after and not VALID_LEASE_REASONS >= {before, after}:
            yield LogEvent(LEASE_CHANGED, {'before': before, 'after': after})

    def _is_agent(self, event: PeerMessage) -> bool:
        return event.sender == f'{self.state.uid.vm}/agent'

    def _hello(self, now: float) -> SendPeer:
        self._sequence += 1
        self._sent_hellos[self._sequence] = now
        self._sent_hellos.pop(self._sequence - MAX_OPEN_HELLOS, None)
        state = self.state
        hello = Hello(
            kind='hello',
            role=state.uid.role,  # type: ignore[typeddict-item]
            sequence=self._sequence,
            generation=state.config['generation'],
            views=dict(state.view_versions()),
            takeovers=dict(self._takeovers),
            load=state.load,
            in_flight=state.in_flight,
            leaving=state.leaving,
            deltas=self._takes_deltas,
        )
        return SendPeer(
            f'{state.uid.vm}/agent',
            state.settings['addresses']['agent_peer'],
            hello,
            now + HELLO_INTERVAL_S,
        )

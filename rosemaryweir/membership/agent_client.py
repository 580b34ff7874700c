"""The agent's client: lease, configuration and views of an entry or leaf."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from random import Random
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure

from rosemaryweir.config.delta import HashedConfig, apply_deltas, hash_config
from rosemaryweir.membership.timing import HELLO_INTERVAL_S
from rosemaryweir.node.action import Action, LogEvent, SendPeer
from rosemaryweir.node.event import PeerMessage, ShutdownAsked
from rosemaryweir.node.log_events import register_event
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

__all__ = ['AgentClient']

CONFIG_TAKEN = register_event(
    600,
    'client.config_taken',
    'info',
    'A newer configuration is in force in this process.',
)
CONFIG_UNREADABLE = register_event(
    602,
    'client.config_unreadable',
    'error',
    'The agent sent a configuration that this process can not read; what is '
    'in force stays. Look for processes of different releases on the VM.',
)
LEASE_CHANGED = register_event(
    601,
    'client.lease_changed',
    'warning',
    'New work may start again, or no longer, or waits for another reason; '
    '`fenced` means that there is no evidence that nothing newer exists.',
)

DELTA_REFUSED = register_event(
    603,
    'client.delta_refused',
    'warning',
    'A change of the configuration did not lead to what it promises; nothing '
    'of it was applied, the agent is asked for the whole.',
)
#: Reasons of a lease that permits new work.
HOLDING = frozenset(('store', 'quorum'))
#: Hellos that a grant may still answer.
HELLOS_KEPT = 16


class Granted(NamedTuple):
    """The latest grant: when it ends and what it permits."""

    until: float = 0.0
    generation: int = 0
    reason: str = 'starting'


@part_of('entry', 'leaf')
class AgentClient(Part):
    """Say hello to the agent of the VM, take what it grants.

    Notes
    -----
    A lease counts from the sending of the hello that it answers, so that the
    time a grant spends on its way, or in the queue of a paused process, only
    shortens it.  A grant of a generation above the one in force permits
    nothing until that configuration has come.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self._sequence = 0
        self._taken = 0
        self._sent: dict[int, float] = {}
        self._takeovers: dict[str, int] = {}
        self._granted = Granted()
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
        """Tell the agent at once that this process is leaving."""
        yield self._hello(now)

    @handles(PeerMessage, 'grant')
    def take_grant(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Take the lease of a grant, unless a later one has come."""
        grant: Grant = event.message  # type: ignore[assignment]
        sent = self._sent.get(grant['sequence'])
        stale = grant['sequence'] <= self._taken
        if stale or sent is None or not self._is_agent(event):
            return
        self._taken = grant['sequence']
        self._granted = Granted(
            sent + grant['lease_ms'] / 1000 if grant['lease_ms'] else 0.0,
            max(grant['generation'], self._granted.generation),
            grant['reason'],
        )
        self.state.suspended = frozenset(grant['suspended'])
        yield from self._renew()

    @handles(PeerMessage, 'configured')
    def take_config(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Put a newer configuration in force."""
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
        """Take newer views."""
        message: Viewed = event.message  # type: ignore[assignment]
        if self._is_agent(event):
            for view in message['views']:
                self.state.take_view(view)
            self._note_takeovers(message['takeover'])
        return ()

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the lease and what it waits for."""
        return {
            'lease_ms': round(1000 * max(0.0, self.state.lease.until - now)),
            'granted_generation': self._granted.generation,
            'suspended': sorted(self.state.suspended),
        }

    def _note_takeovers(self, takeover: Mapping[str, float]) -> None:
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
        if before != after and not HOLDING >= {before, after}:
            yield LogEvent(LEASE_CHANGED, {'before': before, 'after': after})

    def _is_agent(self, event: PeerMessage) -> bool:
        return event.sender == f'{self.state.uid.vm}/agent'

    def _hello(self, now: float) -> SendPeer:
        self._sequence += 1
        self._sent[self._sequence] = now
        self._sent.pop(self._sequence - HELLOS_KEPT, None)
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

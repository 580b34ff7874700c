"""The part of a leaf that owns targets."""

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

from rosemaryweir.node.action import (
    Action,
    ListPlatform,
)
from rosemaryweir.node.event import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    PeerMessage,
    PlatformList,
    ShutdownAsked,
    TargetHealth,
    TargetReply,
)
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.targets.dispatcher import Dispatcher
from rosemaryweir.targets.exclusions import Exclusions
from rosemaryweir.targets.gate import Gate
from rosemaryweir.targets.handover import Handover
from rosemaryweir.targets.leaf_outbox import LeafOutbox
from rosemaryweir.targets.leaf_target_registry import LeafTargetRegistry
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.outcome import Outcome
from rosemaryweir.targets.releases import Releases
from rosemaryweir.targets.results import Route
from rosemaryweir.targets.target_attempt import MAX_WORK, TargetAttempt
from rosemaryweir.targets.timers import Timers
from rosemaryweir.targets.upkeep import Upkeep

__all__ = ['TargetService']

MS_PER_S = 1000.0
#: Time between looks at lease, releases and withdrawn targets, in s.
TICK = 0.1
#: Time between two looks at the platform's list, in s.
LIST_EVERY = 2.0
#: Longest wait at shutdown for the views to leave this VM out, in s.
LEAVE_WITHIN = 5.0


@part_of('leaf')
class TargetService(Part):
    """Runs attempts at the targets that this leaf owns.

    Notes
    -----
    Every handler first follows configuration and views, then changes the
    target states, and last collects the actions that this caused.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.timers = Timers()
        self.exclusions = Exclusions()
        self.releases = Releases()
        self.handover = Handover(state.uid.vm, float('inf'))
        self.registry = LeafTargetRegistry(
            state, self.handover, self.exclusions
        )
        self.gate = Gate(state, self.exclusions, self.handover)
        self.outbox = LeafOutbox(
            state, self.timers, self.registry.target_states
        )
        self.dispatcher = Dispatcher(
            self.gate,
            self.timers,
            self.outbox.settle,
        )
        self.upkeep = Upkeep(self.gate, self.dispatcher, rng)
        self._leaving_since = float('inf')

    def next_wake(self) -> float | None:
        """Return the time of the next timer."""
        due = self.timers.next_due()
        return 0.0 if due is None else due

    def wake(self, now: float) -> Iterable[Action]:
        """Run the timers that are due."""
        self._follow(now)
        for handler, subject in self.timers.due(now):
            handler(subject, now)
        return self._collect()

    @handles(PeerMessage, 'sub_query')
    def sub_query(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Run the attempts of a query."""
        self._follow(now)
        message = event.message
        pieces = message['pieces']
        remaining = message['remaining_ms'] / MS_PER_S
        deadline = now + min(remaining, MAX_WORK)
        batch = self.outbox.batch(event.sender, message['query'], deadline)
        batch.pending += len(pieces)
        for piece in pieces:
            body = {
                'shard': piece['shard'],
                'layout': message['layout'],
                'version': message['version'],
                'text': message['text'],
            }
            attempt = TargetAttempt(
                'query',
                piece['attempt'],
                piece['target'],
                piece['shard'],
                body,
                now,
                deadline,
                batch,
            )
            self._submit(attempt, now)
        return self._collect()

    @handles(PeerMessage, 'cancel_query')
    def cancel_query(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Drop attempts."""
        self._follow(now)
        for attempt_id in event.message['attempts']:
            attempt = self.dispatcher.attempts.get(attempt_id)
            if (
                attempt is not None
                and attempt.kind == 'query'
                and attempt.batch
            ):
                target_state = self.registry.target_states[attempt.target]
                self.dispatcher.cancel(target_state, attempt, now)
        return self._collect()

    @handles(PeerMessage, 'order_send')
    def order_send(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Send an order, at most once."""
        self._follow(now)
        message = event.message
        attempt_id = message['attempt']
        remaining = message['remaining_ms'] / MS_PER_S
        deadline = now + min(remaining, MAX_WORK)
        if self.outbox.orders.begin(attempt_id, deadline, now):
            body = {
                'order_key': message['order_key'],
                'body': message['body'],
            }
            attempt = TargetAttempt(
                'order',
                attempt_id,
                message['target'],
                message['order_key'],
                body,
                now,
                deadline,
                Route(event.sender, message['order_key']),
            )
            self._submit(attempt, now)
        else:
            result = self.outbox.orders.result(attempt_id)
            if result is not None:
                self.outbox.send(event.sender, result, now)
        return self._collect()

    @handles(PeerMessage, 'grant')
    def granted(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Look at the lease that the agent's client has taken."""
        self.handover.observe(self.state.lease.until, now)
        return ()

    @handles(PeerMessage, 'viewed')
    def viewed(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Adopt views, and learn since when targets may be taken over."""
        for newer in event.message['views']:
            self.state.take_view(newer)
        self._follow(now)
        told = {view['domain']: view for view in event.message['views']}
        for domain, wait in event.message['takeover'].items():
            # A view left out is one that this process has told it has.
            view = told.get(domain, self.handover.views.get(domain))
            if view is not None:
                self.handover.lapse(view, wait / MS_PER_S, now)
        return self._collect()

    @handles(PeerMessage, 'released')
    def released(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Take a release by a previous owner."""
        self._follow(now)
        message = event.message
        self.handover.released(
            message['domain'],
            message['view'],
            message['targets'],
            now,
        )
        return self._collect()

    @handles(ConnectionOpened)
    def opened(self, event: ConnectionOpened, now: float) -> Iterable[Action]:
        """Use a new connection."""
        return self._on_conn(event.target, self.dispatcher.opened, event, now)

    @handles(ConnectionFailed)
    def failed(self, event: ConnectionFailed, now: float) -> Iterable[Action]:
        """Try again later."""
        return self._on_conn(event.target, self.dispatcher.failed, event, now)

    @handles(ConnectionClosed)
    def closed(self, event: ConnectionClosed, now: float) -> Iterable[Action]:
        """Account for what was in flight; look for a pattern."""
        target_state = self.registry.target_states.get(event.target)
        in_use = target_state is not None and self.registry.in_use(
            target_state,
            event.conn,
            now,
        )
        actions = self._on_conn(
            event.target,
            self.dispatcher.gone,
            event,
            now,
        )
        if target_state is not None and in_use:
            self.registry.closed_in_use(target_state, now)
        return [*actions, *self._collect()]

    @handles(TargetReply)
    def replied(self, event: TargetReply, now: float) -> Iterable[Action]:
        """Pass on a reply to who asked; send what waits."""
        self._follow(now)
        target_state = self.registry.target_states.get(event.target)
        if target_state is None:
            return ()
        answered = self.dispatcher.handle_reply(target_state, event, now)
        if answered:
            self.registry.met(event.target, event.incarnation)
            if event.status == 'draining':
                self.registry.exclude(event.target, 'draining')
            self.dispatcher.pump(target_state, now)
        return self._collect()

    @handles(TargetHealth)
    def health(self, event: TargetHealth, now: float) -> Iterable[Action]:
        """Believe a target that it is leaving, or that it restarted."""
        self._follow(now)
        target_state = self.registry.target_states.get(event.target)
        if target_state is None:
            return ()
        if event.state != 'unreachable':
            target_state.meet(event.incarnation)
            self.registry.met(event.target, event.incarnation)
        if event.state == 'draining':
            self.registry.exclude(event.target, 'health')
        self.dispatcher.pump(target_state, now)
        return self._collect()

    @handles(PlatformList)
    def listed(self, event: PlatformList, now: float) -> Iterable[Action]:
        """Give no work to targets that the platform says are leaving."""
        self._follow(now)
        self.registry.listed(event.leaving)
        return self._collect()

    @handles(ShutdownAsked)
    def shut_down(self, event: ShutdownAsked, now: float) -> Iterable[Action]:
        """Serve until the views leave this VM out, but not for long."""
        self._leaving_since = min(now, self._leaving_since)
        return ()

    def busy(self, now: float) -> bool:
        """Return whether targets are owned, in use, or to be released."""
        if not self.gate.stopped and self.handover.owned():
            return True
        target_states = self.registry.target_states.values()
        if any(not target_state.idle for target_state in target_states):
            return True
        return bool(self.handover.giving or self.releases)

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the targets in use and those excluded."""
        return {
            'targets': [
                target_state.load(now)
                for target_state in self.registry.target_states.values()
            ],
            'excluded': {
                name: self.exclusions.reason(name)
                for name in self.exclusions.names()
            },
            'owned': len(tuple(self.handover.owned())),
            'releasing': len(self.handover.giving),
        }

    def _on_conn(
        self,
        target: str,
        take: Callable[[LeafTargetState, int, float], None],
        event: ConnectionOpened | ConnectionFailed | ConnectionClosed,
        now: float,
    ) -> Iterable[Action]:
        self._follow(now)
        target_state = self.registry.target_states.get(target)
        if target_state is not None:
            take(target_state, event.conn, now)
        return self._collect()

    def _submit(self, attempt: TargetAttempt, now: float) -> None:
        target_state = self.registry.target_state(attempt.target)
        if target_state is None:
            self.outbox.settle(attempt, Outcome('out', 'no'), now)
        elif attempt.attempt_id in self.dispatcher.attempts:
            self.outbox.settle(attempt, Outcome('failed', 'no'), now)
        else:
            self.dispatcher.submit(target_state, attempt, now)

    def _follow(self, now: float) -> None:
        if self.handover.born > now:
            self.handover.born = now
            self._tick(None, now)
            self._list_platform(None, now)
        adopted = self.registry.follow(now)
        if not adopted:
            return
        self.outbox.members_changed()
        for view in adopted:
            self.releases.superseded(view['domain'])
        self._release(now)

    def _collect(self) -> list[Action]:
        collected: list[Action] = []
        for source in (self.dispatcher, self.outbox, self.registry):
            collected.extend(source.actions)
            source.actions.clear()
        return collected

    def _tick(self, subject: Any, now: float) -> None:
        self.timers.at(now + TICK, self._tick, None)
        self.handover.observe(self.state.lease.until, now)
        if now - self._leaving_since >= LEAVE_WITHIN:
            self.gate.stopped = True
        for target_state in tuple(self.registry.target_states.values()):
            self.upkeep.look_after(target_state, now)
        self._release(now)

    def _release(self, now: float) -> None:
        sendings = self.releases.add(self.registry.drained(now), now)
        for sending in (*sendings, *self.releases.again(now)):
            self.outbox.send(f'{sending.to}/leaf', sending.message, now)

    def _list_platform(self, subject: Any, now: float) -> None:
        self.timers.at(now + LIST_EVERY, self._list_platform, None)
        self.dispatcher.actions.append(ListPlatform())

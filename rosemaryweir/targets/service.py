"""Part of a leaf that runs requests at the targets it owns."""

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
from rosemaryweir.targets.handover import Handover
from rosemaryweir.targets.leaf_attempt_outcome import LeafAttemptOutcome
from rosemaryweir.targets.leaf_outbox import LeafOutbox
from rosemaryweir.targets.leaf_target_registry import LeafTargetRegistry
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.release_schedule import ReleaseSchedule
from rosemaryweir.targets.results import OrderOrigin
from rosemaryweir.targets.start_permission import StartPermission
from rosemaryweir.targets.target_attempt import MAX_ATTEMPT_S, TargetAttempt
from rosemaryweir.targets.target_maintenance import TargetMaintenance
from rosemaryweir.targets.timer_heap import TimerHeap

__all__ = ['TargetService']

MS_PER_S = 1000.0
#: Interval between checks of the lease, the releases and the targets, in s.
MAINTENANCE_INTERVAL_S = 0.1
#: Interval between two requests for the platform's list, in s.
PLATFORM_LIST_INTERVAL_S = 2.0
#: Longest wait at shutdown until the views no longer contain this VM, in s.
LEAVE_TIMEOUT_S = 5.0


@part_of('leaf')
class TargetService(Part):
    """Runs attempts at the targets that this leaf owns.

    Notes
    -----
    Every handler first applies changes of configuration and views, then updates
    the target states, and returns the resulting actions.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.timers = TimerHeap()
        self.exclusions = Exclusions()
        self.releases = ReleaseSchedule()
        self.handover = Handover(state.uid.vm, float('inf'))
        self.registry = LeafTargetRegistry(
            state, self.handover, self.exclusions
        )
        self.permission = StartPermission(state, self.exclusions, self.handover)
        self.outbox = LeafOutbox(
            state, self.timers, self.registry.target_states
        )
        self.dispatcher = Dispatcher(
            self.permission,
            self.timers,
            self.outbox.report_outcome,
        )
        self.maintenance = TargetMaintenance(
            self.permission, self.dispatcher, rng
        )
        self._shutdown_asked_at = float('inf')

    def next_wake(self) -> float | None:
        """Return the time of the next timer; at once before the first one."""
        due = self.timers.next_due()
        return 0.0 if due is None else due

    def wake(self, now: float) -> Iterable[Action]:
        """Run the timers that are due."""
        self._apply_changes(now)
        for handler, subject in self.timers.due(now):
            handler(subject, now)
        return self._take_actions()

    @handles(PeerMessage, 'sub_query')
    def sub_query(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Run the attempts of a query."""
        self._apply_changes(now)
        message = event.message
        pieces = message['pieces']
        remaining = message['remaining_ms'] / MS_PER_S
        deadline = now + min(remaining, MAX_ATTEMPT_S)
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
        return self._take_actions()

    @handles(PeerMessage, 'cancel_query')
    def cancel_query(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Cancel attempts of a query."""
        self._apply_changes(now)
        for attempt_id in event.message['attempts']:
            attempt = self.dispatcher.attempts.get(attempt_id)
            if (
                attempt is not None
                and attempt.kind == 'query'
                and attempt.reply_to
            ):
                target_state = self.registry.target_states[attempt.target]
                self.dispatcher.cancel(target_state, attempt, now)
        return self._take_actions()

    @handles(PeerMessage, 'order_send')
    def order_send(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Send an order, at most once."""
        self._apply_changes(now)
        message = event.message
        attempt_id = message['attempt']
        remaining = message['remaining_ms'] / MS_PER_S
        deadline = now + min(remaining, MAX_ATTEMPT_S)
        if self.outbox.sent_orders.begin(attempt_id, deadline, now):
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
                OrderOrigin(event.sender, message['order_key']),
            )
            self._submit(attempt, now)
        else:
            result = self.outbox.sent_orders.result(attempt_id)
            if result is not None:
                self.outbox.send(event.sender, result, now)
        return self._take_actions()

    @handles(PeerMessage, 'grant')
    def granted(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Check the lease that the agent's client has just updated."""
        self.handover.observe_lease(self.state.lease.until, now)
        return ()

    @handles(PeerMessage, 'viewed')
    def viewed(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Adopt views and the times from which targets may be taken over."""
        for newer in event.message['views']:
            self.state.take_view(newer)
        self._apply_changes(now)
        sent_views = {view['domain']: view for view in event.message['views']}
        for domain, wait in event.message['takeover'].items():
            # The agent leaves out views that this process has reported to
            # have.
            view = sent_views.get(domain, self.handover.views.get(domain))
            if view is not None:
                self.handover.set_takeover_wait(view, wait / MS_PER_S, now)
        return self._take_actions()

    @handles(PeerMessage, 'released')
    def released(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Process a release by a previous owner."""
        self._apply_changes(now)
        message = event.message
        self.handover.record_release(
            message['domain'],
            message['view'],
            message['targets'],
            now,
        )
        return self._take_actions()

    @handles(ConnectionOpened)
    def opened(self, event: ConnectionOpened, now: float) -> Iterable[Action]:
        """Use a connection that has been opened."""
        return self._handle_connection(
            event.target, self.dispatcher.connection_opened, event, now
        )

    @handles(ConnectionFailed)
    def failed(self, event: ConnectionFailed, now: float) -> Iterable[Action]:
        """Retry later a connection that could not be opened."""
        return self._handle_connection(
            event.target, self.dispatcher.connection_failed, event, now
        )

    @handles(ConnectionClosed)
    def closed(self, event: ConnectionClosed, now: float) -> Iterable[Action]:
        """End the attempt in flight and check whether the target is leaving."""
        target_state = self.registry.target_states.get(event.target)
        in_use = target_state is not None and self.registry.in_use(
            target_state,
            event.conn,
            now,
        )
        actions = self._handle_connection(
            event.target,
            self.dispatcher.connection_closed,
            event,
            now,
        )
        if target_state is not None and in_use:
            self.registry.record_close_in_use(target_state, now)
        return [*actions, *self._take_actions()]

    @handles(TargetReply)
    def replied(self, event: TargetReply, now: float) -> Iterable[Action]:
        """Report a reply to its sender and send queued attempts."""
        self._apply_changes(now)
        target_state = self.registry.target_states.get(event.target)
        if target_state is None:
            return ()
        answered = self.dispatcher.handle_reply(target_state, event, now)
        if answered:
            self.registry.readmit_restarted(event.target, event.incarnation)
            if event.status == 'draining':
                self.registry.exclude(event.target, 'draining')
            self.dispatcher.send_queued(target_state, now)
        return self._take_actions()

    @handles(TargetHealth)
    def health(self, event: TargetHealth, now: float) -> Iterable[Action]:
        """Take from a health report that a target is leaving or restarted."""
        self._apply_changes(now)
        target_state = self.registry.target_states.get(event.target)
        if target_state is None:
            return ()
        if event.state != 'unreachable':
            target_state.record_incarnation(event.incarnation)
            self.registry.readmit_restarted(event.target, event.incarnation)
        if event.state == 'draining':
            self.registry.exclude(event.target, 'health')
        self.dispatcher.send_queued(target_state, now)
        return self._take_actions()

    @handles(PlatformList)
    def listed(self, event: PlatformList, now: float) -> Iterable[Action]:
        """Exclude targets that the platform lists as leaving."""
        self._apply_changes(now)
        self.registry.update_leaving(event.leaving)
        return self._take_actions()

    @handles(ShutdownAsked)
    def shut_down(self, event: ShutdownAsked, now: float) -> Iterable[Action]:
        """Serve until the views no longer contain this VM, or a time-out."""
        self._shutdown_asked_at = min(now, self._shutdown_asked_at)
        return ()

    def busy(self, now: float) -> bool:
        """Return whether any target is owned, in use or to be released."""
        if not self.permission.stopped and self.handover.owned():
            return True
        target_states = self.registry.target_states.values()
        if any(not target_state.idle for target_state in target_states):
            return True
        return bool(self.handover.pending_releases or self.releases)

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the load of the targets, and those excluded and owned."""
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
            'releasing': len(self.handover.pending_releases),
        }

    def _handle_connection(
        self,
        target: str,
        handler: Callable[[LeafTargetState, int, float], None],
        event: ConnectionOpened | ConnectionFailed | ConnectionClosed,
        now: float,
    ) -> Iterable[Action]:
        self._apply_changes(now)
        target_state = self.registry.target_states.get(target)
        if target_state is not None:
            handler(target_state, event.conn, now)
        return self._take_actions()

    def _submit(self, attempt: TargetAttempt, now: float) -> None:
        target_state = self.registry.target_state(attempt.target)
        if target_state is None:
            self.outbox.report_outcome(
                attempt, LeafAttemptOutcome('out', 'no'), now
            )
        elif attempt.attempt_id in self.dispatcher.attempts:
            self.outbox.report_outcome(
                attempt, LeafAttemptOutcome('failed', 'no'), now
            )
        else:
            self.dispatcher.submit(target_state, attempt, now)

    def _apply_changes(self, now: float) -> None:
        if self.handover.born > now:
            self.handover.born = now
            self._maintain(None, now)
            self._list_platform(None, now)
        adopted = self.registry.apply_changes(now)
        if not adopted:
            return
        self.outbox.update_members()
        for view in adopted:
            self.releases.drop_domain(view['domain'])
        self._send_releases(now)

    def _take_actions(self) -> list[Action]:
        collected: list[Action] = []
        for source in (self.dispatcher, self.outbox, self.registry):
            collected.extend(source.actions)
            source.actions.clear()
        return collected

    def _maintain(self, subject: Any, now: float) -> None:
        self.timers.at(now + MAINTENANCE_INTERVAL_S, self._maintain, None)
        self.handover.observe_lease(self.state.lease.until, now)
        if now - self._shutdown_asked_at >= LEAVE_TIMEOUT_S:
            self.permission.stopped = True
        for target_state in tuple(self.registry.target_states.values()):
            self.maintenance.maintain(target_state, now)
        self._send_releases(now)

    def _send_releases(self, now: float) -> None:
        messages = self.releases.add(self.registry.take_releasable(now), now)
        for message in (*messages, *self.releases.take_due(now)):
            self.outbox.send(f'{message.to}/leaf', message.content, now)

    def _list_platform(self, subject: Any, now: float) -> None:
        self.timers.at(
            now + PLATFORM_LIST_INTERVAL_S, self._list_platform, None
        )
        self.dispatcher.actions.append(ListPlatform())

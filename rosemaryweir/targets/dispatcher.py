"""Dispatch of attempts to targets within their limits."""

from collections.abc import Callable
from typing import Any

from rosemaryweir.node.action import (
    Action,
    CancelAttempt,
    CloseConnection,
    OpenConnection,
    SendTarget,
)
from rosemaryweir.node.event import TargetReply
from rosemaryweir.targets.connections import ALIVE_WITHIN_S, Conn
from rosemaryweir.targets.leaf_attempt_outcome import (
    LeafAttemptOutcome,
    outcome_of,
)
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.overdue import (
    max_duration,
    overdue_after,
    target_responds,
)
from rosemaryweir.targets.start_permission import StartPermission
from rosemaryweir.targets.target_attempt import OVERRUN_S, TargetAttempt
from rosemaryweir.targets.timer_heap import TimerHeap

__all__ = ['Dispatcher']

#: Time within which a connection must be opened, in s.
OPEN_TIMEOUT_S = 1.0
#: Interval between two checks of an order whose reply is overdue, in s.
OVERDUE_CHECK_INTERVAL_S = 0.02
#: Time after a request to cancel within which a working connection carries the
#: reply to the cancelled attempt, in s.
CANCEL_REPLY_TIMEOUT_S = 0.03


ReportOutcome = Callable[[TargetAttempt, LeafAttemptOutcome, float], None]


class Dispatcher:
    """Queues, slots and connections of all targets of a leaf.

    Parameters
    ----------
    permission : StartPermission
        Tells whether work may start; checked in the same step as every send.
    timers : TimerHeap
        Timers for the deadlines.
    report_outcome : callable
        Called once with the outcome of each attempt.

    Attributes
    ----------
    actions : list of Action
        Actions to perform; the caller removes them.
    attempts : dict of str to TargetAttempt
        Attempts that are queued or in flight, by identifier.
    """

    def __init__(
        self,
        permission: StartPermission,
        timers: TimerHeap,
        report_outcome: ReportOutcome,
    ) -> None:
        self.permission = permission
        self.timers = timers
        self.report_outcome = report_outcome
        self.actions: list[Action] = []
        self.attempts: dict[str, TargetAttempt] = {}
        self._last_conn_number = 0

    def submit(
        self, target_state: LeafTargetState, attempt: TargetAttempt, now: float
    ) -> None:
        """Send an attempt, queue it, or refuse it."""
        refusal = self.permission.refusal(target_state.name, now)
        if not refusal:
            conn = self._conn_without_wait(target_state, attempt, now)
            if conn is not None:
                self.attempts[attempt.attempt_id] = attempt
                self._send(target_state, conn, attempt, now)
                return
            if not target_state.can_meet_deadline(attempt, now):
                refusal = 'shed'
        if refusal:
            self.report_outcome(attempt, LeafAttemptOutcome(refusal, 'no'), now)
            return
        self.attempts[attempt.attempt_id] = attempt
        target_state.queue.push(attempt)
        self.send_queued(target_state, now)
        if not attempt.conn_number and not attempt.done:
            self.timers.at(
                attempt.queue_deadline,
                self._check_attempt,
                (target_state, attempt),
            )

    def send_queued(self, target_state: LeafTargetState, now: float) -> None:
        """Send queued attempts as far as the limits allow."""
        while target_state.queue:
            refusal = self.permission.refusal(target_state.name, now)
            if refusal:
                self.refuse_queued(target_state, refusal, now)
                return
            attempt = target_state.queue.peek()
            if attempt is None or not target_state.has_room(now):
                break
            conn = self._idle_conn(target_state, attempt, now)
            if conn is None:
                break
            target_state.queue.pop()
            self._send(target_state, conn, attempt, now)
        if target_state.queue:
            self._schedule_send(target_state, now)

    def refuse_queued(
        self, target_state: LeafTargetState, reason: str, now: float
    ) -> None:
        """Refuse all queued attempts of a target."""
        for attempt in target_state.queue.drain():
            self._finish(attempt, LeafAttemptOutcome(reason, 'no'), now)

    def cancel(
        self, target_state: LeafTargetState, attempt: TargetAttempt, now: float
    ) -> None:
        """Cancel an attempt.

        One in flight holds its slot until the target has answered it.
        """
        if attempt.conn_number:
            self._request_cancel(target_state, attempt)
            attempt.cancel_reply_due = (
                attempt.cancel_reply_due or now + CANCEL_REPLY_TIMEOUT_S
            )
            self.timers.at(
                attempt.cancel_reply_due,
                self._check_attempt,
                (target_state, attempt),
            )
            self.report_outcome(
                attempt, LeafAttemptOutcome('cancelled', 'unknown'), now
            )
            return
        target_state.queue.remove(attempt)
        self._finish(attempt, LeafAttemptOutcome('cancelled', 'no'), now)

    def connection_opened(
        self, target_state: LeafTargetState, number: int, now: float
    ) -> None:
        """Use a connection that has been opened."""
        if number not in target_state.pool.conns:
            return
        if not target_state.pool.any_alive_since(now - ALIVE_WITHIN_S):
            # The target may have restarted while no open connection would
            # have shown it.
            target_state.connection_broken(now)
        target_state.pool.mark_opened(number, now)
        self.send_queued(target_state, now)

    def connection_failed(
        self, target_state: LeafTargetState, number: int, now: float
    ) -> None:
        """Handle a connection that could not be opened."""
        if number not in target_state.pool.conns:
            return
        target_state.pool.mark_failed(number, now)
        if not target_state.pool.conns:
            target_state.connection_broken(now)
            self.refuse_queued(target_state, 'shed', now)
        self.send_queued(target_state, now)

    def connection_closed(
        self, target_state: LeafTargetState, number: int, now: float
    ) -> None:
        """Handle a connection that the target has closed."""
        conn = target_state.pool.remove(number)
        if conn is not None:
            target_state.connection_broken(now)
            self._finish_cut(target_state, conn, 'cut', now)
            self.send_queued(target_state, now)

    def close(
        self,
        target_state: LeafTargetState,
        number: int,
        reason: str,
        now: float,
    ) -> None:
        """Close a connection; an attempt in flight on it ends without reply."""
        conn = target_state.pool.close(number, now, reason != 'unused')
        if conn is None:
            return
        self.actions.append(CloseConnection(number, reason))
        status = 'timeout' if reason == 'timeout' else 'cut'
        self._finish_cut(target_state, conn, status, now)

    def handle_reply(
        self, target_state: LeafTargetState, reply: TargetReply, now: float
    ) -> bool:
        """Process a reply; return whether it matches the attempt in flight.

        A connection that carries any other reply is closed.
        """
        conn = target_state.pool.conns.get(reply.conn)
        if conn is None:
            return False
        current = conn.current_attempt
        if current is None or current.attempt_id != reply.attempt:
            self.close(target_state, conn.number, 'crossed', now)
            self.send_queued(target_state, now)
            return False
        conn.current_attempt = None
        conn.last_alive = now
        target_state.record_incarnation(reply.incarnation)
        target_state.record_answer(current, now)
        target_state.record_status(reply.status, now - current.sent_at)
        self._finish(current, outcome_of(reply), now)
        return True

    def _conn_without_wait(
        self,
        target_state: LeafTargetState,
        attempt: TargetAttempt,
        now: float,
    ) -> Conn | None:
        """Return a connection on which an attempt can be sent at once."""
        expired = attempt.deadline <= now
        if expired or target_state.queue or not target_state.has_room(now):
            return None
        conn = target_state.pool.idle()
        if conn is None or attempt.kind == 'query':
            return conn
        return conn if conn.last_alive >= now - ALIVE_WITHIN_S else None

    def _idle_conn(
        self,
        target_state: LeafTargetState,
        attempt: TargetAttempt,
        now: float,
    ) -> Conn | None:
        conn = target_state.pool.idle()
        if conn is not None and attempt.kind == 'order':
            if conn.last_alive < now - ALIVE_WITHIN_S:
                # It proved alive last of all: thus all are too old.
                for old in target_state.pool.idle_since_before(now):
                    self.close(target_state, old.number, 'unused', now)
                conn = None
        if conn is None:
            self._open(target_state, now)
        return conn

    def _open(self, target_state: LeafTargetState, now: float) -> None:
        pool = target_state.pool
        if pool.opening >= len(target_state.queue) or not pool.can_open(now):
            return
        self._last_conn_number += 1
        pool.open(self._last_conn_number, target_state.name, now)
        self.actions.append(
            OpenConnection(
                self._last_conn_number,
                target_state.name,
                target_state.address,
                now + OPEN_TIMEOUT_S,
            ),
        )
        self.timers.at(
            now + 2 * OPEN_TIMEOUT_S,
            self._check_opening,
            (target_state, self._last_conn_number),
        )

    def _send(
        self,
        target_state: LeafTargetState,
        conn: Conn,
        attempt: TargetAttempt,
        now: float,
    ) -> None:
        conn.current_attempt = attempt
        attempt.conn_number = conn.number
        attempt.sent_at = now
        if attempt.kind == 'query':
            attempt.deadline = min(
                attempt.deadline, now + max_duration(target_state.latency)
            )
        over = attempt.deadline + OVERRUN_S[attempt.kind]
        target_state.slots.start(attempt.attempt_id, now, over)
        self.actions.append(
            SendTarget(
                conn.number,
                attempt.attempt_id,
                attempt.kind,
                attempt.body,
                attempt.deadline,
            ),
        )
        wait = overdue_after(target_state.latency)
        self.timers.at(
            min(attempt.deadline, now + wait),
            self._check_attempt,
            (target_state, attempt),
        )

    def _finish_cut(
        self,
        target_state: LeafTargetState,
        conn: Conn,
        status: str,
        now: float,
    ) -> None:
        attempt = conn.current_attempt
        if attempt is not None:
            conn.current_attempt = None
            target_state.mark_lost(attempt)
            self._finish(attempt, LeafAttemptOutcome(status, 'unknown'), now)

    def _finish(
        self, attempt: TargetAttempt, outcome: LeafAttemptOutcome, now: float
    ) -> None:
        attempt.done = True
        self.attempts.pop(attempt.attempt_id, None)
        self.report_outcome(attempt, outcome, now)

    def _check_attempt(self, subject: Any, now: float) -> None:
        """Check an attempt whose deadline or reply is due."""
        target_state, attempt = subject
        if attempt.done:
            return
        if not attempt.conn_number:
            if now >= attempt.queue_deadline:
                target_state.queue.remove(attempt)
                self._finish(attempt, LeafAttemptOutcome('shed', 'no'), now)
            return
        self._check_in_flight(target_state, attempt, now)
        self.send_queued(target_state, now)

    def _check_in_flight(
        self, target_state: LeafTargetState, attempt: TargetAttempt, now: float
    ) -> None:
        if now >= attempt.deadline:
            self.close(target_state, attempt.conn_number, 'timeout', now)
            return
        if attempt.cancel_reply_due and now >= attempt.cancel_reply_due:
            self.close(target_state, attempt.conn_number, 'silent', now)
            return
        if now - attempt.sent_at >= overdue_after(target_state.latency):
            self._cancel_overdue(target_state, attempt, now)
        due = attempt.cancel_reply_due or now + OVERDUE_CHECK_INTERVAL_S
        self.timers.at(
            min(attempt.deadline, due),
            self._check_attempt,
            (target_state, attempt),
        )

    def _cancel_overdue(
        self, target_state: LeafTargetState, attempt: TargetAttempt, now: float
    ) -> None:
        """Ask the target to cancel a query whose reply is overdue.

        A connection that carries no reply after that is dead.  It is not closed
        at once, as the slot of an attempt whose connection is closed is held
        until its deadline, and of many attempts a few are this late without
        any fault.
        """
        if not target_responds(attempt.later_answers):
            target_state.overdue[attempt.attempt_id] = attempt
        if attempt.kind == 'query' and not attempt.cancel_reply_due:
            attempt.cancel_reply_due = now + CANCEL_REPLY_TIMEOUT_S
            self._request_cancel(target_state, attempt)

    def _request_cancel(
        self, target_state: LeafTargetState, attempt: TargetAttempt
    ) -> None:
        self.actions.append(
            CancelAttempt(
                target_state.name, target_state.address, attempt.attempt_id
            ),
        )

    def _check_opening(self, subject: Any, now: float) -> None:
        target_state, number = subject
        conn = target_state.pool.conns.get(number)
        if conn is not None and not conn.opened:
            self.close(target_state, number, 'timeout', now)
            self.send_queued(target_state, now)

    def _schedule_send(self, target_state: LeafTargetState, now: float) -> None:
        times = (
            target_state.slots.next_free(),
            target_state.pool.next_open_at(),
        )
        at = min(
            (time for time in times if time is not None and time > now),
            default=None,
        )
        if at is not None and not now < target_state.next_send_at <= at:
            target_state.next_send_at = at
            self.timers.at(at, self._send_scheduled, target_state)

    def _send_scheduled(
        self, target_state: LeafTargetState, now: float
    ) -> None:
        if now >= target_state.next_send_at:
            target_state.next_send_at = float('inf')
        self.send_queued(target_state, now)

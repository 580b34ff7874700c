"""Sends attempts to targets within their limits, and takes what comes back."""

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
from rosemaryweir.targets.connections import PROVEN_WITHIN, Conn
from rosemaryweir.targets.gate import Gate
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.outcome import Outcome, outcome_of
from rosemaryweir.targets.overdue import (
    max_duration,
    overdue_after,
    overtaken,
)
from rosemaryweir.targets.target_attempt import OVERRUN, TargetAttempt
from rosemaryweir.targets.timers import Timers

__all__ = ['Dispatcher']

#: Time given to open a connection, in s.
OPEN_WITHIN = 1.0
#: Time between two looks at an order whose reply is overdue, in s.
LOOK_AGAIN = 0.02
#: A live connection carries the answer to a cancellation within so many s.
CANCEL_REPLY_TIMEOUT_S = 0.03


Settle = Callable[[TargetAttempt, Outcome, float], None]


class Dispatcher:
    """Queues, slots and connections of all targets of a leaf.

    Parameters
    ----------
    gate : Gate
        Says whether work may start; asked in the same step as every send.
    timers : Timers
        Where deadlines are put.
    settle : callable
        Is told the outcome of each attempt, once.

    Attributes
    ----------
    actions : list of Action
        What is to be done; whoever drives this takes them out.
    attempts : dict of str to TargetAttempt
        Attempts that wait or are in flight, by identifier.
    """

    def __init__(self, gate: Gate, timers: Timers, settle: Settle) -> None:
        self.gate = gate
        self.timers = timers
        self.settle = settle
        self.actions: list[Action] = []
        self.attempts: dict[str, TargetAttempt] = {}
        self._conns = 0

    def submit(
        self, target_state: LeafTargetState, attempt: TargetAttempt, now: float
    ) -> None:
        """Send an attempt, let it wait, or refuse it."""
        refusal = self.gate.refusal(target_state.name, now)
        if not refusal:
            conn = self._conn_at_once(target_state, attempt, now)
            if conn is not None:
                self.attempts[attempt.attempt_id] = attempt
                self._send(target_state, conn, attempt, now)
                return
            if not target_state.makes_it(attempt, now):
                refusal = 'shed'
        if refusal:
            self.settle(attempt, Outcome(refusal, 'no'), now)
            return
        self.attempts[attempt.attempt_id] = attempt
        target_state.queue.push(attempt)
        self.pump(target_state, now)
        if not attempt.conn and not attempt.done:
            self.timers.at(
                attempt.wait_until, self._look, (target_state, attempt)
            )

    def pump(self, target_state: LeafTargetState, now: float) -> None:
        """Send what waits, as far as the limits allow."""
        while target_state.queue:
            refusal = self.gate.refusal(target_state.name, now)
            if refusal:
                self.refuse_waiting(target_state, refusal, now)
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
            self._pump_later(target_state, now)

    def refuse_waiting(
        self, target_state: LeafTargetState, why: str, now: float
    ) -> None:
        """Refuse everything that waits for a target."""
        for attempt in target_state.queue.drain():
            self._finish(attempt, Outcome(why, 'no'), now)

    def cancel(
        self, target_state: LeafTargetState, attempt: TargetAttempt, now: float
    ) -> None:
        """Drop an attempt; in flight it holds its slot until answered."""
        if attempt.conn:
            self._ask_cancel(target_state, attempt)
            attempt.verify_at = (
                attempt.verify_at or now + CANCEL_REPLY_TIMEOUT_S
            )
            self.timers.at(
                attempt.verify_at, self._look, (target_state, attempt)
            )
            self.settle(attempt, Outcome('cancelled', 'unknown'), now)
            return
        target_state.queue.remove(attempt)
        self._finish(attempt, Outcome('cancelled', 'no'), now)

    def opened(
        self, target_state: LeafTargetState, number: int, now: float
    ) -> None:
        """Take a connection that stands now."""
        if number not in target_state.pool.conns:
            return
        if not target_state.pool.proven(now - PROVEN_WITHIN):
            # It may have restarted while no connection would have told.
            target_state.unsure(now)
        target_state.pool.opened(number, now)
        self.pump(target_state, now)

    def failed(
        self, target_state: LeafTargetState, number: int, now: float
    ) -> None:
        """Take the failure of an opening."""
        if number not in target_state.pool.conns:
            return
        target_state.pool.failed(number, now)
        if not target_state.pool.conns:
            target_state.unsure(now)
            self.refuse_waiting(target_state, 'shed', now)
        self.pump(target_state, now)

    def gone(
        self, target_state: LeafTargetState, number: int, now: float
    ) -> None:
        """Take the closing of a connection by the other end."""
        conn = target_state.pool.gone(number)
        if conn is not None:
            target_state.unsure(now)
            self._lose(target_state, conn, 'cut', now)
            self.pump(target_state, now)

    def close(
        self,
        target_state: LeafTargetState,
        number: int,
        reason: str,
        now: float,
    ) -> None:
        """Close a connection; what is in flight on it is cut."""
        conn = target_state.pool.closed(number, now, reason != 'unused')
        if conn is None:
            return
        self.actions.append(CloseConnection(number, reason))
        status = 'timeout' if reason == 'timeout' else 'cut'
        self._lose(target_state, conn, status, now)

    def handle_reply(
        self, target_state: LeafTargetState, reply: TargetReply, now: float
    ) -> bool:
        """Take a reply; return whether it answers what is in flight."""
        conn = target_state.pool.conns.get(reply.conn)
        if conn is None:
            return False
        current = conn.current_attempt
        if current is None or current.attempt_id != reply.attempt:
            self.close(target_state, conn.number, 'crossed', now)
            self.pump(target_state, now)
            return False
        conn.current_attempt = None
        conn.alive_at = now
        target_state.meet(reply.incarnation)
        target_state.answered(current, now)
        target_state.learn(reply.status, now - current.sent_at)
        self._finish(current, outcome_of(reply), now)
        return True

    def _conn_at_once(
        self,
        target_state: LeafTargetState,
        attempt: TargetAttempt,
        now: float,
    ) -> Conn | None:
        """Return a connection on which an attempt can go without waiting."""
        late = attempt.deadline <= now
        if late or target_state.queue or not target_state.has_room(now):
            return None
        conn = target_state.pool.idle()
        if conn is None or attempt.kind == 'query':
            return conn
        return conn if conn.alive_at >= now - PROVEN_WITHIN else None

    def _idle_conn(
        self,
        target_state: LeafTargetState,
        attempt: TargetAttempt,
        now: float,
    ) -> Conn | None:
        conn = target_state.pool.idle()
        if conn is not None and attempt.kind == 'order':
            if conn.alive_at < now - PROVEN_WITHIN:
                # The youngest is too old, thus all are.
                for old in target_state.pool.stale(now):
                    self.close(target_state, old.number, 'unused', now)
                conn = None
        if conn is None:
            self._open(target_state, now)
        return conn

    def _open(self, target_state: LeafTargetState, now: float) -> None:
        pool = target_state.pool
        if pool.opening >= len(target_state.queue) or not pool.may_open(now):
            return
        self._conns += 1
        pool.open(self._conns, target_state.name, now)
        self.actions.append(
            OpenConnection(
                self._conns,
                target_state.name,
                target_state.address,
                now + OPEN_WITHIN,
            ),
        )
        self.timers.at(
            now + 2 * OPEN_WITHIN,
            self._check_opening,
            (target_state, self._conns),
        )

    def _send(
        self,
        target_state: LeafTargetState,
        conn: Conn,
        attempt: TargetAttempt,
        now: float,
    ) -> None:
        conn.current_attempt = attempt
        attempt.conn = conn.number
        attempt.sent_at = now
        if attempt.kind == 'query':
            attempt.deadline = min(
                attempt.deadline, now + max_duration(target_state.recent)
            )
        over = attempt.deadline + OVERRUN[attempt.kind]
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
        wait = overdue_after(target_state.recent)
        self.timers.at(
            min(attempt.deadline, now + wait),
            self._look,
            (target_state, attempt),
        )

    def _lose(
        self,
        target_state: LeafTargetState,
        conn: Conn,
        status: str,
        now: float,
    ) -> None:
        attempt = conn.current_attempt
        if attempt is not None:
            conn.current_attempt = None
            target_state.lost(attempt)
            self._finish(attempt, Outcome(status, 'unknown'), now)

    def _finish(
        self, attempt: TargetAttempt, outcome: Outcome, now: float
    ) -> None:
        attempt.done = True
        self.attempts.pop(attempt.attempt_id, None)
        self.settle(attempt, outcome, now)

    def _look(self, subject: Any, now: float) -> None:
        """Look at an attempt whose deadline or reply is due."""
        target_state, attempt = subject
        if attempt.done:
            return
        if not attempt.conn:
            if now >= attempt.wait_until:
                target_state.queue.remove(attempt)
                self._finish(attempt, Outcome('shed', 'no'), now)
            return
        self._look_in_flight(target_state, attempt, now)
        self.pump(target_state, now)

    def _look_in_flight(
        self, target_state: LeafTargetState, attempt: TargetAttempt, now: float
    ) -> None:
        if now >= attempt.deadline:
            self.close(target_state, attempt.conn, 'timeout', now)
            return
        if attempt.verify_at and now >= attempt.verify_at:
            self.close(target_state, attempt.conn, 'silent', now)
            return
        if now - attempt.sent_at >= overdue_after(target_state.recent):
            self._doubt(target_state, attempt, now)
        due = attempt.verify_at or now + LOOK_AGAIN
        self.timers.at(
            min(attempt.deadline, due), self._look, (target_state, attempt)
        )

    def _doubt(
        self, target_state: LeafTargetState, attempt: TargetAttempt, now: float
    ) -> None:
        """Ask the target to drop a query whose reply is overdue.

        A connection that carries no answer to that is silent.  To close it at
        once would be wrong: the slot of an attempt whose connection closed is
        held until its deadline, and among many attempts a few are as late as
        this without any fault.
        """
        if not overtaken(attempt.overtaken):
            target_state.doubtful[attempt.attempt_id] = attempt
        if attempt.kind == 'query' and not attempt.verify_at:
            attempt.verify_at = now + CANCEL_REPLY_TIMEOUT_S
            self._ask_cancel(target_state, attempt)

    def _ask_cancel(
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
            self.pump(target_state, now)

    def _pump_later(self, target_state: LeafTargetState, now: float) -> None:
        waits = (target_state.slots.next_free(), target_state.pool.next_open())
        at = min(
            (wait for wait in waits if wait is not None and wait > now),
            default=None,
        )
        if at is not None and not now < target_state.pump_at <= at:
            target_state.pump_at = at
            self.timers.at(at, self._pump_due, target_state)

    def _pump_due(self, target_state: LeafTargetState, now: float) -> None:
        if now >= target_state.pump_at:
            target_state.pump_at = float('inf')
        self.pump(target_state, now)

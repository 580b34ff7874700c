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
from rosemaryweir.targets.account import Account
from rosemaryweir.targets.connections import PROVEN_WITHIN, Conn
from rosemaryweir.targets.gate import Gate
from rosemaryweir.targets.outcome import Outcome, outcome_of
from rosemaryweir.targets.silence import (
    longest,
    overdue_after,
    overtaken,
)
from rosemaryweir.targets.timers import Timers
from rosemaryweir.targets.work import OVERRUN, Work

__all__ = ['Dispatcher']

#: Time given to open a connection, in s.
OPEN_WITHIN = 1.0
#: Time between two looks at an order whose reply is overdue, in s.
LOOK_AGAIN = 0.02
#: A live connection carries the answer to a cancellation within so many s.
VERIFY_WITHIN = 0.03


Settle = Callable[[Work, Outcome, float], None]


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
    works : dict of str to Work
        Attempts that wait or are in flight, by identifier.
    """

    def __init__(self, gate: Gate, timers: Timers, settle: Settle) -> None:
        self.gate = gate
        self.timers = timers
        self.settle = settle
        self.actions: list[Action] = []
        self.works: dict[str, Work] = {}
        self._conns = 0

    def submit(self, account: Account, work: Work, now: float) -> None:
        """Send an attempt, let it wait, or refuse it."""
        refusal = self.gate.refusal(account.name, now)
        if not refusal:
            conn = self._conn_at_once(account, work, now)
            if conn is not None:
                self.works[work.attempt] = work
                self._send(account, conn, work, now)
                return
            if not account.makes_it(work, now):
                refusal = 'shed'
        if refusal:
            self.settle(work, Outcome(refusal, 'no'), now)
            return
        self.works[work.attempt] = work
        account.queue.push(work)
        self.pump(account, now)
        if not work.conn and not work.done:
            self.timers.at(work.wait_until, self._look, (account, work))

    def pump(self, account: Account, now: float) -> None:
        """Send what waits, as far as the limits allow."""
        while account.queue:
            refusal = self.gate.refusal(account.name, now)
            if refusal:
                self.refuse_waiting(account, refusal, now)
                return
            work = account.queue.peek()
            if work is None or not account.has_room(now):
                break
            conn = self._idle_conn(account, work, now)
            if conn is None:
                break
            account.queue.pop()
            self._send(account, conn, work, now)
        if account.queue:
            self._pump_later(account, now)

    def refuse_waiting(self, account: Account, why: str, now: float) -> None:
        """Refuse everything that waits for a target."""
        for work in account.queue.drain():
            self._finish(work, Outcome(why, 'no'), now)

    def cancel(self, account: Account, work: Work, now: float) -> None:
        """Drop an attempt; in flight it holds its slot until answered."""
        if work.conn:
            self._ask_cancel(account, work)
            work.verify_at = work.verify_at or now + VERIFY_WITHIN
            self.timers.at(work.verify_at, self._look, (account, work))
            self.settle(work, Outcome('cancelled', 'unknown'), now)
            return
        account.queue.remove(work)
        self._finish(work, Outcome('cancelled', 'no'), now)

    def opened(self, account: Account, number: int, now: float) -> None:
        """Take a connection that stands now."""
        if number not in account.pool.conns:
            return
        if not account.pool.proven(now - PROVEN_WITHIN):
            # It may have restarted while no connection would have told.
            account.unsure(now)
        account.pool.opened(number, now)
        self.pump(account, now)

    def failed(self, account: Account, number: int, now: float) -> None:
        """Take the failure of an opening."""
        if number not in account.pool.conns:
            return
        account.pool.failed(number, now)
        if not account.pool.conns:
            account.unsure(now)
            self.refuse_waiting(account, 'shed', now)
        self.pump(account, now)

    def gone(self, account: Account, number: int, now: float) -> None:
        """Take the closing of a connection by the other end."""
        conn = account.pool.gone(number)
        if conn is not None:
            account.unsure(now)
            self._lose(account, conn, 'cut', now)
            self.pump(account, now)

    def close(
        self,
        account: Account,
        number: int,
        reason: str,
        now: float,
    ) -> None:
        """Close a connection; what is in flight on it is cut."""
        conn = account.pool.closed(number, now, reason != 'unused')
        if conn is None:
            return
        self.actions.append(CloseConnection(number, reason))
        status = 'timeout' if reason == 'timeout' else 'cut'
        self._lose(account, conn, status, now)

    def take(self, account: Account, reply: TargetReply, now: float) -> bool:
        """Take a reply; return whether it answers what is in flight."""
        conn = account.pool.conns.get(reply.conn)
        if conn is None:
            return False
        work = conn.work
        if work is None or work.attempt != reply.attempt:
            self.close(account, conn.number, 'crossed', now)
            self.pump(account, now)
            return False
        conn.work = None
        conn.alive_at = now
        account.meet(reply.incarnation)
        account.answered(work, now)
        account.learn(reply.status, now - work.sent_at)
        self._finish(work, outcome_of(reply), now)
        return True

    def _conn_at_once(
        self,
        account: Account,
        work: Work,
        now: float,
    ) -> Conn | None:
        """Return a connection on which an attempt can go without waiting."""
        late = work.deadline <= now
        if late or account.queue or not account.has_room(now):
            return None
        conn = account.pool.idle()
        if conn is None or work.kind == 'query':
            return conn
        return conn if conn.alive_at >= now - PROVEN_WITHIN else None

    def _idle_conn(
        self,
        account: Account,
        work: Work,
        now: float,
    ) -> Conn | None:
        conn = account.pool.idle()
        if conn is not None and work.kind == 'order':
            if conn.alive_at < now - PROVEN_WITHIN:
                # The youngest is too old, thus all are.
                for old in account.pool.stale(now):
                    self.close(account, old.number, 'unused', now)
                conn = None
        if conn is None:
            self._open(account, now)
        return conn

    def _open(self, account: Account, now: float) -> None:
        pool = account.pool
        if pool.opening >= len(account.queue) or not pool.may_open(now):
            return
        self._conns += 1
        pool.open(self._conns, account.name, now)
        self.actions.append(
            OpenConnection(
                self._conns,
                account.name,
                account.address,
                now + OPEN_WITHIN,
            ),
        )
        self.timers.at(
            now + 2 * OPEN_WITHIN,
            self._check_opening,
            (account, self._conns),
        )

    def _send(
        self,
        account: Account,
        conn: Conn,
        work: Work,
        now: float,
    ) -> None:
        conn.work = work
        work.conn = conn.number
        work.sent_at = now
        if work.kind == 'query':
            work.deadline = min(work.deadline, now + longest(account.recent))
        over = work.deadline + OVERRUN[work.kind]
        account.slots.start(work.attempt, now, over)
        self.actions.append(
            SendTarget(
                conn.number,
                work.attempt,
                work.kind,
                work.body,
                work.deadline,
            ),
        )
        wait = overdue_after(account.recent)
        self.timers.at(
            min(work.deadline, now + wait),
            self._look,
            (account, work),
        )

    def _lose(
        self,
        account: Account,
        conn: Conn,
        status: str,
        now: float,
    ) -> None:
        work = conn.work
        if work is not None:
            conn.work = None
            account.lost(work)
            self._finish(work, Outcome(status, 'unknown'), now)

    def _finish(self, work: Work, outcome: Outcome, now: float) -> None:
        work.done = True
        self.works.pop(work.attempt, None)
        self.settle(work, outcome, now)

    def _look(self, subject: Any, now: float) -> None:
        """Look at an attempt whose deadline or reply is due."""
        account, work = subject
        if work.done:
            return
        if not work.conn:
            if now >= work.wait_until:
                account.queue.remove(work)
                self._finish(work, Outcome('shed', 'no'), now)
            return
        self._look_in_flight(account, work, now)
        self.pump(account, now)

    def _look_in_flight(self, account: Account, work: Work, now: float) -> None:
        if now >= work.deadline:
            self.close(account, work.conn, 'timeout', now)
            return
        if work.verify_at and now >= work.verify_at:
            self.close(account, work.conn, 'silent', now)
            return
        if now - work.sent_at >= overdue_after(account.recent):
            self._doubt(account, work, now)
        due = work.verify_at or now + LOOK_AGAIN
        self.timers.at(min(work.deadline, due), self._look, (account, work))

    def _doubt(self, account: Account, work: Work, now: float) -> None:
        """Ask the target to drop a query whose reply is overdue.

        A connection that carries no answer to that is silent.  To close it at
        once would be wrong: the slot of an attempt whose connection closed is
        held until its deadline, and among many attempts a few are as late as
        this without any fault.
        """
        if not overtaken(work.overtaken):
            account.doubtful[work.attempt] = work
        if work.kind == 'query' and not work.verify_at:
            work.verify_at = now + VERIFY_WITHIN
            self._ask_cancel(account, work)

    def _ask_cancel(self, account: Account, work: Work) -> None:
        self.actions.append(
            CancelAttempt(account.name, account.address, work.attempt),
        )

    def _check_opening(self, subject: Any, now: float) -> None:
        account, number = subject
        conn = account.pool.conns.get(number)
        if conn is not None and not conn.opened:
            self.close(account, number, 'timeout', now)
            self.pump(account, now)

    def _pump_later(self, account: Account, now: float) -> None:
        waits = (account.slots.next_free(), account.pool.next_open())
        at = min(
            (wait for wait in waits if wait is not None and wait > now),
            default=None,
        )
        if at is not None and not now < account.pump_at <= at:
            account.pump_at = at
            self.timers.at(at, self._pump_due, account)

    def _pump_due(self, account: Account, now: float) -> None:
        if now >= account.pump_at:
            account.pump_at = float('inf')
        self.pump(account, now)

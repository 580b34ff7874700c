"""Decides what happens to the orders of one entry."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.node.action import Action, Metric
from rosemaryweir.node.event import CallerRequest, PeerMessage
from rosemaryweir.node.state import NodeState
from rosemaryweir.orders.admission import (
    deadline_of,
    deny,
    deny_early,
    spec_of,
)
from rosemaryweir.orders.answer import Denial, refuse_order
from rosemaryweir.orders.attempts import Attempts
from rosemaryweir.orders.book import OrderBook
from rosemaryweir.orders.endings import Endings, answer_with
from rosemaryweir.orders.group import Outcome, Verdict
from rosemaryweir.orders.life import Conclusion, Order, OrderSpec
from rosemaryweir.orders.logs import BucketLogs
from rosemaryweir.orders.sending import Sender
from rosemaryweir.schema.generated.orders import OrderResult

__all__ = ['OrderDesk']

#: First wait before another attempt's outcome is asked for again, in seconds.
POLL_S = 0.05
#: How often that wait doubles.
POLL_DOUBLINGS = 4
#: Longest wait for the outcome of another attempt, in seconds.
FOLLOW_S = 5.0

Actions = Iterator[Action]


class OrderDesk:
    """The orders that one entry works on.

    Parameters
    ----------
    state : NodeState
        What the parts of the node share.
    rng : random.Random
        The source of chance.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        self.logs = BucketLogs(rng)
        self._state = state
        self.book = OrderBook()
        self.endings = Endings(self.book, self.logs)
        self.sender = Sender(state, self.endings, rng)
        self._attempts = Attempts(state.uid, rng)
        self._on_verdict = {
            'ours': self._send,
            'theirs': self._defer,
            'expired': self._refuse_expired,
            'store_down': self._refuse_store_down,
            'recorded': self._forget,
        }

    @property
    def busy(self) -> bool:
        """Whether an order is not settled or not recorded."""
        return len(self.book) > 0 or len(self.logs) > 0

    def admit(self, event: CallerRequest, now: float) -> Actions:
        """Take an order of a caller."""
        spec = spec_of(event, self._state.settings['domain'])
        order = self.book.get(spec.order_key)
        if order is not None:
            yield from self._join(order, spec, event, now)
            return
        denial = deny_early(
            self._state, spec, len(self.book), self.logs.keys(), now
        )
        if denial is not None:
            yield refuse_order(event.req, denial)
            return
        self.logs.cleaner.set_wall(now, event.wall)
        self.logs.entries = max(1, len(list(self._state.members())))
        deadline = deadline_of(event, self._state, now)
        record = self._attempts.record(spec, event.wall)
        order = Order(spec, record, deadline, now)
        order.waiters.append(event.req)
        self.book.add(order)
        self.logs.claim(order.claim, now)

    def forget_caller(self, req: int, now: float) -> Actions:
        """Drop an order whose callers hung up before it was sent.

        One that was sent goes on, and its outcome is recorded.
        """
        order = self.book.forget_caller(req)
        if order is None or order.waiters:
            return
        if order.state in {'claiming', 'following'}:
            self.logs.withdraw(order.claim, now)
            denial = Denial('deadline', 'not_run', 'the caller hung up')
            yield from self.endings.refuse(order, denial)

    def settle(self, outcome: Outcome, now: float) -> Actions:
        """Carry out what follows from the store, and start what is due."""
        yield from outcome.actions
        for verdict in outcome.verdicts:
            yield from self._judge(verdict, now)
        yield from self.logs.start_due(now)

    def take_result(self, event: PeerMessage, now: float) -> Actions:
        """Take what became of a send."""
        result: OrderResult = event.message  # type: ignore[assignment]
        order = self.book.get(result['order_key'])
        if order is None or order.state != 'sent':
            return
        if order.send_id != result['attempt']:
            return
        if result['outcome'] == 'refused':
            yield from self.sender.send_anew(order, result['reason'], now)
        else:
            conclusion = Conclusion(result['outcome'], result['reply'])
            yield from self.endings.conclude(order, conclusion, now)

    def answer_overdue(self, now: float) -> Actions:
        """Answer the orders whose deadline has passed."""
        for order in self.book.take_due(now):
            yield from self._overdue(order, now)

    def next_wake(self) -> float | None:
        """Return the time of the next deadline or store call."""
        wakes = (self.logs.next_wake(), self.book.next_due)
        return min((wake for wake in wakes if wake is not None), default=None)

    def _join(
        self,
        order: Order,
        spec: OrderSpec,
        event: CallerRequest,
        now: float,
    ) -> Actions:
        if order.spec.digest != spec.digest:
            yield refuse_order(event.req, _mismatch())
            return
        if order.conclusion is not None:
            yield answer_with(order, event.req, recorded=True)
            return
        if order.state == 'sent' and not order.waiters:
            order.deadline = deadline_of(event, self._state, now)
            self.book.set_timer(order)
        order.waiters.append(event.req)

    def _judge(self, verdict: Verdict, now: float) -> Actions:
        order = self.book.get(verdict.order_key)
        if order is not None and order.claim.attempt == verdict.attempt:
            yield from self._on_verdict[verdict.kind](order, verdict, now)

    def _send(self, order: Order, verdict: Verdict, now: float) -> Actions:
        yield from self.sender.send(order, now)

    def _defer(self, order: Order, verdict: Verdict, now: float) -> Actions:
        """Follow the attempt that has the key."""
        record = verdict.record
        if record is None or record['digest'] != order.spec.digest:
            yield from self.endings.refuse(order, _mismatch())
        elif record['state'] == 'released':
            denial = Denial('conflict', 'not_run', 'another try was refused')
            yield from self.endings.refuse(order, denial)
        elif record['state'] != 'claimed':
            yield from self.endings.repeat(
                order, Conclusion(record['state'], record['reply'])
            )
        elif self._attempts.holder_is_gone(
            record,
            order.claim.record['claimed_at'],
        ):
            yield from self.endings.repeat(order, Conclusion('unknown'))
        else:
            order.move('following')
            self._poll(order, now)

    def _refuse_expired(
        self,
        order: Order,
        verdict: Verdict,
        now: float,
    ) -> Actions:
        denial = Denial('expired', 'unknown', 'the record of this key is gone')
        yield from self.endings.refuse(order, denial)

    def _refuse_store_down(
        self,
        order: Order,
        verdict: Verdict,
        now: float,
    ) -> Actions:
        if order.state == 'following':
            yield from self.endings.repeat(order, Conclusion('unknown'))
            return
        denial = deny(order.spec, 'store_down', 'the store gives no answer')
        yield from self.endings.refuse(order, denial)

    def _forget(self, order: Order, verdict: Verdict, now: float) -> Actions:
        if order.state == 'settled':
            yield Metric('count', 'orders.recorded', 1, {})
            self.book.drop(order)

    def _overdue(self, order: Order, now: float) -> Actions:
        if order.state == 'claiming':
            self.logs.withdraw(order.claim, now)
            denial = deny(order.spec, 'deadline', 'the claim took too long')
            yield from self.endings.refuse(order, denial)
        elif order.state == 'following':
            self.logs.withdraw(order.claim, now)
            yield from self.endings.repeat(order, Conclusion('unknown'))
        elif order.state == 'sent':
            yield from self._overdue_sent(order, now)

    def _overdue_sent(self, order: Order, now: float) -> Actions:
        if now >= order.late_until:
            yield from self.endings.conclude(order, Conclusion('unknown'), now)
            return
        yield from self.endings.tell_unknown(order)
        self.book.set_timer(order)

    def _poll(self, order: Order, now: float) -> None:
        wait = POLL_S * 2 ** min(order.polls, POLL_DOUBLINGS)
        if order.polls == 0 and now + FOLLOW_S < order.deadline:
            order.deadline = now + FOLLOW_S
            self.book.set_timer(order)
        order.polls += 1
        self.logs.claim(order.claim, now + wait)


def _mismatch() -> Denial:
    return Denial('mismatch', 'not_run', 'this key stands for another order')

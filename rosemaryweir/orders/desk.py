"""Decides what happens to the orders of one entry."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.node.action import Action, LogEvent, Metric
from rosemaryweir.node.catalogue import register_event
from rosemaryweir.node.event import CallerRequest, PeerMessage
from rosemaryweir.node.state import NodeState
from rosemaryweir.orders.admission import (
    deadline_of,
    deny,
    deny_early,
    spec_of,
)
from rosemaryweir.orders.answer import (
    Denial,
    OrderOutcome,
    answer_order,
    refuse_order,
)
from rosemaryweir.orders.attempts import Attempts
from rosemaryweir.orders.book import OrderBook
from rosemaryweir.orders.bucket import Update, clip_reply
from rosemaryweir.orders.group import Outcome, Verdict
from rosemaryweir.orders.life import Conclusion, Order, OrderSpec
from rosemaryweir.orders.logs import BucketLogs
from rosemaryweir.orders.target_choice import Route, choose_route, send_order
from rosemaryweir.schema.generated.orders import OrderResult

__all__ = ['OrderDesk']

ORDER_UNKNOWN = register_event(
    400,
    'order.unknown',
    'warning',
    'An order may have run: no outcome came in time. Ask the service behind '
    'it before placing the order under a new key.',
)
ORDER_REFUSED = register_event(
    401,
    'order.refused',
    'info',
    'An order was refused; the reason says why.',
)

#: Least time that must be left when an order is sent, in seconds.
SEND_MARGIN_S = 0.02
#: Targets that one order is offered at most.
MOST_SENDS = 3
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
        self._rng = rng
        self.book = OrderBook()
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
            yield from self._refuse(order, denial)

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
            yield from self._send_anew(order, result['reason'], now)
        else:
            conclusion = Conclusion(result['outcome'], result['reply'])
            yield from self._conclude(order, conclusion, now)

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
            yield self._answer(order, event.req, recorded=True)
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
        """Send an order whose claim is durable and ours."""
        if not self._state.may_start(now):
            denial = Denial('fenced', 'not_run', 'this VM may start no work')
            yield from self._release(order, denial, now)
            return
        route = self._route(order)
        if route is None:
            denial = Denial('no_capacity', 'not_run', 'no target takes orders')
            yield from self._release(order, denial, now)
        elif order.deadline - now < SEND_MARGIN_S:
            denial = Denial('deadline', 'not_run', 'too late to be sent')
            yield from self._release(order, denial, now)
        else:
            order.note_send(route.target)
            generation = self._state.config['generation']
            yield send_order(order, route, generation, now)

    def _send_anew(self, order: Order, reason: str, now: float) -> Actions:
        """Offer an order that was refused without running to another target."""
        if order.sends < MOST_SENDS and self._route(order) is not None:
            yield from self._send(order, _claim_ours(order), now)
            return
        denial = Denial('no_capacity', 'not_run', f'targets refused: {reason}')
        yield from self._release(order, denial, now)

    def _defer(self, order: Order, verdict: Verdict, now: float) -> Actions:
        """Follow the attempt that has the key."""
        record = verdict.record
        if record is None or record['digest'] != order.spec.digest:
            yield from self._refuse(order, _mismatch())
        elif record['state'] == 'released':
            denial = Denial('conflict', 'not_run', 'another try was refused')
            yield from self._refuse(order, denial)
        elif record['state'] != 'claimed':
            yield from self._repeat(
                order, Conclusion(record['state'], record['reply'])
            )
        elif self._attempts.holder_is_gone(
            record,
            order.claim.record['claimed_at'],
        ):
            yield from self._repeat(order, Conclusion('unknown'))
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
        yield from self._refuse(order, denial)

    def _refuse_store_down(
        self,
        order: Order,
        verdict: Verdict,
        now: float,
    ) -> Actions:
        if order.state == 'following':
            yield from self._repeat(order, Conclusion('unknown'))
            return
        denial = deny(order.spec, 'store_down', 'the store gives no answer')
        yield from self._refuse(order, denial)

    def _forget(self, order: Order, verdict: Verdict, now: float) -> Actions:
        if order.state == 'settled':
            yield Metric('count', 'orders.recorded', 1, {})
            self.book.drop(order)

    def _overdue(self, order: Order, now: float) -> Actions:
        if order.state == 'claiming':
            self.logs.withdraw(order.claim, now)
            denial = deny(order.spec, 'deadline', 'the claim took too long')
            yield from self._refuse(order, denial)
        elif order.state == 'following':
            self.logs.withdraw(order.claim, now)
            yield from self._repeat(order, Conclusion('unknown'))
        elif order.state == 'sent':
            yield from self._overdue_sent(order, now)

    def _overdue_sent(self, order: Order, now: float) -> Actions:
        if now >= order.late_until:
            yield from self._conclude(order, Conclusion('unknown'), now)
            return
        for req in order.take_waiters():
            yield LogEvent(ORDER_UNKNOWN, {'order_key': order.spec.order_key})
            yield answer_order(req, order.spec.order_key, 'unknown', '', False)
        self.book.set_timer(order)

    def _conclude(
        self,
        order: Order,
        conclusion: Conclusion,
        now: float,
    ) -> Actions:
        """Take the outcome of our own send: answer, and record it."""
        order.conclude(conclusion)
        reply = clip_reply(conclusion.reply)
        attempt = order.claim.attempt
        update = Update(order.spec.order_key, attempt, conclusion.state, reply)
        self.logs.update(update, now)
        yield Metric('count', 'orders', 1, {'outcome': conclusion.state})
        for req in order.take_waiters():
            yield self._answer(order, req, recorded=False)

    def _release(self, order: Order, denial: Denial, now: float) -> Actions:
        """Refuse an order that did not run; its key may be claimed afresh."""
        attempt = order.claim.attempt
        update = Update(order.spec.order_key, attempt, 'released')
        self.logs.update(update, now)
        yield from self._refuse(order, denial)

    def _refuse(self, order: Order, denial: Denial) -> Actions:
        self.book.drop(order)
        fields = {'order_key': order.spec.order_key, 'reason': denial.reason}
        yield LogEvent(ORDER_REFUSED, fields)
        yield Metric('count', 'orders', 1, {'outcome': denial.reason})
        for req in order.take_waiters():
            yield refuse_order(req, denial)

    def _repeat(self, order: Order, conclusion: Conclusion) -> Actions:
        """Answer with what the record says of another attempt."""
        order.conclusion = conclusion
        self.book.drop(order)
        yield Metric('count', 'orders', 1, {'outcome': 'repeated'})
        for req in order.take_waiters():
            yield self._answer(order, req, recorded=True)

    def _poll(self, order: Order, now: float) -> None:
        wait = POLL_S * 2 ** min(order.polls, POLL_DOUBLINGS)
        if order.polls == 0 and now + FOLLOW_S < order.deadline:
            order.deadline = now + FOLLOW_S
            self.book.set_timer(order)
        order.polls += 1
        self.logs.claim(order.claim, now + wait)

    def _answer(self, order: Order, req: int, recorded: bool) -> Action:
        conclusion = order.conclusion or Conclusion('unknown')
        key = order.spec.order_key
        return answer_order(
            req,
            key,
            _outcome_of(conclusion),
            conclusion.reply,
            recorded,
        )

    def _route(self, order: Order) -> Route | None:
        spec = order.spec
        return choose_route(
            self._state,
            spec.service,
            spec.domain,
            order.targets,
            self._rng,
        )


def _outcome_of(conclusion: Conclusion) -> OrderOutcome:
    if conclusion.state == 'done':
        return 'done'
    return 'failed' if conclusion.state == 'failed' else 'unknown'


def _mismatch() -> Denial:
    return Denial('mismatch', 'not_run', 'this key stands for another order')


def _claim_ours(order: Order) -> Verdict:
    return Verdict('ours', order.spec.order_key, order.claim.attempt)

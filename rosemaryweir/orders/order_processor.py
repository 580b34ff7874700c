"""Order processing of one entry: claim, send, follow and time out."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.node.action import Action, Metric
from rosemaryweir.node.event import CallerRequest, PeerMessage
from rosemaryweir.node.state import NodeState
from rosemaryweir.orders.admission import (
    check_admission,
    deny_without_lookup,
    parse_order,
    request_deadline,
)
from rosemaryweir.orders.answer import Denial, refuse_order
from rosemaryweir.orders.bucket_writer import AttemptResult, StoreCallResult
from rosemaryweir.orders.bucket_writers import BucketWriters
from rosemaryweir.orders.claim_records import ClaimRecordFactory
from rosemaryweir.orders.open_orders import OpenOrders
from rosemaryweir.orders.order import Conclusion, Order, OrderSpec
from rosemaryweir.orders.order_completion import OrderCompletion, answer_request
from rosemaryweir.orders.order_sender import OrderSender
from rosemaryweir.schema.generated.orders import OrderResult

__all__ = ['OrderProcessor']

#: First interval for reading the record of another attempt.
MIN_POLL_INTERVAL_S = 0.05
#: Number of times that the interval doubles.
MAX_POLL_DOUBLINGS = 4
#: Wait for the outcome of another attempt.
MAX_FOLLOW_S = 5.0

Actions = Iterator[Action]


class OrderProcessor:
    """Processes the orders of one entry.

    Parameters
    ----------
    state : NodeState
        Shared state of the node.
    rng : random.Random
        Random number generator.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        self.writers = BucketWriters(rng)
        self._state = state
        self.open_orders = OpenOrders()
        self.completion = OrderCompletion(self.open_orders, self.writers)
        self.sender = OrderSender(state, self.completion, rng)
        self._claim_records = ClaimRecordFactory(state.uid, rng)
        self._result_handlers = {
            'ours': self._send,
            'theirs': self._follow,
            'expired': self._refuse_expired,
            'store_down': self._refuse_store_down,
            'recorded': self._remove_recorded,
        }

    @property
    def busy(self) -> bool:
        """Whether an order is open or a change is not recorded yet."""
        return len(self.open_orders) > 0 or len(self.writers) > 0

    def admit(self, event: CallerRequest, now: float) -> Actions:
        """Accept, join or refuse the order of a request."""
        spec = parse_order(event, self._state.settings['domain'])
        order = self.open_orders.get(spec.order_key)
        if order is not None:
            yield from self._join_order(order, spec, event, now)
            return
        denial = check_admission(
            self._state,
            spec,
            len(self.open_orders),
            self.writers.key_count(),
            now,
        )
        if denial is not None:
            yield refuse_order(event.req, denial)
            return
        self.writers.expirer.set_wall_time(now, event.wall)
        self.writers.entries = max(1, len(list(self._state.members())))
        deadline = request_deadline(event, self._state, now)
        record = self._claim_records.new_claim_record(spec, event.wall)
        order = Order(spec, record, deadline, now)
        order.waiters.append(event.req)
        self.open_orders.add(order)
        self.writers.add_claim(order.claim, now)

    def caller_disconnected(self, req: int, now: float) -> Actions:
        """Drop an unsent order when its last caller disconnects.

        An order that was sent continues, and its outcome is recorded.
        """
        order = self.open_orders.remove_caller(req)
        if order is None or order.waiters:
            return
        if order.state in {'claiming', 'following'}:
            self.writers.withdraw(order.claim, now)
            denial = Denial('deadline', 'not_run', 'the caller disconnected')
            yield from self.completion.refuse(order, denial)

    def handle_store_result(
        self, store_result: StoreCallResult, now: float
    ) -> Actions:
        """Handle the result of a store call, then start due calls."""
        yield from store_result.actions
        for attempt_result in store_result.attempt_results:
            yield from self._handle_attempt_result(attempt_result, now)
        yield from self.writers.start_due(now)

    def handle_result(self, event: PeerMessage, now: float) -> Actions:
        """Handle the result of a send."""
        result: OrderResult = event.message  # type: ignore[assignment]
        order = self.open_orders.get(result['order_key'])
        if order is None or order.state != 'sent':
            return
        if order.send_id != result['attempt']:
            return
        if result['outcome'] == 'refused':
            yield from self.sender.resend(order, result['reason'], now)
        else:
            conclusion = Conclusion(result['outcome'], result['reply'])
            yield from self.completion.conclude(order, conclusion, now)

    def handle_timeouts(self, now: float) -> Actions:
        """Time out the orders whose timer has expired."""
        for order in self.open_orders.pop_due(now):
            yield from self._time_out(order, now)

    def next_wake(self) -> float | None:
        """Return the time of the next deadline or store call."""
        wakes = (self.writers.next_wake(), self.open_orders.next_due)
        return min((wake for wake in wakes if wake is not None), default=None)

    def _join_order(
        self,
        order: Order,
        spec: OrderSpec,
        event: CallerRequest,
        now: float,
    ) -> Actions:
        if order.spec.digest != spec.digest:
            yield refuse_order(event.req, _mismatch_denial())
            return
        if order.conclusion is not None:
            yield answer_request(order, event.req, recorded=True)
            return
        if order.state == 'sent' and not order.waiters:
            order.deadline = request_deadline(event, self._state, now)
            self.open_orders.set_timer(order)
        order.waiters.append(event.req)

    def _handle_attempt_result(
        self, attempt_result: AttemptResult, now: float
    ) -> Actions:
        order = self.open_orders.get(attempt_result.order_key)
        if (
            order is not None
            and order.claim.attempt_id == attempt_result.attempt_id
        ):
            yield from self._result_handlers[attempt_result.kind](
                order, attempt_result, now
            )

    def _send(
        self, order: Order, attempt_result: AttemptResult, now: float
    ) -> Actions:
        yield from self.sender.send(order, now)

    def _follow(
        self, order: Order, attempt_result: AttemptResult, now: float
    ) -> Actions:
        """Answer with the outcome of another attempt, or wait for it."""
        record = attempt_result.record
        if record is None or record['digest'] != order.spec.digest:
            yield from self.completion.refuse(order, _mismatch_denial())
        elif record['state'] == 'released':
            denial = Denial(
                'conflict', 'not_run', 'another attempt was refused'
            )
            yield from self.completion.refuse(order, denial)
        elif record['state'] != 'claimed':
            yield from self.completion.answer_from_record(
                order, Conclusion(record['state'], record['reply'])
            )
        elif self._claim_records.claim_is_abandoned(
            record,
            order.claim.record['claimed_at'],
        ):
            yield from self.completion.answer_from_record(
                order, Conclusion('unknown')
            )
        else:
            order.enter_state('following')
            self._schedule_poll(order, now)

    def _refuse_expired(
        self,
        order: Order,
        attempt_result: AttemptResult,
        now: float,
    ) -> Actions:
        denial = Denial(
            'expired', 'unknown', 'the record of this key has expired'
        )
        yield from self.completion.refuse(order, denial)

    def _refuse_store_down(
        self,
        order: Order,
        attempt_result: AttemptResult,
        now: float,
    ) -> Actions:
        if order.state == 'following':
            yield from self.completion.answer_from_record(
                order, Conclusion('unknown')
            )
            return
        denial = deny_without_lookup(
            order.spec, 'store_down', 'the store does not respond'
        )
        yield from self.completion.refuse(order, denial)

    def _remove_recorded(
        self, order: Order, attempt_result: AttemptResult, now: float
    ) -> Actions:
        if order.state == 'settled':
            yield Metric('count', 'orders.recorded', 1, {})
            self.open_orders.remove(order)

    def _time_out(self, order: Order, now: float) -> Actions:
        if order.state == 'claiming':
            self.writers.withdraw(order.claim, now)
            denial = deny_without_lookup(
                order.spec, 'deadline', 'the claim was not written in time'
            )
            yield from self.completion.refuse(order, denial)
        elif order.state == 'following':
            self.writers.withdraw(order.claim, now)
            yield from self.completion.answer_from_record(
                order, Conclusion('unknown')
            )
        elif order.state == 'sent':
            yield from self._time_out_sent(order, now)

    def _time_out_sent(self, order: Order, now: float) -> Actions:
        if now >= order.late_deadline:
            yield from self.completion.conclude(
                order, Conclusion('unknown'), now
            )
            return
        yield from self.completion.answer_unknown(order)
        self.open_orders.set_timer(order)

    def _schedule_poll(self, order: Order, now: float) -> None:
        wait = MIN_POLL_INTERVAL_S * 2 ** min(
            order.poll_count, MAX_POLL_DOUBLINGS
        )
        if order.poll_count == 0 and now + MAX_FOLLOW_S < order.deadline:
            order.deadline = now + MAX_FOLLOW_S
            self.open_orders.set_timer(order)
        order.poll_count += 1
        self.writers.add_claim(order.claim, now + wait)


def _mismatch_denial() -> Denial:
    return Denial('mismatch', 'not_run', 'this key belongs to another order')

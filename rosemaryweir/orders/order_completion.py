"""Completion of orders: responses to callers and updates of the record."""

from collections.abc import Iterator

from rosemaryweir.node.action import Action, LogEvent, Metric
from rosemaryweir.orders.answer import (
    Denial,
    OrderOutcome,
    answer_order,
    refuse_order,
)
from rosemaryweir.orders.bucket_writers import BucketWriters
from rosemaryweir.orders.open_orders import OpenOrders
from rosemaryweir.orders.order import Conclusion, Order
from rosemaryweir.orders.segment import RecordUpdate, truncate_reply
from rosemaryweir.telemetry.log_events import register_event

__all__ = ['OrderCompletion', 'answer_request']

ORDER_UNKNOWN = register_event(
    400,
    'order.unknown',
    'warning',
    'No outcome of an order arrived in time; it may have run. Check with the '
    'service before placing the order again under a new key.',
)
ORDER_REFUSED = register_event(
    401,
    'order.refused',
    'info',
    'An order was refused for the reason in the field reason.',
)

Actions = Iterator[Action]


class OrderCompletion:
    """Responds to callers and records how the orders of one entry ended.

    Parameters
    ----------
    book : OrderBook
        Open orders of the entry.
    logs : BucketLogs
        Writers for outcomes and releases.
    """

    def __init__(self, open_orders: OpenOrders, writers: BucketWriters) -> None:
        self.open_orders = open_orders
        self.writers = writers

    def conclude(
        self,
        order: Order,
        conclusion: Conclusion,
        now: float,
    ) -> Actions:
        """Record the outcome of a send and answer the callers."""
        order.conclude(conclusion)
        reply = truncate_reply(conclusion.reply)
        attempt_id = order.claim.attempt_id
        update = RecordUpdate(
            order.spec.order_key, attempt_id, conclusion.state, reply
        )
        self.writers.add_update(update, now)
        yield Metric('count', 'orders', 1, {'outcome': conclusion.state})
        for req in order.pop_waiters():
            yield answer_request(order, req, recorded=False)

    def release(self, order: Order, denial: Denial, now: float) -> Actions:
        """Refuse an order that did not run, and release its key."""
        attempt_id = order.claim.attempt_id
        update = RecordUpdate(order.spec.order_key, attempt_id, 'released')
        self.writers.add_update(update, now)
        yield from self.refuse(order, denial)

    def refuse(self, order: Order, denial: Denial) -> Actions:
        """Refuse an order without a change of its record."""
        self.open_orders.remove(order)
        fields = {'order_key': order.spec.order_key, 'reason': denial.reason}
        yield LogEvent(ORDER_REFUSED, fields)
        yield Metric('count', 'orders', 1, {'outcome': denial.reason})
        for req in order.pop_waiters():
            yield refuse_order(req, denial)

    def answer_from_record(
        self, order: Order, conclusion: Conclusion
    ) -> Actions:
        """Answer with the recorded outcome of another attempt."""
        order.conclusion = conclusion
        self.open_orders.remove(order)
        yield Metric('count', 'orders', 1, {'outcome': 'repeated'})
        for req in order.pop_waiters():
            yield answer_request(order, req, recorded=True)

    def answer_unknown(self, order: Order) -> Actions:
        """Answer `unknown` while the order may still get an outcome."""
        for req in order.pop_waiters():
            yield LogEvent(ORDER_UNKNOWN, {'order_key': order.spec.order_key})
            yield answer_request(order, req, recorded=False)


def answer_request(order: Order, req: int, recorded: bool) -> Action:
    """Return the response to one request for an order."""
    conclusion = order.conclusion or Conclusion('unknown')
    return answer_order(
        req,
        order.spec.order_key,
        _outcome_of(conclusion),
        conclusion.reply,
        recorded,
    )


def _outcome_of(conclusion: Conclusion) -> OrderOutcome:
    if conclusion.state == 'done':
        return 'done'
    return 'failed' if conclusion.state == 'failed' else 'unknown'

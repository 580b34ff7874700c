"""How an order ends: what its callers are told, what is recorded."""

from collections.abc import Iterator

from rosemaryweir.node.action import Action, LogEvent, Metric
from rosemaryweir.node.log_events import register_event
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

__all__ = ['OrderCompletion', 'answer_request']

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

Actions = Iterator[Action]


class OrderCompletion:
    """Ends the orders of one entry.

    Parameters
    ----------
    book : OrderBook
        The orders that the entry works on.
    logs : BucketLogs
        Where outcomes and releases are recorded.
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
        """Take the outcome of our own send: answer, and record it."""
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
        """Refuse an order that did not run; its key may be claimed afresh."""
        attempt_id = order.claim.attempt_id
        update = RecordUpdate(order.spec.order_key, attempt_id, 'released')
        self.writers.add_update(update, now)
        yield from self.refuse(order, denial)

    def refuse(self, order: Order, denial: Denial) -> Actions:
        """Refuse an order of which nothing is to be recorded."""
        self.open_orders.remove(order)
        fields = {'order_key': order.spec.order_key, 'reason': denial.reason}
        yield LogEvent(ORDER_REFUSED, fields)
        yield Metric('count', 'orders', 1, {'outcome': denial.reason})
        for req in order.pop_waiters():
            yield refuse_order(req, denial)

    def answer_from_record(
        self, order: Order, conclusion: Conclusion
    ) -> Actions:
        """Answer with what the record says of another attempt."""
        order.conclusion = conclusion
        self.open_orders.remove(order)
        yield Metric('count', 'orders', 1, {'outcome': 'repeated'})
        for req in order.pop_waiters():
            yield answer_request(order, req, recorded=True)

    def answer_unknown(self, order: Order) -> Actions:
        """Answer the callers of an order that may still get an outcome."""
        for req in order.pop_waiters():
            yield LogEvent(ORDER_UNKNOWN, {'order_key': order.spec.order_key})
            yield answer_request(order, req, recorded=False)


def answer_request(order: Order, req: int, recorded: bool) -> Action:
    """Return the answer to one request for an order."""
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

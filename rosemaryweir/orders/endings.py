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
from rosemaryweir.orders.book import OrderBook
from rosemaryweir.orders.bucket import Update, clip_reply
from rosemaryweir.orders.life import Conclusion, Order
from rosemaryweir.orders.logs import BucketLogs

__all__ = ['Endings', 'answer_with']

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


class Endings:
    """Ends the orders of one entry.

    Parameters
    ----------
    book : OrderBook
        The orders that the entry works on.
    logs : BucketLogs
        Where outcomes and releases are recorded.
    """

    def __init__(self, book: OrderBook, logs: BucketLogs) -> None:
        self.book = book
        self.logs = logs

    def conclude(
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
            yield answer_with(order, req, recorded=False)

    def release(self, order: Order, denial: Denial, now: float) -> Actions:
        """Refuse an order that did not run; its key may be claimed afresh."""
        attempt = order.claim.attempt
        update = Update(order.spec.order_key, attempt, 'released')
        self.logs.update(update, now)
        yield from self.refuse(order, denial)

    def refuse(self, order: Order, denial: Denial) -> Actions:
        """Refuse an order of which nothing is to be recorded."""
        self.book.drop(order)
        fields = {'order_key': order.spec.order_key, 'reason': denial.reason}
        yield LogEvent(ORDER_REFUSED, fields)
        yield Metric('count', 'orders', 1, {'outcome': denial.reason})
        for req in order.take_waiters():
            yield refuse_order(req, denial)

    def repeat(self, order: Order, conclusion: Conclusion) -> Actions:
        """Answer with what the record says of another attempt."""
        order.conclusion = conclusion
        self.book.drop(order)
        yield Metric('count', 'orders', 1, {'outcome': 'repeated'})
        for req in order.take_waiters():
            yield answer_with(order, req, recorded=True)

    def tell_unknown(self, order: Order) -> Actions:
        """Answer the callers of an order that may still get an outcome."""
        for req in order.take_waiters():
            yield LogEvent(ORDER_UNKNOWN, {'order_key': order.spec.order_key})
            yield answer_with(order, req, recorded=False)


def answer_with(order: Order, req: int, recorded: bool) -> Action:
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

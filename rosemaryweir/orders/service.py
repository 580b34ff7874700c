"""The part of an entry that takes orders: each runs at most once."""

from collections.abc import Iterator, Mapping
from random import Random
from typing import Any

from rosemaryweir.node.action import Action
from rosemaryweir.node.event import (
    CallerGone,
    CallerRequest,
    PeerMessage,
    StoreFailed,
    StoreReply,
)
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.orders.desk import OrderDesk
from rosemaryweir.orders.logs import TOPIC

__all__ = ['OrderService']


@part_of('entry')
class OrderService(Part):
    """Claims the key of an order, sends it once, records what became of it.

    Notes
    -----
    The claim is one conditional update in the store, so no lease is trusted
    for it.  Only the attempt whose claim is durable sends, and never again
    unless the leaf or the target says that it did not run.

    See Also
    --------
    rosemaryweir.orders.life : the states of an order.
    rosemaryweir.orders.group : how claims and outcomes are written.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.desk = OrderDesk(state, rng)

    @handles(CallerRequest, 'order')
    def admit(self, event: CallerRequest, now: float) -> Iterator[Action]:
        """Take an order of a caller."""
        yield from self.desk.admit(event, now)
        yield from self.desk.logs.start_due(now)

    @handles(CallerGone)
    def forget_caller(self, event: CallerGone, now: float) -> Iterator[Action]:
        """Drop an order whose callers hung up before it was sent."""
        yield from self.desk.forget_caller(event.req, now)
        yield from self.desk.logs.start_due(now)

    @handles(StoreReply, TOPIC)
    def store_replied(self, event: StoreReply, now: float) -> Iterator[Action]:
        """Take an answer of the store."""
        outcome = self.desk.logs.replied(event, now)
        yield from self.desk.settle(outcome, now)

    @handles(StoreFailed, TOPIC)
    def store_failed(self, event: StoreFailed, now: float) -> Iterator[Action]:
        """Take a store call without an answer."""
        outcome = self.desk.logs.failed(event, now)
        yield from self.desk.settle(outcome, now)

    @handles(PeerMessage, 'order_result')
    def leaf_replied(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Take what became of a send."""
        yield from self.desk.take_result(event, now)
        yield from self.desk.logs.start_due(now)

    def next_wake(self) -> float | None:
        """Return the time of the next deadline or store call."""
        return self.desk.next_wake()

    def wake(self, now: float) -> Iterator[Action]:
        """Answer orders at their deadline and start store calls."""
        yield from self.desk.answer_overdue(now)
        yield from self.desk.settle(self.desk.logs.expire(now), now)

    def busy(self, now: float) -> bool:
        """Return whether an order is not settled or not recorded."""
        return self.desk.busy

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the numbers of the status page."""
        return {
            'open': len(self.desk.book),
            'unsettled': len(self.desk.logs),
            'known_keys': self.desk.logs.keys(),
        }

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
from rosemaryweir.orders.bucket_writers import TOPIC
from rosemaryweir.orders.order_processor import OrderProcessor

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
    rosemaryweir.orders.order : the states of an order.
    rosemaryweir.orders.bucket_writer : how claims and outcomes are written.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.processor = OrderProcessor(state, rng)

    @handles(CallerRequest, 'order')
    def admit(self, event: CallerRequest, now: float) -> Iterator[Action]:
        """Take an order of a caller."""
        yield from self.processor.admit(event, now)
        yield from self.processor.writers.start_due(now)

    @handles(CallerGone)
    def caller_disconnected(
        self, event: CallerGone, now: float
    ) -> Iterator[Action]:
        """Drop an order whose callers hung up before it was sent."""
        yield from self.processor.caller_disconnected(event.req, now)
        yield from self.processor.writers.start_due(now)

    @handles(StoreReply, TOPIC)
    def store_replied(self, event: StoreReply, now: float) -> Iterator[Action]:
        """Take an answer of the store."""
        store_result = self.processor.writers.handle_reply(event, now)
        yield from self.processor.handle_store_result(store_result, now)

    @handles(StoreFailed, TOPIC)
    def store_failed(self, event: StoreFailed, now: float) -> Iterator[Action]:
        """Take a store call without an answer."""
        store_result = self.processor.writers.handle_failure(event, now)
        yield from self.processor.handle_store_result(store_result, now)

    @handles(PeerMessage, 'order_result')
    def leaf_replied(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Take what became of a send."""
        yield from self.processor.handle_result(event, now)
        yield from self.processor.writers.start_due(now)

    def next_wake(self) -> float | None:
        """Return the time of the next deadline or store call."""
        return self.processor.next_wake()

    def wake(self, now: float) -> Iterator[Action]:
        """Answer orders at their deadline and start store calls."""
        yield from self.processor.handle_timeouts(now)
        yield from self.processor.handle_store_result(
            self.processor.writers.time_out_calls(now), now
        )

    def busy(self, now: float) -> bool:
        """Return whether an order is not settled or not recorded."""
        return self.processor.busy

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the numbers of the status page."""
        return {
            'open': len(self.processor.open_orders),
            'unsettled': len(self.processor.writers),
            'known_keys': self.processor.writers.key_count(),
        }

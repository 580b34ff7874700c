"""Order service: the node part of an entry that processes orders."""

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
    """Claims the key of an order, sends the order, and records its outcome.

    Notes
    -----
    The claim is a conditional update in the store, so that it does not depend
    on a lease.  Only the attempt with a durable claim sends the order, and it
    sends it again only if the leaf or the target reports that it did not run.

    See Also
    --------
    rosemaryweir.orders.order : states of an order.
    rosemaryweir.orders.bucket_writer : writing of claims and outcomes.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.processor = OrderProcessor(state, rng)

    @handles(CallerRequest, 'order')
    def admit(self, event: CallerRequest, now: float) -> Iterator[Action]:
        """Handle an order request."""
        yield from self.processor.admit(event, now)
        yield from self.processor.writers.start_due(now)

    @handles(CallerGone)
    def caller_disconnected(
        self, event: CallerGone, now: float
    ) -> Iterator[Action]:
        """Handle the disconnection of a caller."""
        yield from self.processor.caller_disconnected(event.req, now)
        yield from self.processor.writers.start_due(now)

    @handles(StoreReply, TOPIC)
    def store_replied(self, event: StoreReply, now: float) -> Iterator[Action]:
        """Handle a reply of the store."""
        store_result = self.processor.writers.handle_reply(event, now)
        yield from self.processor.handle_store_result(store_result, now)

    @handles(StoreFailed, TOPIC)
    def store_failed(self, event: StoreFailed, now: float) -> Iterator[Action]:
        """Handle a failed store call."""
        store_result = self.processor.writers.handle_failure(event, now)
        yield from self.processor.handle_store_result(store_result, now)

    @handles(PeerMessage, 'order_result')
    def leaf_replied(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Handle the result of a send."""
        yield from self.processor.handle_result(event, now)
        yield from self.processor.writers.start_due(now)

    def next_wake(self) -> float | None:
        """Return the time of the next timer or store call."""
        return self.processor.next_wake()

    def wake(self, now: float) -> Iterator[Action]:
        """Time out orders and store calls, and start the calls that are due."""
        yield from self.processor.handle_timeouts(now)
        yield from self.processor.handle_store_result(
            self.processor.writers.time_out_calls(now), now
        )

    def busy(self, now: float) -> bool:
        """Return whether an order is open or a change is not recorded yet."""
        return self.processor.busy

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the values of the status page."""
        return {
            'open': len(self.processor.open_orders),
            'unsettled': len(self.processor.writers),
            'known_keys': self.processor.writers.key_count(),
        }

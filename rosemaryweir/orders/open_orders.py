"""Open orders of a process, by key and by timer."""

import heapq
from collections.abc import Iterator

from rosemaryweir.orders.order import Order

__all__ = ['OpenOrders']


class OpenOrders:
    """The open orders of one process and their timers."""

    def __init__(self) -> None:
        self._orders: dict[str, Order] = {}
        self._timers: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of orders."""
        return len(self._orders)

    @property
    def next_due(self) -> float | None:
        """Time of the next timer, which may be obsolete."""
        return self._timers[0][0] if self._timers else None

    def get(self, order_key: str) -> Order | None:
        """Return the order of a key, or None."""
        return self._orders.get(order_key)

    def add(self, order: Order) -> None:
        """Add an order and set its timer."""
        self._orders[order.spec.order_key] = order
        self.set_timer(order)

    def remove(self, order: Order) -> None:
        """Remove an order and mark it as dropped."""
        order.enter_state('dropped')
        self._orders.pop(order.spec.order_key)

    def set_timer(self, order: Order) -> None:
        """Add a timer for the next due time of an order."""
        heapq.heappush(self._timers, (order.timer_due, order.spec.order_key))

    def pop_due(self, now: float) -> Iterator[Order]:
        """Yield the orders whose timer has expired."""
        while self._timers and self._timers[0][0] <= now:
            _, order_key = heapq.heappop(self._timers)
            order = self._orders.get(order_key)
            if order is None:
                continue
            if order.timer_due <= now:
                yield order
            else:
                # Its callers have disconnected, so its due time is later now.
                self.set_timer(order)

    def remove_caller(self, req: int) -> Order | None:
        """Remove a request from its order, and return the order or None."""
        for order in self._orders.values():
            if req in order.waiters:
                order.waiters.remove(req)
                return order
        return None

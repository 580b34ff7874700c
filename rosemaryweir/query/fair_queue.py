"""A bounded queue, weighted fair between tenants."""

import heapq
import itertools
from typing import Generic, NamedTuple, TypeVar

__all__ = ['FairQueue', 'Waiting']

Item = TypeVar('Item')


class Waiting(NamedTuple, Generic[Item]):
    """A request that waits.

    Parameters
    ----------
    rank : tuple of int
        Less is served first within the tenant.
    tenant : str
        Whose it is.
    req : int
        Identifier of the request.
    item : Item
        The request.
    """

    rank: tuple[int, int]
    tenant: str
    req: int
    item: Item


class FairQueue(Generic[Item]):
    """Requests by tenant; each tenant is served by its weight.

    Notes
    -----
    Start-time fair queueing: a tenant's clock advances by 1/weight with each
    request served, the tenant with the lowest clock is next.  A tenant that
    returns from idleness starts at the clock of the queue, so that it neither
    saves up nor loses anything.

    References
    ----------
    P. Goyal, H. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for req, tenant in enumerate(['a', 'a', 'a', 'b']):
    ...     queue.push(tenant, 1, 0, req, None)
    >>> [queue.pop().req for _ in range(4)]
    [0, 3, 1, 2]
    """

    def __init__(self) -> None:
        self._order = itertools.count()
        self._queues: dict[str, list[Waiting[Item]]] = {}
        self._clocks: dict[str, float] = {}
        self._weights: dict[str, int] = {}
        self._clock = 0.0
        self._size = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._size

    def waiting(self, tenant: str) -> int:
        """Return how many requests of a tenant wait."""
        return len(self._queues.get(tenant, ()))

    def ahead(self, tenant: str, weight: int) -> float:
        """Return how many requests are served before a new one of a tenant."""
        mine = self.waiting(tenant)
        others = sum(
            min(len(queue), (mine + 1) * self._weights[name] / weight)
            for name, queue in self._queues.items()
            if name != tenant
        )
        return mine + others

    def push(
        self,
        tenant: str,
        weight: int,
        priority: int,
        req: int,
        item: Item,
    ) -> None:
        """Add a request; larger priorities go first within the tenant."""
        queue = self._queues.setdefault(tenant, [])
        if not queue:
            clock = self._clocks.get(tenant, 0)
            self._clocks[tenant] = max(clock, self._clock)
        self._weights[tenant] = weight
        rank = (-priority, next(self._order))
        heapq.heappush(queue, Waiting(rank, tenant, req, item))
        self._size += 1

    def pop(self) -> Waiting[Item]:
        """Remove and return the next request.

        Raises
        ------
        LookupError
            If none waits.
        """
        if not self._size:
            raise LookupError('the queue is empty')
        tenant = min(self._queues, key=lambda name: (self._clocks[name], name))
        self._clock = self._clocks[tenant]
        self._clocks[tenant] += 1 / self._weights[tenant]
        found = heapq.heappop(self._queues[tenant])
        self._dropped(tenant)
        return found

    def remove(self, req: int) -> Waiting[Item] | None:
        """Remove and return a request, or None if it does not wait."""
        for tenant, queue in self._queues.items():
            for found in queue:
                if found.req == req:
                    queue.remove(found)
                    heapq.heapify(queue)
                    self._dropped(tenant)
                    return found
        return None

    def items(self) -> list[Waiting[Item]]:
        """Return all that wait, in no order."""
        return list(itertools.chain.from_iterable(self._queues.values()))

    def _dropped(self, tenant: str) -> None:
        self._size -= 1
        if self._queues[tenant]:
            return
        self._queues.pop(tenant)
        if not self._queues:
            self._clocks.clear()
            self._weights.clear()
            self._clock = 0

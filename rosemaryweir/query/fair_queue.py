"""Bounded queue with weighted fair scheduling between tenants."""

import heapq
import itertools
from typing import Generic, NamedTuple, TypeVar

__all__ = ['FairQueue', 'QueueEntry']

Item = TypeVar('Item')


class QueueEntry(NamedTuple, Generic[Item]):
    """A request in the queue.

    Parameters
    ----------
    rank : tuple of int
        Sort key within the tenant; the lowest is served first.
    tenant : str
        Tenant that sent the request.
    req : int
        Identifier of the request.
    item : Item
        The request itself.
    """

    rank: tuple[int, int]
    tenant: str
    req: int
    item: Item


class FairQueue(Generic[Item]):
    """Requests queued by tenant; tenants are served in proportion to weight.

    Notes
    -----
    Start-time fair queueing: the virtual time of a tenant advances by
    1/weight with each request served, and the tenant with the lowest virtual
    time is next.  A tenant that was idle restarts at the virtual time of the
    queue, so that idle time neither earns nor costs it service.

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
        self._queues: dict[str, list[QueueEntry[Item]]] = {}
        self._tenant_times: dict[str, float] = {}
        self._weights: dict[str, int] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        """Return the number of requests in the queue."""
        return self._size

    def tenant_length(self, tenant: str) -> int:
        """Return the number of requests of a tenant in the queue."""
        return len(self._queues.get(tenant, ()))

    def requests_ahead(self, tenant: str, weight: int) -> float:
        """Return how many requests are served before a new one of a tenant."""
        own = self.tenant_length(tenant)
        others = sum(
            min(len(queue), (own + 1) * self._weights[name] / weight)
            for name, queue in self._queues.items()
            if name != tenant
        )
        return own + others

    def push(
        self,
        tenant: str,
        weight: int,
        priority: int,
        req: int,
        item: Item,
    ) -> None:
        """Add a request; higher priorities go first within the tenant."""
        queue = self._queues.setdefault(tenant, [])
        if not queue:
            tenant_time = self._tenant_times.get(tenant, 0)
            self._tenant_times[tenant] = max(tenant_time, self._virtual_time)
        self._weights[tenant] = weight
        rank = (-priority, next(self._order))
        heapq.heappush(queue, QueueEntry(rank, tenant, req, item))
        self._size += 1

    def pop(self) -> QueueEntry[Item]:
        """Remove and return the next request.

        Raises
        ------
        LookupError
            If the queue is empty.
        """
        if not self._size:
            raise LookupError('the queue is empty')
        tenant = min(
            self._queues,
            key=lambda name: (self._tenant_times[name], name),
        )
        self._virtual_time = self._tenant_times[tenant]
        self._tenant_times[tenant] += 1 / self._weights[tenant]
        entry = heapq.heappop(self._queues[tenant])
        self._count_removed(tenant)
        return entry

    def remove(self, req: int) -> QueueEntry[Item] | None:
        """Remove and return a request; None if it is not in the queue."""
        for tenant, queue in self._queues.items():
            for entry in queue:
                if entry.req == req:
                    queue.remove(entry)
                    heapq.heapify(queue)
                    self._count_removed(tenant)
                    return entry
        return None

    def entries(self) -> list[QueueEntry[Item]]:
        """Return all requests in the queue, in no particular order."""
        return list(itertools.chain.from_iterable(self._queues.values()))

    def _count_removed(self, tenant: str) -> None:
        self._size -= 1
        if self._queues[tenant]:
            return
        self._queues.pop(tenant)
        if not self._queues:
            self._tenant_times.clear()
            self._weights.clear()
            self._virtual_time = 0

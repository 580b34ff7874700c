"""Query admission for one service: limit, bounded fair queue, early refusal.

A request that cannot finish within its deadline is refused on arrival, not
after a wait.  A request that has waited too long is dropped before any of its
work starts.
"""

from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

from rosemaryweir.query.fair_queue import FairQueue, QueueEntry
from rosemaryweir.query.limit import ConcurrencyLimit

__all__ = ['AdmissionRequest', 'QueryAdmission']

#: Queue length, in requests, of a tenant that configures none.
DEFAULT_MAX_QUEUE_LENGTH = 64
#: Share of the remaining time that a request may spend in the queue.
MAX_WAIT_SHARE = 0.5

Item = TypeVar('Item')


class AdmissionRequest(NamedTuple, Generic[Item]):
    """A request to be admitted.

    Parameters
    ----------
    req : int
        Identifier of the request.
    tenant : str
        Tenant that sent it.
    weight, max_queue_length : int
        Weight of the tenant, and the longest queue it may have.
    priority : int
        Requests of a higher priority go first within the tenant.
    deadline : float
        Time by which the answer must leave.
    item : Item
        The request itself.
    """

    req: int
    tenant: str
    weight: int
    max_queue_length: int
    priority: int
    deadline: float
    item: Item


class QueryAdmission(Generic[Item]):
    """Admission to one service.

    Notes
    -----
    The wait of a new request is estimated from the requests ahead of it and
    the rate at which the limit admits them: ``ahead * latency / limit``.
    """

    def __init__(self) -> None:
        self.limit = ConcurrencyLimit()
        self.queue: FairQueue[AdmissionRequest[Item]] = FairQueue()

    @property
    def has_backlog(self) -> bool:
        """Whether requests wait; extra attempts are restricted then."""
        return bool(len(self.queue))

    def submit(self, request: AdmissionRequest[Item], now: float) -> bool:
        """Queue a request; return False if it must be refused.

        See Also
        --------
        pop_startable : the requests that may start after this.
        """
        if not self.queue and self.limit.has_capacity():
            self._push(request)
            return True
        full = (
            self.queue.tenant_length(request.tenant) >= request.max_queue_length
        )
        left = request.deadline - now - self.limit.mean_latency
        if full or self.expected_wait(request) > MAX_WAIT_SHARE * left:
            return False
        self._push(request)
        return True

    def expected_wait(self, request: AdmissionRequest[Item]) -> float:
        """Return the wait expected for a new request, in seconds."""
        ahead = self.queue.requests_ahead(request.tenant, request.weight)
        return (ahead + 1) * self.limit.mean_latency / self.limit.max_in_flight

    def pop_startable(self) -> Iterator[AdmissionRequest[Item]]:
        """Remove, count as started and yield the requests that may start."""
        while self.queue and self.limit.has_capacity():
            self.limit.start()
            yield self.queue.pop().item

    def pop_overdue(self, now: float) -> Iterator[AdmissionRequest[Item]]:
        """Remove and yield the requests that can no longer finish in time."""
        overdue = [
            entry
            for entry in self.queue.entries()
            if self._is_overdue(entry, now)
        ]
        for entry in overdue:
            self.queue.remove(entry.req)
            yield entry.item

    def cancel(self, req: int) -> bool:
        """Remove a request from the queue; return whether it was there."""
        return self.queue.remove(req) is not None

    def _is_overdue(
        self,
        entry: QueueEntry[AdmissionRequest[Item]],
        now: float,
    ) -> bool:
        return now + self.limit.mean_latency / 2 >= entry.item.deadline

    def _push(self, request: AdmissionRequest[Item]) -> None:
        self.queue.push(
            request.tenant,
            request.weight,
            request.priority,
            request.req,
            request,
        )

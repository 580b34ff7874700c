"""Admission of queries: limit, bounded fair queue, early refusals.

A request that can't end in its time is refused at once rather than after it
has waited, and a request that has waited too long is dropped before any of its
work starts.
"""

from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

from rosemaryweir.query.fair_queue import FairQueue, Waiting
from rosemaryweir.query.limit import ConcurrencyLimit

__all__ = ['Admission', 'Applicant']

#: Longest queue of a tenant that names none.
QUEUE = 64
#: Share of the time that is left which may be spent waiting.
WAIT_SHARE = 0.5

Item = TypeVar('Item')


class Applicant(NamedTuple, Generic[Item]):
    """A request at admission.

    Parameters
    ----------
    req : int
        Identifier of the request.
    tenant : str
        Whose it is.
    weight, queue : int
        Share and longest queue of the tenant.
    priority : int
        Larger goes first within the tenant.
    answer : float
        When its answer leaves at the latest.
    item : Item
        The request.
    """

    req: int
    tenant: str
    weight: int
    queue: int
    priority: int
    answer: float
    item: Item


class Admission(Generic[Item]):
    """Admission to one service.

    Notes
    -----
    The wait of a new request is estimated from those ahead of it and the rate
    at which the limit lets them go: ``ahead * latency / limit``.
    """

    def __init__(self) -> None:
        self.limit = ConcurrencyLimit()
        self.queue: FairQueue[Applicant[Item]] = FairQueue()

    @property
    def pressed(self) -> bool:
        """Whether requests wait: no extra attempts then."""
        return bool(len(self.queue))

    def apply(self, applicant: Applicant[Item], now: float) -> bool:
        """Take a request; return False to refuse it at once.

        See Also
        --------
        started : what may start after this.
        """
        if not self.queue and self.limit.open():
            self._push(applicant)
            return True
        full = self.queue.waiting(applicant.tenant) >= applicant.queue
        left = applicant.answer - now - self.limit.latency
        if full or self.wait(applicant) > WAIT_SHARE * left:
            return False
        self._push(applicant)
        return True

    def wait(self, applicant: Applicant[Item]) -> float:
        """Return the wait expected of a new request, in seconds."""
        ahead = self.queue.ahead(applicant.tenant, applicant.weight)
        return (ahead + 1) * self.limit.latency / self.limit.max_in_flight

    def started(self) -> Iterator[Applicant[Item]]:
        """Yield the requests that may start now; each is counted."""
        while self.queue and self.limit.open():
            self.limit.start()
            yield self.queue.pop().item

    def overdue(self, now: float) -> Iterator[Applicant[Item]]:
        """Yield and remove the requests that can't end in time any more."""
        late = [
            waiting
            for waiting in self.queue.items()
            if self._late(waiting, now)
        ]
        for waiting in late:
            self.queue.remove(waiting.req)
            yield waiting.item

    def gone(self, req: int) -> bool:
        """Remove a waiting request; return whether it waited."""
        return self.queue.remove(req) is not None

    def _late(self, waiting: Waiting[Applicant[Item]], now: float) -> bool:
        return now + self.limit.latency / 2 >= waiting.item.answer

    def _push(self, applicant: Applicant[Item]) -> None:
        self.queue.push(
            applicant.tenant,
            applicant.weight,
            applicant.priority,
            applicant.req,
            applicant,
        )

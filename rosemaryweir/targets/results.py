"""Batches of query results for the entries that asked for them.

The results of one query are collected for a short time, so that an entry gets
few messages from a leaf, whatever the number of targets.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from rosemaryweir.schema.generated.query import Load, Partial, Partials

__all__ = ['BATCH_DELAY_S', 'OrderOrigin', 'QueryBatch', 'partials_message']

#: Time for which the first result waits for others of its query, in s.
BATCH_DELAY_S = 0.0015


class OrderOrigin(NamedTuple):
    """Process that sent an order, and the key of the order."""

    sender: str
    order_key: str


class QueryBatch:
    """Attempts that one entry asked for in one query.

    Attributes
    ----------
    sender, query : str
        The entry, and its identifier of the query.
    pending : int
        Attempts without a result.
    results : list of Partial
        Results that have not been sent.
    deadline : float
        Latest deadline of the attempts.
    """

    __slots__ = ('deadline', 'pending', 'query', 'results', 'sender')

    def __init__(self, sender: str, query: str) -> None:
        self.sender = sender
        self.query = query
        self.pending = 0
        self.results: list[Partial] = []
        self.deadline = 0.0

    def add_result(self, partial: Partial) -> bool:
        """Add a result; return whether it is the only one not sent."""
        self.pending -= 1
        self.results.append(partial)
        return len(self.results) == 1

    def take_results(self) -> list[Partial]:
        """Remove and return the results that have not been sent."""
        results = self.results
        self.results = []
        return results


def partials_message(
    batch: QueryBatch,
    load_of: Callable[[str], Iterable[Load]],
) -> Partials:
    """Return the message with the results collected so far.

    Parameters
    ----------
    batch : QueryBatch
        Batch whose results are removed and sent.
    load_of : callable
        Returns the load of a target; nothing for an unknown one.
    """
    pieces = batch.take_results()
    targets = {piece['target'] for piece in pieces}
    return Partials(
        kind='partials',
        query=batch.query,
        pieces=pieces,
        loads=[load for name in sorted(targets) for load in load_of(name)],
    )

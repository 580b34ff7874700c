"""Results of attempts on their way to the entries that asked.

The results of one query are gathered for a short tick, so that an entry gets
few messages from a leaf, whatever the number of its targets.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from rosemaryweir.schema.generated.query import Load, Partial, Partials

__all__ = ['BATCH_DELAY_S', 'OrderOrigin', 'QueryBatch', 'partials_message']

#: Time for which a first result waits for others of its query, in s.
BATCH_DELAY_S = 0.0015


class OrderOrigin(NamedTuple):
    """Where the result of an order goes."""

    sender: str
    order_key: str


class QueryBatch:
    """The attempts of one query that one entry asked for.

    Attributes
    ----------
    sender, query : str
        The entry, and its name of the query.
    pending : int
        Attempts without a result.
    results : list of Partial
        Results not sent yet.
    deadline : float
        When the last of them is worth nothing.
    """

    __slots__ = ('deadline', 'pending', 'query', 'results', 'sender')

    def __init__(self, sender: str, query: str) -> None:
        self.sender = sender
        self.query = query
        self.pending = 0
        self.results: list[Partial] = []
        self.deadline = 0.0

    def add_result(self, partial: Partial) -> bool:
        """Add a result; return whether it is the first that waits."""
        self.pending -= 1
        self.results.append(partial)
        return len(self.results) == 1

    def take(self) -> list[Partial]:
        """Take out the results to send."""
        results = self.results
        self.results = []
        return results


def partials_message(
    batch: QueryBatch,
    load_of: Callable[[str], Iterable[Load]],
) -> Partials:
    """Return the message with the results gathered so far.

    Parameters
    ----------
    batch : QueryBatch
        The results; they are taken out.
    load_of : callable
        Gives the load of a target; nothing for an unknown one.
    """
    pieces = batch.take()
    targets = {piece['target'] for piece in pieces}
    return Partials(
        kind='partials',
        query=batch.query,
        pieces=pieces,
        loads=[load for name in sorted(targets) for load in load_of(name)],
    )

"""Attempts at sub-queries and the in-flight counters that they hold."""

import itertools
from collections.abc import Iterator
from typing import Any, NamedTuple

from rosemaryweir.node.state import NodeUid
from rosemaryweir.query.replica import Replica
from rosemaryweir.schema.generated.query import Partial

__all__ = ['InFlightAttempts', 'QueryAttempt']


class QueryAttempt(NamedTuple):
    """One send of a sub-query to a target.

    Parameters
    ----------
    uid : str
        Identifier that the partial must echo.
    query_id : str
        Identifier of the query.
    shard : str
        Shard that the sub-query asks.
    replica : Replica
        Replica that it was sent to.
    sent_at : float
        Time of the send.
    version : int
        Index version that it asks for; 0 for the newest.
    extra : bool
        Whether it is a hedge or a retry, not the first attempt.
    """

    uid: str
    query_id: str
    shard: str
    replica: Replica
    sent_at: float
    version: int
    extra: bool


class InFlightAttempts:
    """All attempts in flight from this entry.

    Parameters
    ----------
    uid : NodeUid
        Identity of the process; makes the identifiers of attempts unique
        across processes and their restarts.

    Notes
    -----
    An attempt counts as in flight at its target and its leaf from `start` to
    `close`, whatever its result is.
    """

    def __init__(self, uid: NodeUid) -> None:
        self.strays = 0
        self._prefix = f'{uid.vm}.{uid.incarnation:x}.q'
        self._numbers = itertools.count(1)
        self._by_uid: dict[str, QueryAttempt] = {}

    def __len__(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._by_uid)

    def __iter__(self) -> Iterator[QueryAttempt]:
        """Iterate over the attempts in flight."""
        return iter(tuple(self._by_uid.values()))

    def next_uid(self) -> str:
        """Return a new identifier for an attempt or a query."""
        return f'{self._prefix}{next(self._numbers):x}'

    def start(
        self,
        query_id: str,
        shard: str,
        replica: Replica,
        version: int,
        now: float,
        extra: bool,
    ) -> QueryAttempt:
        """Create an attempt and count it as in flight."""
        uid = self.next_uid()
        attempt = QueryAttempt(
            uid,
            query_id,
            shard,
            replica,
            now,
            version,
            extra,
        )
        self._by_uid[uid] = attempt
        replica.observed.own_in_flight += 1
        replica.leaf.record_send(now)
        return attempt

    def match_partial(
        self,
        query_id: str,
        sender: str,
        partial: Partial,
    ) -> QueryAttempt | None:
        """Close and return the attempt that a partial answers.

        Returns
        -------
        QueryAttempt or None
            None for a stray: a partial without an attempt in flight, or one
            whose query, shard, target or sender differs from the attempt's.
            A stray is counted; the caller must drop it.
        """
        attempt = self._by_uid.get(partial['attempt'])
        if attempt is None or not _matches(attempt, query_id, sender, partial):
            self.strays += 1
            return None
        self.close(attempt)
        return attempt

    def close(self, attempt: QueryAttempt) -> bool:
        """Stop counting an attempt; return whether it was in flight."""
        if self._by_uid.pop(attempt.uid, None) is None:
            return False
        attempt.replica.observed.own_in_flight -= 1
        attempt.replica.leaf.outstanding -= 1
        return True

    def at_leaf(self, leaf_name: str) -> list[QueryAttempt]:
        """Return the attempts in flight at a leaf."""
        return [
            attempt
            for attempt in self._by_uid.values()
            if attempt.replica.leaf.name == leaf_name
        ]

    def status(self) -> dict[str, Any]:
        """Return the figures for the status page."""
        return {'in_flight': len(self._by_uid), 'strays': self.strays}


def _matches(
    attempt: QueryAttempt,
    query_id: str,
    sender: str,
    partial: Partial,
) -> bool:
    replica = attempt.replica
    return (
        attempt.query_id == query_id
        and attempt.shard == partial['shard']
        and replica.target == partial['target']
        and replica.leaf.name == sender
    )

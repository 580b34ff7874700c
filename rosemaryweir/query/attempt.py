"""Attempts at pieces of queries, and the accounts that they hold."""

import itertools
from collections.abc import Iterator
from typing import Any, NamedTuple

from rosemaryweir.node.state import NodeUid
from rosemaryweir.query.replica import Replica
from rosemaryweir.schema.generated.query import Partial

__all__ = ['Attempt', 'Attempts']


class Attempt(NamedTuple):
    """One attempt at one shard of one query.

    Parameters
    ----------
    uid : str
        Identifier that the partial must echo.
    query : str
        Identifier of the query.
    shard : str
        The shard.
    replica : Replica
        Where it was sent.
    sent : float
        When it was sent.
    version : int
        Version that it asked for; 0 for the newest.
    extra : bool
        Whether it is not the first at its shard.
    """

    uid: str
    query: str
    shard: str
    replica: Replica
    sent: float
    version: int
    extra: bool


class Attempts:
    """Every attempt in flight from this entry.

    Parameters
    ----------
    uid : NodeUid
        Identity of the process: identifiers are unique over all nodes and
        their incarnations.

    Notes
    -----
    An attempt is counted at its target and its leaf from `start` to
    `settle`, whatever becomes of it.
    """

    def __init__(self, uid: NodeUid) -> None:
        self.strays = 0
        self._prefix = f'{uid.vm}.{uid.incarnation:x}.q'
        self._numbers = itertools.count(1)
        self._open: dict[str, Attempt] = {}

    def __len__(self) -> int:
        """Return how many attempts are in flight."""
        return len(self._open)

    def __iter__(self) -> Iterator[Attempt]:
        """Iterate over the attempts in flight."""
        return iter(tuple(self._open.values()))

    def next_uid(self) -> str:
        """Return an identifier that no attempt or query had."""
        return f'{self._prefix}{next(self._numbers):x}'

    def start(
        self,
        query: str,
        shard: str,
        replica: Replica,
        version: int,
        now: float,
        extra: bool,
    ) -> Attempt:
        """Start an attempt."""
        uid = self.next_uid()
        attempt = Attempt(uid, query, shard, replica, now, version, extra)
        self._open[uid] = attempt
        replica.sight.own += 1
        replica.health.sent(now)
        return attempt

    def claim(self, query: str, sender: str, piece: Partial) -> Attempt | None:
        """Settle the attempt that a partial answers.

        Returns
        -------
        Attempt or None
            None for a partial that answers nothing in flight, or not as it
            was asked: it is counted and must be dropped.
        """
        attempt = self._open.get(piece['attempt'])
        if attempt is None or not _fits(attempt, query, sender, piece):
            self.strays += 1
            return None
        self.settle(attempt)
        return attempt

    def settle(self, attempt: Attempt) -> bool:
        """End an attempt; return whether it was in flight."""
        if self._open.pop(attempt.uid, None) is None:
            return False
        attempt.replica.sight.own -= 1
        attempt.replica.health.outstanding -= 1
        return True

    def at(self, leaf: str) -> list[Attempt]:
        """Return the attempts in flight at a leaf."""
        return [
            attempt
            for attempt in self._open.values()
            if attempt.replica.health.name == leaf
        ]

    def status(self) -> dict[str, Any]:
        """Return what the status page shows."""
        return {'in_flight': len(self._open), 'strays': self.strays}


def _fits(attempt: Attempt, query: str, sender: str, piece: Partial) -> bool:
    replica = attempt.replica
    return (
        attempt.query == query
        and attempt.shard == piece['shard']
        and replica.target == piece['target']
        and replica.health.name == sender
    )

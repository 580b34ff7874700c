"""Choose the index version that a query is pinned to."""

from collections.abc import Iterable, Sequence
from itertools import chain

from rosemaryweir.query.observed_target import ObservedTarget

__all__ = ['LEARN_INTERVAL_S', 'Pin', 'best_version', 'coverable']

#: Interval between queries that ask each target for its newest version.
LEARN_INTERVAL_S = 0.5
#: Share of the shards that a version must cover to hold the floor.
FLOOR_SHARE = 0.5
#: Stands for the newest version that a target has.
NEWEST = 0

Replicas = Iterable[Sequence[ObservedTarget]]


def coverable(
    replicas: Replicas,
    layout: int,
    version: int,
) -> int:
    """Return how many shards have a target that was seen with a version."""
    key = (layout, version)
    return sum(
        any(key == seen.current or key in seen.served for seen in shard)
        for shard in replicas
    )


def best_version(
    replicas: Sequence[Sequence[ObservedTarget]],
    layout: int,
    floor: int,
) -> int:
    """Return the version that most shards can serve.

    The newest wins a tie.  Versions below `floor` count only if none from
    there on covers half of the shards: an answer does not go back behind one
    that was given, unless the archive itself went back.

    Returns
    -------
    int
        The version, 0 when none is known.
    """
    keys = chain.from_iterable(
        seen.served for seen in chain.from_iterable(replicas)
    )
    known = {version for held, version in keys if held == layout}
    ranked = sorted(
        ((coverable(replicas, layout, each), each) for each in known),
        reverse=True,
    )
    held = [each for each in ranked if each[1] >= floor]
    if held and held[0][0] >= FLOOR_SHARE * len(replicas):
        return held[0][1]
    return ranked[0][1] if ranked else NEWEST


class Pin:
    """The version that queries of one layout are pinned to.

    Parameters
    ----------
    layout : int
        The layout.

    Notes
    -----
    Now and then a query is not pinned at its admission but by its first
    answers: its targets state the newest version that they have, and it is
    answered from the one that covers most.  So a new version is found without
    extra attempts.
    """

    def __init__(self, layout: int) -> None:
        self.layout = layout
        self.version = NEWEST
        self.floor = NEWEST
        self.stale = True
        self._learnt = -LEARN_INTERVAL_S

    def choose(
        self,
        replicas: Sequence[Sequence[ObservedTarget]],
        now: float,
    ) -> int:
        """Return the pin of a query that starts now; 0 to learn."""
        if now - self._learnt >= LEARN_INTERVAL_S:
            self._learnt = now
            return NEWEST
        return self.best(replicas)

    def best(self, replicas: Sequence[Sequence[ObservedTarget]]) -> int:
        """Return the version that covers most; 0 when none is known."""
        if self.stale:
            self.stale = False
            self.version = best_version(replicas, self.layout, self.floor)
        return self.version

    def answered(self, version: int) -> None:
        """Take that an answer was given from a version."""
        self.floor = max(self.floor, version)

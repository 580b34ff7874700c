"""Choose the index version that a query is pinned to."""

from collections.abc import Iterable, Sequence
from itertools import chain

from rosemaryweir.query.observed_target import ObservedTarget

__all__ = [
    'DISCOVERY_INTERVAL_S',
    'VersionPin',
    'best_version',
    'coverable_shards',
]

#: Interval between queries that ask each target for its newest version.
DISCOVERY_INTERVAL_S = 0.5
#: Share of the shards that a version at or above the floor must cover; below
#: it, older versions are considered too.
MIN_COVERED_SHARE = 0.5
#: Version number that stands for the newest version of a target.
NEWEST = 0

ShardTargets = Iterable[Sequence[ObservedTarget]]


def coverable_shards(
    shards: ShardTargets,
    layout: int,
    version: int,
) -> int:
    """Return the number of shards with a target known to have a version."""
    key = (layout, version)
    return sum(
        any(
            key == observed.current_version or key in observed.known_versions
            for observed in targets
        )
        for targets in shards
    )


def best_version(
    shards: Sequence[Sequence[ObservedTarget]],
    layout: int,
    floor: int,
) -> int:
    """Return the version that the most shards can serve.

    The newest wins a tie.  Versions below `floor` are considered only if no
    version from `floor` on covers half of the shards.  Answers therefore do
    not go back to an older version than one already answered from, unless
    the archive itself was set back.

    Returns
    -------
    int
        The version, 0 if none is known.
    """
    keys = chain.from_iterable(
        observed.known_versions for observed in chain.from_iterable(shards)
    )
    known = {version for key_layout, version in keys if key_layout == layout}
    ranked = sorted(
        ((coverable_shards(shards, layout, each), each) for each in known),
        reverse=True,
    )
    allowed = [each for each in ranked if each[1] >= floor]
    if allowed and allowed[0][0] >= MIN_COVERED_SHARE * len(shards):
        return allowed[0][1]
    return ranked[0][1] if ranked else NEWEST


class VersionPin:
    """Index version that the queries of one layout are pinned to.

    Parameters
    ----------
    layout : int
        The layout.

    Attributes
    ----------
    floor : int
        Newest version that a complete answer was given from.
    outdated : bool
        Whether the known versions of targets have changed since `version` was
        computed.

    Notes
    -----
    Every `DISCOVERY_INTERVAL_S` one query is not pinned when it starts.  Its
    targets serve the newest version that they have, and it is answered from
    the version that covers the most shards.  New versions are discovered this
    way without extra attempts.
    """

    def __init__(self, layout: int) -> None:
        self.layout = layout
        self.version = NEWEST
        self.floor = NEWEST
        self.outdated = True
        self._discovered_at = -DISCOVERY_INTERVAL_S

    def choose(
        self,
        shards: Sequence[Sequence[ObservedTarget]],
        now: float,
    ) -> int:
        """Return the version for a new query; 0 to discover versions."""
        if now - self._discovered_at >= DISCOVERY_INTERVAL_S:
            self._discovered_at = now
            return NEWEST
        return self.best(shards)

    def best(self, shards: Sequence[Sequence[ObservedTarget]]) -> int:
        """Return the version that covers the most shards; 0 if none."""
        if self.outdated:
            self.outdated = False
            self.version = best_version(shards, self.layout, self.floor)
        return self.version

    def record_answer(self, version: int) -> None:
        """Raise the floor to the version of a complete answer."""
        self.floor = max(self.floor, version)

"""Merge the partials of a query, by snapshot.

Partials are kept by the (layout, index version) that they were served from.
The answer is taken from exactly one of these, so what another version said of
a shard can never slip into it.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rosemaryweir.schema.generated.http import Coverage, Row, Snapshot

__all__ = ['Merge', 'MergedAnswer']

Rows = Sequence[Sequence[str]]


class MergedAnswer(NamedTuple):
    """What an answer is made of."""

    snapshot: Snapshot
    coverage: Coverage
    rows: list[Row]


class Merge:
    """Partials of one query.

    Parameters
    ----------
    layout : int
        Layout that the query is pinned to.
    shards : sequence of str
        The shards of that layout; they are the total of the coverage.

    Examples
    --------
    >>> merge = Merge(1, ['a', 'b'])
    >>> merge.add('a', 1, 7, [['k', 'text']])
    True
    >>> merge.add('a', 1, 7, [['k', 'text']])
    False
    >>> merge.answer(7).coverage
    {'covered': 1, 'total': 2, 'missing': ['b']}
    """

    def __init__(self, layout: int, shards: Sequence[str]) -> None:
        self.layout = layout
        self.shards = shards
        self._versions: dict[int, dict[str, Rows]] = {}

    def add(self, shard: str, layout: int, version: int, rows: Rows) -> bool:
        """Keep a partial; return whether it is the first of its version.

        A partial of another layout is not kept.
        """
        if layout != self.layout:
            return False
        partials = self._versions.get(version)
        if partials is None:
            partials = {}
            self._versions[version] = partials
        if shard in partials:
            return False
        partials[shard] = rows
        return True

    def has(self, shard: str, version: int) -> bool:
        """Return whether a shard is covered at a version."""
        return shard in self._versions.get(version, ())

    def covered(self, version: int) -> int:
        """Return how many shards are covered at a version."""
        return len(self._versions.get(version, ()))

    def versions(self) -> Iterable[int]:
        """Return the versions that any shard answered from."""
        return self._versions.keys()

    def best(self, preferred: int) -> int:
        """Return the version that covers most.

        On a tie the preferred version wins, then the newest.
        """
        return max(
            (preferred, *self._versions),
            key=lambda version: (
                self.covered(version),
                version == preferred,
                version,
            ),
        )

    def answer(self, version: int) -> MergedAnswer:
        """Return snapshot, coverage and rows of one version."""
        partials = self._versions.get(version, {})
        missing = [shard for shard in self.shards if shard not in partials]
        rows = [
            Row(shard=shard, key=row[0], text=row[1])
            for shard in self.shards
            if shard in partials
            for row in partials[shard]
        ]
        total = len(self.shards)
        return MergedAnswer(
            Snapshot(layout=self.layout, version=version),
            Coverage(
                covered=total - len(missing),
                total=total,
                missing=missing,
            ),
            rows,
        )

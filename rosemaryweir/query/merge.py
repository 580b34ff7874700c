"""Merge the partials of a query without mixing index versions.

Partials are kept by the (layout, index version) that they were served from.
An answer takes the rows of exactly one of these snapshots.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rosemaryweir.schema.generated.http import Coverage, Row, Snapshot

__all__ = ['Merge', 'MergedAnswer']

Rows = Sequence[Sequence[str]]


class MergedAnswer(NamedTuple):
    """Snapshot, coverage and rows of an answer."""

    snapshot: Snapshot
    coverage: Coverage
    rows: list[Row]


class Merge:
    """Partials of one query.

    Parameters
    ----------
    layout : int
        Shard layout of the query.
    shards : sequence of str
        All shards of that layout; their number is the total of the coverage.

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
        """Add a partial; return False if it is ignored.

        Ignored are partials of another layout, and any but the first of a
        shard at a version.
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

    def covers(self, shard: str, version: int) -> bool:
        """Return whether a shard is covered at a version."""
        return shard in self._versions.get(version, ())

    def covered_count(self, version: int) -> int:
        """Return the number of shards covered at a version."""
        return len(self._versions.get(version, ()))

    def versions(self) -> Iterable[int]:
        """Return the versions of the partials."""
        return self._versions.keys()

    def best_version(self, preferred: int) -> int:
        """Return the version that covers the most shards.

        On a tie the preferred version wins, then the newest.
        """
        return max(
            (preferred, *self._versions),
            key=lambda version: (
                self.covered_count(version),
                version == preferred,
                version,
            ),
        )

    def answer(self, version: int) -> MergedAnswer:
        """Return the answer from the partials of one version."""
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

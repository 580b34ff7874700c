"""Index of the order keys of one bucket by segment.

A bucket is a sequence of segments, and only the last one accepts new keys.
The conditional update that brings a segment above its size limit also seals
it.  A process writes to a segment only after it has read all earlier segments
as sealed, so it knows all of their keys and no key can be claimed in two
segments.
"""

from itertools import islice

from rosemaryweir.orders.keys import key_hash
from rosemaryweir.orders.segment import expired_key_hashes, newest_claim_time
from rosemaryweir.schema.generated.orders import OrderBucket

__all__ = ['BucketIndex']


class BucketIndex:
    """The order keys of one bucket that this process has read or written.

    Attributes
    ----------
    loaded : bool
        Whether all existing segments have been read once.
    open_segment : int
        Number of the segment that accepts new keys.
    sealed : dict of int to float
        Wall-clock time of the newest claim in each sealed segment that still
        has records.
    """

    def __init__(self) -> None:
        self.loaded = False
        self.open_segment = 0
        self.sealed: dict[int, float] = {}
        self._segment_by_hash: dict[int, int] = {}
        self._indexed_counts: dict[int, int] = {}
        self._expired_hashes: dict[int, str] = {}

    def __len__(self) -> int:
        """Return the number of known keys."""
        return len(self._segment_by_hash)

    def segment_of(self, order_key: str) -> int:
        """Return the segment that contains a key, or the open segment."""
        return self._segment_by_hash.get(key_hash(order_key), self.open_segment)

    def add_segment(self, segment: int, bucket: OrderBucket) -> None:
        """Add the keys of a segment that was read or written.

        Notes
        -----
        Records are only appended until expiry removes all of them, so the
        records that were indexed last time are skipped.
        """
        records = bucket['records']
        for order_key in islice(
            records, self._indexed_counts.get(segment, 0), None
        ):
            self._segment_by_hash.setdefault(key_hash(order_key), segment)
        self._indexed_counts[segment] = len(records)
        if self._expired_hashes.get(segment, '') != bucket['kept']:
            self._expired_hashes[segment] = bucket['kept']
            for known_hash in expired_key_hashes(bucket):
                self._segment_by_hash.setdefault(known_hash, segment)
        if bucket['sealed']:
            self.open_segment = max(self.open_segment, segment + 1)
            self._update_sealed(segment, bucket)

    def _update_sealed(self, segment: int, bucket: OrderBucket) -> None:
        if bucket['records']:
            self.sealed[segment] = newest_claim_time(bucket)
        else:
            self.sealed.pop(segment, None)

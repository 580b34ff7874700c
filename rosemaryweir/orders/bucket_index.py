"""Which segment of a bucket has an order key.

A bucket is a chain of segments.  Only the last one takes new keys; a segment
that has grown large is sealed by the same conditional update that fills it.
Whoever writes to a segment has seen all earlier ones sealed, so it knows all
of their keys: no key can be claimed in two segments.
"""

from itertools import islice

from rosemaryweir.orders.keys import key_hash
from rosemaryweir.orders.segment import expired_key_hashes, newest_claim_time
from rosemaryweir.schema.generated.orders import OrderBucket

__all__ = ['BucketIndex']


class BucketIndex:
    """What this process knows of the segments of one bucket.

    Attributes
    ----------
    loaded : bool
        Whether all segments that there were have been read once.
    open_segment : int
        Number of the segment that takes new keys.
    sealed : dict of int to float
        Wall time of the newest claim of each sealed segment with records.
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
        """Return the segment that has a key, or would take it."""
        return self._segment_by_hash.get(key_hash(order_key), self.open_segment)

    def add_segment(self, segment: int, bucket: OrderBucket) -> None:
        """Take in a segment as read or written.

        Notes
        -----
        Records are only ever added at the end, until cleaning drops them all:
        those that were there the last time need no second look.
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

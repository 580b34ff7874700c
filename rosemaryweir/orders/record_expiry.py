"""Expiry of order records: old records are replaced by hashes of their keys.

An order key never runs again, however old it is: the 8-byte hash of an expired
key stays in its segment, and a retry with that key is refused as `expired`.
Only sealed segments are processed, one at a time.  Several entries may try the
same segment; the first conditional update is applied and the others fail
without an effect.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from rosemaryweir.node.action import Action, StoreGet, StorePut
from rosemaryweir.node.event import StoreReply
from rosemaryweir.orders.bucket_index import BucketIndex
from rosemaryweir.orders.keys import segment_key
from rosemaryweir.orders.segment import (
    decode_segment,
    encode_segment,
    expire_records,
    newest_claim_time,
)
from rosemaryweir.schema.generated.orders import OrderBucket

__all__ = ['RETENTION_S', 'RecordExpirer']

#: Time for which a caller can get the outcome of an order again.
RETENTION_S = 86400.0
#: The interval between two segments is 0.5 to 1 times this value.
MAX_EXPIRY_INTERVAL_S = 60.0


class _PendingCall(NamedTuple):
    call: str
    bucket: int
    segment: int
    cutoff: float
    emptied: OrderBucket | None = None


class RecordExpirer:
    """Expires the records of sealed segments, one segment at a time.

    Parameters
    ----------
    indexes : sequence of BucketIndex
        Index of each bucket.
    next_call : callable
        Returns the identifier of the next store call.
    rng : random.Random
        Varies the interval, so that entries do not act at the same time.
    """

    def __init__(
        self,
        indexes: Sequence[BucketIndex],
        next_call: Callable[[], str],
        rng: Random,
    ) -> None:
        self.next_wake: float | None = None
        self._indexes = indexes
        self._next_call = next_call
        self._rng = rng
        self._pending: _PendingCall | None = None
        self._wall_offset = 0.0

    def set_wall_time(self, now: float, wall: float) -> None:
        """Set the wall-clock time that corresponds to monotonic time `now`."""
        self._wall_offset = wall - now
        if self.next_wake is None:
            self._schedule_next(now)

    def start(self, now: float) -> Action | None:
        """Return the read of the oldest expired segment, if one is due."""
        if self.next_wake is None or now < self.next_wake:
            return None
        self._schedule_next(now)
        cutoff = now + self._wall_offset - RETENTION_S
        expired = [
            (newest, bucket, segment)
            for bucket, index in enumerate(self._indexes)
            for segment, newest in index.sealed.items()
            if newest < cutoff
        ]
        if not expired:
            return None
        _, bucket, segment = min(expired)
        self._pending = _PendingCall(self._next_call(), bucket, segment, cutoff)
        return StoreGet(self._pending.call, segment_key(bucket, segment))

    def handle_reply(self, event: StoreReply) -> tuple[Action, ...]:
        """Handle a reply; replies to other calls are ignored."""
        pending = self._pending
        if pending is None or pending.call != event.call:
            return ()
        self._pending = None
        if event.status != 'ok':
            return ()
        if pending.emptied is not None:
            self._indexes[pending.bucket].add_segment(
                pending.segment, pending.emptied
            )
            return ()
        found = event.objects[0]
        return self._write(
            pending, decode_segment(found.content), found.version
        )

    def _write(
        self,
        pending: _PendingCall,
        bucket: OrderBucket,
        version: int,
    ) -> tuple[Action, ...]:
        if newest_claim_time(bucket) >= pending.cutoff or not bucket['records']:
            self._indexes[pending.bucket].add_segment(pending.segment, bucket)
            return ()
        emptied = expire_records(bucket, pending.cutoff)
        self._pending = pending._replace(
            call=self._next_call(), emptied=emptied
        )
        name = segment_key(pending.bucket, pending.segment)
        content = encode_segment(emptied)
        return (StorePut(self._pending.call, name, version, content),)

    def _schedule_next(self, now: float) -> None:
        wait = MAX_EXPIRY_INTERVAL_S * self._rng.uniform(0.5, 1)
        self.next_wake = now + wait

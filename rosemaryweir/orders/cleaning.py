"""Cleaning: records that nobody may ask for any more shrink to hashes.

A key never runs again, however old it is: of a record past its time the
8-byte hash stays in the segment, and a retry of such a key is refused as
`expired`.  Only sealed segments are cleaned, one at a time, by whichever
entry comes to it first; the others' conditional updates fail and do no harm.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from rosemaryweir.node.action import Action, StoreGet, StorePut
from rosemaryweir.node.event import StoreReply
from rosemaryweir.orders.bucket import (
    clean,
    decode_bucket,
    encode_bucket,
    newest_claim,
)
from rosemaryweir.orders.index import BucketIndex
from rosemaryweir.orders.keys import segment_name
from rosemaryweir.schema.generated.orders import OrderBucket

__all__ = ['KEEP_S', 'Cleaner']

#: How long an outcome can be asked for again, in seconds.
KEEP_S = 86400.0
#: Longest wait between two segments, in seconds.
CLEAN_EVERY_S = 60.0


class _Job(NamedTuple):
    call: str
    bucket: int
    segment: int
    before: float
    cleaned: OrderBucket | None = None


class Cleaner:
    """Cleans the sealed segments of all buckets, one at a time.

    Parameters
    ----------
    indexes : sequence of BucketIndex
        What is known of each bucket.
    next_call : callable
        Gives the identifier of the next store call.
    rng : random.Random
        Spreads the entries over time.
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
        self._job: _Job | None = None
        self._wall_ahead = 0.0

    def set_wall(self, now: float, wall: float) -> None:
        """Learn the wall-clock time."""
        self._wall_ahead = wall - now
        if self.next_wake is None:
            self._rest(now)

    def start(self, now: float) -> Action | None:
        """Begin with the oldest segment past its time, if it is time to."""
        if self.next_wake is None or now < self.next_wake:
            return None
        self._rest(now)
        before = now + self._wall_ahead - KEEP_S
        aged = [
            (newest, bucket, segment)
            for bucket, index in enumerate(self._indexes)
            for segment, newest in index.sealed.items()
            if newest < before
        ]
        if not aged:
            return None
        _, bucket, segment = min(aged)
        self._job = _Job(self._next_call(), bucket, segment, before)
        return StoreGet(self._job.call, segment_name(bucket, segment))

    def replied(self, event: StoreReply) -> tuple[Action, ...]:
        """Take an answer; one to another call is left alone."""
        job = self._job
        if job is None or job.call != event.call:
            return ()
        self._job = None
        if event.status != 'ok':
            return ()
        if job.cleaned is not None:
            self._indexes[job.bucket].learn(job.segment, job.cleaned)
            return ()
        found = event.objects[0]
        return self._write(job, decode_bucket(found.content), found.version)

    def _write(
        self,
        job: _Job,
        bucket: OrderBucket,
        version: int,
    ) -> tuple[Action, ...]:
        if newest_claim(bucket) >= job.before or not bucket['records']:
            self._indexes[job.bucket].learn(job.segment, bucket)
            return ()
        cleaned = clean(bucket, job.before)
        self._job = job._replace(call=self._next_call(), cleaned=cleaned)
        name = segment_name(job.bucket, job.segment)
        content = encode_bucket(cleaned)
        return (StorePut(self._job.call, name, version, content),)

    def _rest(self, now: float) -> None:
        wait = CLEAN_EVERY_S * self._rng.uniform(0.5, 1)
        self.next_wake = now + wait

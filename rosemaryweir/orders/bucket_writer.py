"""Group commit of claims and outcomes in conditional updates of a bucket.

`BucketWriter` writes one bucket on behalf of one process, with at most one
store call in flight.  It reads a segment, merges all pending changes for that
segment, and writes the result on condition that the version is the one it
read.  The reply to a conflict contains the current segment, and the merge is
repeated.  After a call without a reply the segment is read again: each claim
has the nonce of its attempt, which shows whether the lost write was applied.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from rosemaryweir.node.action import Action, StoreGet, StoreList, StorePut
from rosemaryweir.node.event import StoreFailed, StoreObject, StoreReply
from rosemaryweir.orders.backoff import CALL_TIMEOUT_S, Backoff
from rosemaryweir.orders.bucket_index import BucketIndex
from rosemaryweir.orders.keys import (
    bucket_prefix,
    segment_key,
    segment_number,
)
from rosemaryweir.orders.pending_writes import PendingWrites
from rosemaryweir.orders.segment import (
    SEGMENT_SEAL_BYTES,
    Claim,
    RecordUpdate,
    SegmentMerge,
    decode_segment,
    encode_segment,
    merge,
)
from rosemaryweir.schema.generated.orders import OrderBucket, OrderRecord

__all__ = ['AttemptResult', 'BucketWriter', 'StoreCallResult']

#: Delay of an outcome, so that it can share a write with claims.
OUTCOME_DELAY_S = 0.5
#: Consecutive conflicts that are merged and written again without a delay.
MAX_IMMEDIATE_RETRIES = 1


class AttemptResult(NamedTuple):
    """The result of a claim or update of one attempt.

    ``kind`` is ``ours`` (the claim is durable), ``theirs`` (another attempt
    has claimed the key, see ``record``), ``expired`` (the record of the key
    was removed), ``store_down`` (the store is unavailable) or ``recorded``
    (the update is durable).
    """

    kind: str
    order_key: str
    attempt_id: str
    record: OrderRecord | None = None


class StoreCallResult(NamedTuple):
    """The actions and attempt results that follow from a store reply."""

    actions: tuple[Action, ...] = ()
    attempt_results: tuple[AttemptResult, ...] = ()


class InFlightCall(NamedTuple):
    """A store call that has no reply yet."""

    call: str
    kind: str
    segment: int
    sent_at: float
    bucket: OrderBucket | None = None
    claims: tuple[Claim, ...] = ()
    updates: tuple[RecordUpdate, ...] = ()


class BucketWriter:
    """Writes the claims and updates of one bucket.

    Parameters
    ----------
    number : int
        Number of the bucket.
    next_call : callable
        Returns the identifier of the next store call.
    rng : random.Random
        Random number generator for the backoff.
    """

    def __init__(
        self,
        number: int,
        next_call: Callable[[], str],
        rng: Random,
    ) -> None:
        self.number = number
        self.index = BucketIndex()
        self.call_in_flight: InFlightCall | None = None
        self._pending = PendingWrites()
        self._backoff = Backoff(rng)
        self._next_call = next_call
        self._conflict_count = 0
        self._earliest_start = 0.0

    def __len__(self) -> int:
        """Return the number of pending claims and updates."""
        return len(self._pending)

    def add_claim(self, claim: Claim, due: float) -> None:
        """Add a claim; its read and write start at `due` or later."""
        self._pending.add_claim(claim, due)

    def add_update(self, update: RecordUpdate, now: float) -> None:
        """Add an outcome or a release to the next write."""
        prompt = update.state == 'released'
        due = now if prompt else now + OUTCOME_DELAY_S
        self._pending.add_update(update, due)

    def withdraw(self, claim: Claim, now: float) -> None:
        """Withdraw a claim, and release it if it may have been written."""
        uncertain = claim.attempt_id in self._pending.uncertain
        writing = (
            self.call_in_flight is not None
            and claim in self.call_in_flight.claims
        )
        self._pending.drop_claim(claim.attempt_id)
        if uncertain or writing:
            release = RecordUpdate(
                claim.order_key, claim.attempt_id, 'released'
            )
            self.add_update(release, now)

    def due(self) -> float | None:
        """Return the time of the next call or call timeout, or None."""
        if self.call_in_flight is not None:
            return self.call_in_flight.sent_at + CALL_TIMEOUT_S
        earliest_due = self._pending.earliest_due
        return (
            None
            if earliest_due is None
            else max(earliest_due, self._earliest_start)
        )

    def start(self, now: float) -> Action:
        """Return the read that begins the next read-merge-write cycle.

        Call it only when the writer is due and has no call in flight.
        """
        call = self._next_call()
        if not self.index.loaded:
            self.call_in_flight = InFlightCall(call, 'load', 0, now)
            return StoreList(call, bucket_prefix(self.number))
        segment = self.index.segment_of(self._pending.first_due_key())
        self.call_in_flight = InFlightCall(call, 'read', segment, now)
        return StoreGet(call, segment_key(self.number, segment))

    def time_out_call(self, now: float) -> StoreCallResult:
        """Treat the call in flight as failed with an unknown result."""
        if self.call_in_flight is None:
            return StoreCallResult()
        return self.handle_failure(
            StoreFailed(self.call_in_flight.call, 'unknown'), now
        )

    def handle_failure(self, event: StoreFailed, now: float) -> StoreCallResult:
        """Handle a failed call; after several, refuse the pending claims."""
        call_in_flight = self._take_call_in_flight(event.call)
        if call_in_flight is None:
            return StoreCallResult()
        if event.reason == 'unknown':
            self._mark_uncertain(call_in_flight.claims)
        self._earliest_start = self._backoff.record_failure(now)
        if not self._backoff.exhausted:
            return StoreCallResult()
        refused = tuple(self._pending.claims.values())
        for claim in refused:
            self.withdraw(claim, now)
        return StoreCallResult(
            attempt_results=_attempt_results('store_down', refused)
        )

    def handle_reply(self, event: StoreReply, now: float) -> StoreCallResult:
        """Handle the reply to the call in flight."""
        call_in_flight = self._take_call_in_flight(event.call)
        if call_in_flight is None:
            return StoreCallResult()
        if call_in_flight.kind == 'load':
            return self._handle_list(event, now)
        found = event.objects[0] if event.objects else None
        if call_in_flight.kind == 'read':
            return self._merge_segment(call_in_flight.segment, found, now)
        if event.status == 'ok':
            return self._handle_written(call_in_flight)
        return self._handle_conflict(call_in_flight.segment, found, now)

    def _take_call_in_flight(self, call: str) -> InFlightCall | None:
        call_in_flight = self.call_in_flight
        if call_in_flight is None or call_in_flight.call != call:
            return None
        self.call_in_flight = None
        return call_in_flight

    def _mark_uncertain(self, claims: Iterable[Claim]) -> None:
        self._pending.uncertain.update(
            claim.attempt_id
            for claim in claims
            if claim.attempt_id in self._pending.claims
        )

    def _handle_list(self, event: StoreReply, now: float) -> StoreCallResult:
        by_segment = {
            segment_number(found.key): found for found in event.objects
        }
        for segment in sorted(by_segment):
            self.index.add_segment(
                segment,
                decode_segment(by_segment[segment].content),
            )
        self.index.loaded = True
        last = self.index.open_segment
        return self._merge_segment(last, by_segment.get(last), now)

    def _handle_conflict(
        self,
        segment: int,
        found: StoreObject | None,
        now: float,
    ) -> StoreCallResult:
        self._conflict_count += 1
        if found is not None and self._conflict_count <= MAX_IMMEDIATE_RETRIES:
            return self._merge_segment(segment, found, now)
        self._earliest_start = self._backoff.retry_time(
            now, self._conflict_count
        )
        return StoreCallResult()

    def _merge_segment(
        self,
        segment: int,
        found: StoreObject | None,
        now: float,
    ) -> StoreCallResult:
        self._backoff.reset()
        bucket = decode_segment(b'' if found is None else found.content)
        self.index.add_segment(segment, bucket)
        claims, updates = self._pending.batch(self.index, segment)
        merged = merge(bucket, claims, updates, now)
        lost = self._reject_claims(merged)
        if not merged.changed and not updates:
            return StoreCallResult(
                attempt_results=lost + self._accept_claims(merged.won)
            )
        version = 0 if found is None else found.version
        content = encode_segment(self._seal_if_full(segment, merged.bucket))
        call = self._next_call()
        self.call_in_flight = InFlightCall(
            call,
            'write',
            segment,
            now,
            merged.bucket,
            merged.won,
            updates,
        )
        name = segment_key(self.number, segment)
        return StoreCallResult((StorePut(call, name, version, content),), lost)

    def _seal_if_full(self, segment: int, bucket: OrderBucket) -> OrderBucket:
        grown = len(encode_segment(bucket)) >= SEGMENT_SEAL_BYTES
        if grown and segment == self.index.open_segment:
            bucket['sealed'] = True
        return bucket

    def _handle_written(self, call_in_flight: InFlightCall) -> StoreCallResult:
        self._conflict_count = 0
        self._backoff.reset()
        if call_in_flight.bucket is not None:
            self.index.add_segment(
                call_in_flight.segment, call_in_flight.bucket
            )
        for update in call_in_flight.updates:
            self._pending.drop_update(update)
        recorded = tuple(
            AttemptResult('recorded', each.order_key, each.attempt_id)
            for each in call_in_flight.updates
        )
        return StoreCallResult(
            attempt_results=recorded
            + self._accept_claims(call_in_flight.claims)
        )

    def _accept_claims(
        self, claims: Iterable[Claim]
    ) -> tuple[AttemptResult, ...]:
        held = [
            claim
            for claim in claims
            if self._pending.drop_claim(claim.attempt_id) is not None
        ]
        return _attempt_results('ours', held)

    def _reject_claims(self, merged: SegmentMerge) -> tuple[AttemptResult, ...]:
        for claim, _ in merged.lost:
            self._pending.drop_claim(claim.attempt_id)
        return tuple(
            AttemptResult(
                'theirs' if record else 'expired',
                lost.order_key,
                lost.attempt_id,
                record,
            )
            for lost, record in merged.lost
        )


def _attempt_results(
    kind: str, claims: Iterable[Claim]
) -> tuple[AttemptResult, ...]:
    return tuple(
        AttemptResult(kind, claim.order_key, claim.attempt_id)
        for claim in claims
    )

"""Group commit: many claims and outcomes in one conditional update.

`BucketLog` is the writer of one bucket in one process.  It has at most one
store call in flight: it reads a segment, merges everything that waits for
that segment, and writes the result under the version that it read.  A
conflict brings the segment as it is, and the merge is done again.  A call
without an answer is settled by reading again: each claim carries the nonce of
its attempt, so that a write whose reply was lost is recognized.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from rosemaryweir.node.action import Action, StoreGet, StoreList, StorePut
from rosemaryweir.node.event import StoreFailed, StoreObject, StoreReply
from rosemaryweir.orders.bucket import (
    SEAL_BYTES,
    Claim,
    Merged,
    Update,
    decode_bucket,
    encode_bucket,
    merge,
)
from rosemaryweir.orders.index import BucketIndex
from rosemaryweir.orders.keys import (
    bucket_prefix,
    segment_name,
    segment_number,
)
from rosemaryweir.orders.settle import CALL_TIMEOUT_S, Backoff
from rosemaryweir.orders.waiting import Waiting
from rosemaryweir.schema.generated.orders import OrderBucket, OrderRecord

__all__ = ['BucketLog', 'Outcome', 'Verdict']

#: How long an outcome waits for a write that goes anyway, in seconds.
OUTCOME_DELAY_S = 0.5
#: Conflicts in a row that are merged and written again at once.
PROMPT_CONFLICTS = 1


class Verdict(NamedTuple):
    """What the store says of one attempt.

    ``kind`` is ``ours`` (the claim holds), ``theirs`` (another attempt has
    the key, see ``record``), ``expired`` (its record was dropped),
    ``store_down`` or ``recorded`` (the update is durable).
    """

    kind: str
    order_key: str
    attempt: str
    record: OrderRecord | None = None


class Outcome(NamedTuple):
    """What follows from an answer of the store."""

    actions: tuple[Action, ...] = ()
    verdicts: tuple[Verdict, ...] = ()


class Flight(NamedTuple):
    """The store call without an answer."""

    call: str
    form: str
    segment: int
    issued: float
    bucket: OrderBucket | None = None
    claims: tuple[Claim, ...] = ()
    updates: tuple[Update, ...] = ()


class BucketLog:
    """The writer of one bucket.

    Parameters
    ----------
    number : int
        Number of the bucket.
    next_call : callable
        Gives the identifier of the next store call.
    rng : random.Random
        The source of chance.
    """

    def __init__(
        self,
        number: int,
        next_call: Callable[[], str],
        rng: Random,
    ) -> None:
        self.number = number
        self.index = BucketIndex()
        self.flight: Flight | None = None
        self._waiting = Waiting()
        self._backoff = Backoff(rng)
        self._next_call = next_call
        self._conflicts = 0
        self._resume = 0.0

    def __len__(self) -> int:
        """Return the number of claims and updates that are not settled."""
        return len(self._waiting)

    def claim(self, claim: Claim, due: float) -> None:
        """Let a claim wait for the next write, or read, from `due` on."""
        self._waiting.add_claim(claim, due)

    def update(self, update: Update, now: float) -> None:
        """Let an outcome or a release wait for the next write."""
        prompt = update.state == 'released'
        due = now if prompt else now + OUTCOME_DELAY_S
        self._waiting.add_update(update, due)

    def withdraw(self, claim: Claim, now: float) -> None:
        """Give up a claim; one that may hold will be released."""
        uncertain = claim.attempt in self._waiting.uncertain
        writing = self.flight is not None and claim in self.flight.claims
        self._waiting.drop_claim(claim.attempt)
        if uncertain or writing:
            release = Update(claim.order_key, claim.attempt, 'released')
            self.update(release, now)

    def due(self) -> float | None:
        """Return when this log wants to act, or None."""
        if self.flight is not None:
            return self.flight.issued + CALL_TIMEOUT_S
        soonest = self._waiting.soonest
        return None if soonest is None else max(soonest, self._resume)

    def start(self, now: float) -> Action:
        """Begin a round with a read; call it when due and not in flight."""
        call = self._next_call()
        if not self.index.loaded:
            self.flight = Flight(call, 'load', 0, now)
            return StoreList(call, bucket_prefix(self.number))
        segment = self.index.segment_of(self._waiting.first_key())
        self.flight = Flight(call, 'read', segment, now)
        return StoreGet(call, segment_name(self.number, segment))

    def expire(self, now: float) -> Outcome:
        """Take the call in flight as one without an answer."""
        if self.flight is None:
            return Outcome()
        return self.failed(StoreFailed(self.flight.call, 'unknown'), now)

    def failed(self, event: StoreFailed, now: float) -> Outcome:
        """Take a failure; after several, waiting claims are refused."""
        flight = self._landed(event.call)
        if flight is None:
            return Outcome()
        if event.reason == 'unknown':
            self._doubt(flight.claims)
        self._resume = self._backoff.fail(now)
        if not self._backoff.exhausted:
            return Outcome()
        refused = tuple(self._waiting.claims.values())
        for claim in refused:
            self.withdraw(claim, now)
        return Outcome(verdicts=_verdicts('store_down', refused))

    def replied(self, event: StoreReply, now: float) -> Outcome:
        """Take the answer to the call in flight."""
        flight = self._landed(event.call)
        if flight is None:
            return Outcome()
        if flight.form == 'load':
            return self._take_list(event, now)
        found = event.objects[0] if event.objects else None
        if flight.form == 'read':
            return self._merge(flight.segment, found, now)
        if event.status == 'ok':
            return self._commit(flight)
        return self._contend(flight.segment, found, now)

    def _landed(self, call: str) -> Flight | None:
        flight = self.flight
        if flight is None or flight.call != call:
            return None
        self.flight = None
        return flight

    def _doubt(self, claims: Iterable[Claim]) -> None:
        self._waiting.uncertain.update(
            claim.attempt
            for claim in claims
            if claim.attempt in self._waiting.claims
        )

    def _take_list(self, event: StoreReply, now: float) -> Outcome:
        by_segment = {
            segment_number(found.key): found for found in event.objects
        }
        for segment in sorted(by_segment):
            self.index.learn(
                segment,
                decode_bucket(by_segment[segment].content),
            )
        self.index.loaded = True
        last = self.index.last
        return self._merge(last, by_segment.get(last), now)

    def _contend(
        self,
        segment: int,
        found: StoreObject | None,
        now: float,
    ) -> Outcome:
        self._conflicts += 1
        if found is not None and self._conflicts <= PROMPT_CONFLICTS:
            return self._merge(segment, found, now)
        self._resume = self._backoff.pause(now, self._conflicts)
        return Outcome()

    def _merge(
        self,
        segment: int,
        found: StoreObject | None,
        now: float,
    ) -> Outcome:
        self._backoff.succeed()
        bucket = decode_bucket(b'' if found is None else found.content)
        self.index.learn(segment, bucket)
        claims, updates = self._waiting.batch(self.index, segment)
        merged = merge(bucket, claims, updates, now)
        lost = self._lose(merged)
        if not merged.changed and not updates:
            return Outcome(verdicts=lost + self._win(merged.won))
        version = 0 if found is None else found.version
        content = encode_bucket(self._sealed(segment, merged.bucket))
        call = self._next_call()
        self.flight = Flight(
            call,
            'write',
            segment,
            now,
            merged.bucket,
            merged.won,
            updates,
        )
        name = segment_name(self.number, segment)
        return Outcome((StorePut(call, name, version, content),), lost)

    def _sealed(self, segment: int, bucket: OrderBucket) -> OrderBucket:
        grown = len(encode_bucket(bucket)) >= SEAL_BYTES
        if grown and segment == self.index.last:
            bucket['sealed'] = True
        return bucket

    def _commit(self, flight: Flight) -> Outcome:
        self._conflicts = 0
        self._backoff.succeed()
        if flight.bucket is not None:
            self.index.learn(flight.segment, flight.bucket)
        for update in flight.updates:
            self._waiting.drop_update(update)
        recorded = tuple(
            Verdict('recorded', each.order_key, each.attempt)
            for each in flight.updates
        )
        return Outcome(verdicts=recorded + self._win(flight.claims))

    def _win(self, claims: Iterable[Claim]) -> tuple[Verdict, ...]:
        held = [
            claim
            for claim in claims
            if self._waiting.drop_claim(claim.attempt) is not None
        ]
        return _verdicts('ours', held)

    def _lose(self, merged: Merged) -> tuple[Verdict, ...]:
        for claim, _ in merged.lost:
            self._waiting.drop_claim(claim.attempt)
        return tuple(
            Verdict(
                'theirs' if record else 'expired',
                lost.order_key,
                lost.attempt,
                record,
            )
            for lost, record in merged.lost
        )


def _verdicts(kind: str, claims: Iterable[Claim]) -> tuple[Verdict, ...]:
    return tuple(
        Verdict(kind, claim.order_key, claim.attempt) for claim in claims
    )

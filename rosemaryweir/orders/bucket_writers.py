"""The bucket writers of one process, with a shared limit on the write rate."""

import itertools
from collections.abc import Iterable
from random import Random

from rosemaryweir.node.action import Action, StorePut
from rosemaryweir.node.event import StoreFailed, StoreReply
from rosemaryweir.orders.bucket_writer import BucketWriter, StoreCallResult
from rosemaryweir.orders.keys import BUCKET_COUNT, bucket_of
from rosemaryweir.orders.record_expiry import RecordExpirer
from rosemaryweir.orders.segment import Claim, RecordUpdate
from rosemaryweir.orders.write_rate import WriteRateLimiter

__all__ = ['TOPIC', 'BucketWriters']

#: Prefix of the identifiers of store calls for orders.
TOPIC = 'orders'


class BucketWriters:
    """Routes claims, updates and store replies to the writer of each bucket.

    Parameters
    ----------
    rng : random.Random
        Random number generator for backoff and expiry times.

    Attributes
    ----------
    entries : int
        Number of entries that share the total write rate.
    """

    def __init__(self, rng: Random) -> None:
        self.entries = 1
        self._call_numbers = itertools.count(1)
        self._rate_limiter = WriteRateLimiter()
        self._writers = [
            BucketWriter(number, self._next_call, rng)
            for number in range(BUCKET_COUNT)
        ]
        indexes = [writer.index for writer in self._writers]
        self.expirer = RecordExpirer(indexes, self._next_call, rng)
        self._writer_of_call: dict[str, BucketWriter] = {}

    def __len__(self) -> int:
        """Return the number of pending claims and updates."""
        return sum(len(writer) for writer in self._writers)

    def writer_of(self, order_key: str) -> BucketWriter:
        """Return the writer of the bucket that contains an order key."""
        return self._writers[bucket_of(order_key)]

    def key_count(self) -> int:
        """Return the number of order keys in the indexes of all buckets."""
        return sum(len(writer.index) for writer in self._writers)

    def add_claim(self, claim: Claim, due: float) -> None:
        """Add a claim; its read and write start at `due` or later."""
        self.writer_of(claim.order_key).add_claim(claim, due)

    def withdraw(self, claim: Claim, now: float) -> None:
        """Withdraw a claim, and release it if it may have been written."""
        self.writer_of(claim.order_key).withdraw(claim, now)

    def add_update(self, update: RecordUpdate, now: float) -> None:
        """Add an outcome or a release to the next write of its bucket."""
        self.writer_of(update.order_key).add_update(update, now)

    def handle_reply(self, event: StoreReply, now: float) -> StoreCallResult:
        """Handle a reply of the store."""
        writer = self._writer_of_call.pop(event.call, None)
        if writer is None:
            return StoreCallResult(self.expirer.handle_reply(event))
        result = writer.handle_reply(event, now)
        self._spend_write(writer, result.actions, now)
        return result

    def handle_failure(self, event: StoreFailed, now: float) -> StoreCallResult:
        """Handle a failed store call."""
        writer = self._writer_of_call.pop(event.call, None)
        return (
            StoreCallResult()
            if writer is None
            else writer.handle_failure(event, now)
        )

    def time_out_calls(self, now: float) -> StoreCallResult:
        """Treat calls that exceed the call timeout as failed."""
        results = [
            writer.time_out_call(now)
            for writer in self._writers
            if writer.call_in_flight is not None and _is_due(writer.due(), now)
        ]
        return StoreCallResult(
            attempt_results=tuple(
                attempt_result
                for result in results
                for attempt_result in result.attempt_results
            ),
        )

    def start_due(self, now: float) -> Iterable[Action]:
        """Yield the calls that are due, as far as the write rate allows."""
        expiry_call = self.expirer.start(now)
        if expiry_call is not None:
            yield expiry_call
        due = [
            writer
            for writer in self._writers
            if writer.call_in_flight is None and _is_due(writer.due(), now)
        ]
        due.sort(key=_due_time)
        for writer in due:
            if self._rate_limiter.next_write_at > now:
                return
            action = writer.start(now)
            self._remember_call(writer)
            yield action

    def next_wake(self) -> float | None:
        """Return the time of the next call timeout, call or expiry, or None."""
        calls = [
            due
            for writer in self._writers
            if writer.call_in_flight is not None
            and (due := writer.due()) is not None
        ]
        starts = [
            due
            for writer in self._writers
            if writer.call_in_flight is None
            and (due := writer.due()) is not None
        ]
        if self.expirer.next_wake is not None:
            calls.append(self.expirer.next_wake)
        if starts:
            calls.append(max(min(starts), self._rate_limiter.next_write_at))
        return min(calls, default=None)

    def _spend_write(
        self,
        writer: BucketWriter,
        actions: Iterable[Action],
        now: float,
    ) -> None:
        self._remember_call(writer)
        if any(isinstance(action, StorePut) for action in actions):
            self._rate_limiter.spend(now, self.entries)

    def _remember_call(self, writer: BucketWriter) -> None:
        if writer.call_in_flight is not None:
            self._writer_of_call[writer.call_in_flight.call] = writer

    def _next_call(self) -> str:
        return f'{TOPIC}:{next(self._call_numbers)}'


def _due_time(writer: BucketWriter) -> float:
    return writer.due() or 0.0


def _is_due(due: float | None, now: float) -> bool:
    return due is not None and due <= now

"""The bucket logs of one process, under one pace of writes."""

import itertools
from collections.abc import Iterable
from random import Random

from rosemaryweir.node.action import Action, StorePut
from rosemaryweir.node.event import StoreFailed, StoreReply
from rosemaryweir.orders.bucket import Claim, Update
from rosemaryweir.orders.cleaning import Cleaner
from rosemaryweir.orders.group import BucketLog, Outcome
from rosemaryweir.orders.keys import BUCKETS, bucket_of
from rosemaryweir.orders.pace import Pace

__all__ = ['TOPIC', 'BucketLogs']

#: Topic of the store calls for orders.
TOPIC = 'orders'


class BucketLogs:
    """The writers of all buckets.

    Parameters
    ----------
    rng : random.Random
        The source of chance.

    Attributes
    ----------
    entries : int
        Number of entries that share the pace of writes.
    """

    def __init__(self, rng: Random) -> None:
        self.entries = 1
        self._numbers = itertools.count(1)
        self._pace = Pace()
        self._logs = [
            BucketLog(number, self._next_call, rng) for number in range(BUCKETS)
        ]
        indexes = [log.index for log in self._logs]
        self.cleaner = Cleaner(indexes, self._next_call, rng)
        self._log_of_call: dict[str, BucketLog] = {}

    def __len__(self) -> int:
        """Return the number of claims and updates that are not settled."""
        return sum(len(log) for log in self._logs)

    def log_of(self, order_key: str) -> BucketLog:
        """Return the log of an order key."""
        return self._logs[bucket_of(order_key)]

    def keys(self) -> int:
        """Return the number of order keys that this process remembers."""
        return sum(len(log.index) for log in self._logs)

    def claim(self, claim: Claim, due: float) -> None:
        """Let a claim wait for a write from `due` on."""
        self.log_of(claim.order_key).claim(claim, due)

    def withdraw(self, claim: Claim, now: float) -> None:
        """Give up a claim; one that may hold will be released."""
        self.log_of(claim.order_key).withdraw(claim, now)

    def update(self, update: Update, now: float) -> None:
        """Let an outcome or a release wait for a write."""
        self.log_of(update.order_key).update(update, now)

    def replied(self, event: StoreReply, now: float) -> Outcome:
        """Take an answer of the store."""
        log = self._log_of_call.pop(event.call, None)
        if log is None:
            return Outcome(self.cleaner.replied(event))
        outcome = log.replied(event, now)
        self._account(log, outcome.actions, now)
        return outcome

    def failed(self, event: StoreFailed, now: float) -> Outcome:
        """Take a call without an answer."""
        log = self._log_of_call.pop(event.call, None)
        return Outcome() if log is None else log.failed(event, now)

    def expire(self, now: float) -> Outcome:
        """Take calls that are out for too long as without an answer."""
        outcomes = [
            log.expire(now)
            for log in self._logs
            if log.flight is not None and _reached(log.due(), now)
        ]
        return Outcome(
            verdicts=tuple(
                verdict for outcome in outcomes for verdict in outcome.verdicts
            ),
        )

    def start_due(self, now: float) -> Iterable[Action]:
        """Start the rounds that are due, as far as the pace allows."""
        cleaning = self.cleaner.start(now)
        if cleaning is not None:
            yield cleaning
        due = [
            log
            for log in self._logs
            if log.flight is None and _reached(log.due(), now)
        ]
        due.sort(key=_due_of)
        for log in due:
            if self._pace.ready_at > now:
                return
            action = log.start(now)
            self._note_call(log)
            yield action

    def next_wake(self) -> float | None:
        """Return when `expire` or `start_due` has work."""
        calls = [
            due
            for log in self._logs
            if log.flight is not None and (due := log.due()) is not None
        ]
        starts = [
            due
            for log in self._logs
            if log.flight is None and (due := log.due()) is not None
        ]
        if self.cleaner.next_wake is not None:
            calls.append(self.cleaner.next_wake)
        if starts:
            calls.append(max(min(starts), self._pace.ready_at))
        return min(calls, default=None)

    def _account(
        self,
        log: BucketLog,
        actions: Iterable[Action],
        now: float,
    ) -> None:
        self._note_call(log)
        if any(isinstance(action, StorePut) for action in actions):
            self._pace.spend(now, self.entries)

    def _note_call(self, log: BucketLog) -> None:
        if log.flight is not None:
            self._log_of_call[log.flight.call] = log

    def _next_call(self) -> str:
        return f'{TOPIC}:{next(self._numbers)}'


def _due_of(log: BucketLog) -> float:
    return log.due() or 0.0


def _reached(due: float | None, now: float) -> bool:
    return due is not None and due <= now

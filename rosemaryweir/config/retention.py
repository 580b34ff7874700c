"""Delete stored content that is no longer needed.

An attempt to create a generation can succeed only while the head is at the
previous generation.  Once the head has passed it, the outcome of each attempt
is final: its content is in force, was in force, or never will be.  One rule
therefore covers old content and content left by refused or crashed writers:
every attempt is deleted that is both a number of generations and a time behind
the head.
"""

import itertools
from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from rosemaryweir.config.head import MAX_RECENT_NOTES
from rosemaryweir.config.upload import (
    ATTEMPT_PREFIX,
    attempt_key,
    attempt_objects,
)
from rosemaryweir.node.action import Action, StoreDelete, StoreGet, StoreList
from rosemaryweir.node.event import StoreFailed, StoreObject, StoreReply
from rosemaryweir.schema.generated.control import Attempt

__all__ = [
    'MAX_RECORDS_PER_ROUND',
    'RETAINED_GENERATIONS',
    'RETENTION_S',
    'ContentCleaner',
]

#: Number of generations retained, the same as the head lists, so that the
#: deltas named in the head are retained.
RETAINED_GENERATIONS = MAX_RECENT_NOTES

#: Time for which content is kept beyond that, in seconds.
RETENTION_S = 300.0

#: Maximum number of attempts deleted for each accepted note.
MAX_RECORDS_PER_ROUND = 4

#: Delay before a round is repeated after a failed call, in seconds.
RETRY_DELAY_S = 10.0


class CleanupRound(NamedTuple):
    """A clean-up: its time and the newest generation to delete."""

    due: float
    generation: int


class ExpiredObject(NamedTuple):
    """An object to delete and its version; 0 if it must be looked up."""

    key: str
    version: int


class ContentCleaner:
    """Delete expired attempts after each accepted note, one call at a time.

    Parameters
    ----------
    topic : str
        Prefix of the call identifiers, by which replies are routed.
    retained : int
        Number of generations retained.
    retention_s : float
        Time for which content is kept beyond that, in seconds.
    """

    def __init__(
        self,
        topic: str,
        retained: int = RETAINED_GENERATIONS,
        retention_s: float = RETENTION_S,
    ) -> None:
        self._topic = topic
        self._retained = retained
        self._retention_s = retention_s
        self._call_count = 0
        self._rounds: deque[CleanupRound] = deque()
        self._call = ''
        self._expired: deque[ExpiredObject] = deque()
        self._look_up_versions = False

    def schedule(self, generation: int, now: float) -> None:
        """Schedule a round after the head has reached a generation."""
        newest_expired = generation - self._retained
        if newest_expired > 0:
            self._rounds.append(
                CleanupRound(now + self._retention_s, newest_expired),
            )

    def next_wake(self) -> float | None:
        """Return the time of the next round; None while one is in progress."""
        not_due = bool(self._call) or not self._rounds
        return None if not_due else self._rounds[0].due

    def wake(self, now: float) -> Iterator[Action]:
        """Start a round that is due by listing the records of attempts."""
        due = self.next_wake()
        if due is not None and now >= due:
            yield StoreList(self._new_call(), ATTEMPT_PREFIX)

    def take_reply(self, event: StoreReply) -> Iterator[Action]:
        """Continue the round with the reply to its open call."""
        if event.call != self._call:
            return
        if self._expired:
            self._take_object_reply(event)
        else:
            self._take_listing(event)
        if self._expired:
            key, version = self._expired[0]
            call = self._new_call()
            yield (
                StoreDelete(call, key, version)
                if version
                else StoreGet(call, key)
            )
        else:
            self._call = ''
            self._look_up_versions = False
            self._rounds.popleft()

    def take_failure(self, event: StoreFailed, now: float) -> None:
        """Repeat the round later, looking up the version of each object.

        The call may have failed because its object was deleted or replaced.
        """
        if event.call == self._call:
            self._call = ''
            self._look_up_versions = True
            self._expired.clear()
            self._rounds[0] = self._rounds[0]._replace(due=now + RETRY_DELAY_S)

    def _take_listing(self, event: StoreReply) -> None:
        expired = _find_expired(event.objects, self._rounds[0].generation)
        self._expired.extend(
            each._replace(version=0) if self._look_up_versions else each
            for each in expired
        )

    def _take_object_reply(self, event: StoreReply) -> None:
        """Drop the handled object, or queue it with the version found."""
        key, version = self._expired.popleft()
        found = event.objects[0].version if event.objects else 0
        if found and (not version or event.status == 'conflict'):
            self._expired.appendleft(ExpiredObject(key, found))

    def _new_call(self) -> str:
        self._call_count += 1
        self._call = f'{self._topic}:{self._call_count}'
        return self._call


def _find_expired(
    records: Iterable[StoreObject],
    max_generation: int,
) -> Iterator[ExpiredObject]:
    """Yield the objects of the oldest attempts, each record last.

    A record is deleted last so that a round that was interrupted can be
    repeated.
    """
    old = [
        (attempt, record.version)
        for attempt, record in _decode_attempts(records)
        if attempt['generation'] <= max_generation
    ]
    old.sort(key=_attempt_generation)
    for attempt, version in old[:MAX_RECORDS_PER_ROUND]:
        keys = attempt_objects(attempt)
        versions = attempt['versions'] or itertools.repeat(0)
        yield from map(ExpiredObject, keys, versions)
        yield ExpiredObject(attempt_key(attempt), version)


def _decode_attempts(
    records: Iterable[StoreObject],
) -> Iterator[tuple[Attempt, StoreObject]]:
    for record in records:
        try:
            attempt = msgspec.json.decode(record.content, type=Attempt)
        except msgspec.MsgspecError:
            continue
        if record.key == attempt_key(attempt):
            yield attempt, record


def _attempt_generation(old: tuple[Attempt, int]) -> int:
    return old[0]['generation']

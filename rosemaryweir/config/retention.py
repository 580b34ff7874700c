"""Delete stored content that nothing can come to need.

An attempt to make a generation can succeed only while the head is at the
generation before.  Once the head is further, each attempt of that generation
is settled: what it stored is in force, was in force, or never will be.  So one
rule covers old content and what losers and dead writers left: everything of
generations that are a number of generations and a time behind the head.
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
    'MAX_ATTEMPTS_PER_ROUND',
    'RETAINED_GENERATIONS',
    'RETENTION_S',
    'ContentCleaner',
]

#: Generations that are retained, with the deltas that the head names.
RETAINED_GENERATIONS = MAX_RECENT_NOTES

#: Time for which content is kept once it is so far behind, in seconds.
RETENTION_S = 300.0

#: Attempts that are deleted for one accepted note.
MAX_ATTEMPTS_PER_ROUND = 4

#: Pause after a call that failed, in seconds.
RETRY_DELAY_S = 10.0


class CleanupRound(NamedTuple):
    """A clean-up: when, and up to which generation."""

    due: float
    generation: int


class ExpiredObject(NamedTuple):
    """An object to be deleted, and its version; 0: it must be looked up."""

    key: str
    version: int


class ContentCleaner:
    """Clean up after each note that was accepted here, one call at a time.

    Parameters
    ----------
    topic : str
        Topic that replies come back by.
    retained : int
        Generations that are kept.
    retention_s : float
        Time for which content is kept once it is so far behind, in seconds.
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
        self._number = 0
        self._rounds: deque[CleanupRound] = deque()
        self._call = ''
        self._expired: deque[ExpiredObject] = deque()
        self._look_up_versions = False

    def schedule(self, generation: int, now: float) -> None:
        """Take it that the head has reached a generation."""
        newest_expired = generation - self._retained
        if newest_expired > 0:
            self._rounds.append(
                CleanupRound(now + self._retention_s, newest_expired),
            )

    def next_wake(self) -> float | None:
        """Return the time of the next clean-up."""
        waits = bool(self._call) or not self._rounds
        return None if waits else self._rounds[0].due

    def wake(self, now: float) -> Iterator[Action]:
        """Begin a clean-up that is due: list what attempts stored."""
        due = self.next_wake()
        if due is not None and now >= due:
            yield StoreList(self._new_call(), ATTEMPT_PREFIX)

    def take_reply(self, event: StoreReply) -> Iterator[Action]:
        """Go on with the clean-up."""
        if event.call != self._call:
            return
        if self._expired:
            self._take_step(event)
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
        """Begin the clean-up again later, and look each version up then.

        The call may have failed since its object is gone or is another.
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

    def _take_step(self, event: StoreReply) -> None:
        """Go on, or delete the version that was found."""
        key, version = self._expired.popleft()
        found = event.objects[0].version if event.objects else 0
        if found and (not version or event.status == 'conflict'):
            self._expired.appendleft(ExpiredObject(key, found))

    def _new_call(self) -> str:
        self._number += 1
        self._call = f'{self._topic}:{self._number}'
        return self._call


def _find_expired(
    records: Iterable[StoreObject],
    max_generation: int,
) -> Iterator[ExpiredObject]:
    """Yield what the oldest attempts stored, each record last."""
    old = [
        (attempt, record.version)
        for attempt, record in _decode_attempts(records)
        if attempt['generation'] <= max_generation
    ]
    old.sort(key=_attempt_generation)
    for attempt, version in old[:MAX_ATTEMPTS_PER_ROUND]:
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

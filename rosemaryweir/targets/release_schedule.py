"""Releases of targets to their new owners."""

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from rosemaryweir.schema.generated.control import Released
from rosemaryweir.targets.handover import PendingRelease

__all__ = ['ReleaseMessage', 'ReleaseSchedule']

#: A release is sent so often, so far apart (s), since a message may be lost.
REPEATS = 4
REPEAT_EVERY = 0.25


class ReleaseMessage(NamedTuple):
    """A release on its way to a VM."""

    to: str
    message: Released


class ScheduledRepeat(NamedTuple):
    """A release that is sent some more times."""

    sending: ReleaseMessage
    left: int
    due: float


class ReleaseSchedule:
    """Releases to send, and to send again."""

    def __init__(self) -> None:
        self._repeats: list[ScheduledRepeat] = []

    def __bool__(self) -> bool:
        """Return whether any release has to be sent again."""
        return bool(self._repeats)

    def add(
        self, releases: Iterable[PendingRelease], now: float
    ) -> list[ReleaseMessage]:
        """Return the messages that release targets, a few for many."""
        messages = [_release_message(*group) for group in _grouped(releases)]
        self._repeats.extend(
            ScheduledRepeat(sending, REPEATS - 1, now + REPEAT_EVERY)
            for sending in messages
        )
        return messages

    def again(self, now: float) -> list[ReleaseMessage]:
        """Return the messages that are due again."""
        due = [repeat for repeat in self._repeats if repeat.due <= now]
        self._repeats = [repeat for repeat in self._repeats if repeat.due > now]
        self._repeats.extend(
            ScheduledRepeat(repeat.sending, repeat.left - 1, now + REPEAT_EVERY)
            for repeat in due
            if repeat.left > 1
        )
        return [repeat.sending for repeat in due]

    def superseded(self, domain: str) -> None:
        """Drop the releases under older views of a failure domain."""
        self._repeats = [
            repeat
            for repeat in self._repeats
            if repeat.sending.message['domain'] != domain
        ]


ReleaseKey = tuple[str, str, int]


def _release_key(release: PendingRelease) -> ReleaseKey:
    return (release.to, release.domain, release.view)


def _grouped(
    releases: Iterable[PendingRelease],
) -> Iterator[tuple[ReleaseKey, list[str]]]:
    for place, group in groupby(
        sorted(releases, key=_release_key), key=_release_key
    ):
        yield place, [release.target for release in group]


def _release_message(place: ReleaseKey, targets: list[str]) -> ReleaseMessage:
    to, domain, view = place
    message = Released(
        kind='released',
        domain=domain,
        view=view,
        targets=targets,
    )
    return ReleaseMessage(to, message)

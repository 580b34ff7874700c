"""Release messages to the new owners of targets, with repeats."""

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from rosemaryweir.schema.generated.control import Released
from rosemaryweir.targets.handover import PendingRelease

__all__ = ['ReleaseMessage', 'ReleaseSchedule']

#: Number of times that a release is sent, as a message may be lost, and the
#: interval between them in s.
SEND_COUNT = 4
REPEAT_INTERVAL_S = 0.25


class ReleaseMessage(NamedTuple):
    """A release message and the VM that it is sent to."""

    to: str
    content: Released


class ScheduledRepeat(NamedTuple):
    """A release message that is sent ``left`` more times, next at ``due``."""

    message: ReleaseMessage
    left: int
    due: float


class ReleaseSchedule:
    """Release messages to send, first and repeated."""

    def __init__(self) -> None:
        self._repeats: list[ScheduledRepeat] = []

    def __bool__(self) -> bool:
        """Return whether any release is still to be repeated."""
        return bool(self._repeats)

    def add(
        self, releases: Iterable[PendingRelease], now: float
    ) -> list[ReleaseMessage]:
        """Schedule releases; return the messages to send now.

        Targets that go to the same VM under the same view share a message.
        """
        messages = [_release_message(*group) for group in _grouped(releases)]
        self._repeats.extend(
            ScheduledRepeat(message, SEND_COUNT - 1, now + REPEAT_INTERVAL_S)
            for message in messages
        )
        return messages

    def take_due(self, now: float) -> list[ReleaseMessage]:
        """Return the messages to repeat now and schedule their next repeat."""
        due = [repeat for repeat in self._repeats if repeat.due <= now]
        self._repeats = [repeat for repeat in self._repeats if repeat.due > now]
        self._repeats.extend(
            ScheduledRepeat(
                repeat.message, repeat.left - 1, now + REPEAT_INTERVAL_S
            )
            for repeat in due
            if repeat.left > 1
        )
        return [repeat.message for repeat in due]

    def drop_domain(self, domain: str) -> None:
        """Drop the repeats for a failure domain, once it has a newer view."""
        self._repeats = [
            repeat
            for repeat in self._repeats
            if repeat.message.content['domain'] != domain
        ]


ReleaseKey = tuple[str, str, int]


def _release_key(release: PendingRelease) -> ReleaseKey:
    return (release.to, release.domain, release.view)


def _grouped(
    releases: Iterable[PendingRelease],
) -> Iterator[tuple[ReleaseKey, list[str]]]:
    for key, group in groupby(
        sorted(releases, key=_release_key), key=_release_key
    ):
        yield key, [release.target for release in group]


def _release_message(key: ReleaseKey, targets: list[str]) -> ReleaseMessage:
    to, domain, view = key
    content = Released(
        kind='released',
        domain=domain,
        view=view,
        targets=targets,
    )
    return ReleaseMessage(to, content)

"""Releases of targets to their new owners."""

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from rosemaryweir.schema.generated.control import Released
from rosemaryweir.targets.handover import Handing

__all__ = ['Releases', 'Sending']

#: A release is sent so often, so far apart (s), since a message may be lost.
REPEATS = 4
REPEAT_EVERY = 0.25


class Sending(NamedTuple):
    """A release on its way to a VM."""

    to: str
    message: Released


class Repeat(NamedTuple):
    """A release that is sent some more times."""

    sending: Sending
    left: int
    due: float


class Releases:
    """Releases to send, and to send again."""

    def __init__(self) -> None:
        self._repeats: list[Repeat] = []

    def __bool__(self) -> bool:
        """Return whether any release has to be sent again."""
        return bool(self._repeats)

    def add(self, handings: Iterable[Handing], now: float) -> list[Sending]:
        """Return the messages that release targets, a few for many."""
        sendings = [_sending(*group) for group in _grouped(handings)]
        self._repeats.extend(
            Repeat(sending, REPEATS - 1, now + REPEAT_EVERY)
            for sending in sendings
        )
        return sendings

    def again(self, now: float) -> list[Sending]:
        """Return the messages that are due again."""
        due = [repeat for repeat in self._repeats if repeat.due <= now]
        self._repeats = [repeat for repeat in self._repeats if repeat.due > now]
        self._repeats.extend(
            Repeat(repeat.sending, repeat.left - 1, now + REPEAT_EVERY)
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


Place = tuple[str, str, int]


def _place(handing: Handing) -> Place:
    return (handing.to, handing.domain, handing.view)


def _grouped(
    handings: Iterable[Handing],
) -> Iterator[tuple[Place, list[str]]]:
    for place, group in groupby(sorted(handings, key=_place), key=_place):
        yield place, [handing.target for handing in group]


def _sending(place: Place, targets: list[str]) -> Sending:
    to, domain, view = place
    message = Released(
        kind='released',
        domain=domain,
        view=view,
        targets=targets,
    )
    return Sending(to, message)

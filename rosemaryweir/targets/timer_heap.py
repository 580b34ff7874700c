"""Timers of a part, ordered in a heap."""

import heapq
from collections.abc import Callable, Iterator
from itertools import count
from typing import Any

__all__ = ['TimerHeap']

TimerHandler = Callable[[Any, float], None]
Entry = tuple[float, int, TimerHandler, Any]


class TimerHeap:
    """Handler calls scheduled for given times.

    Timers can't be cancelled: a handler checks whether its call still
    matters.

    Examples
    --------
    >>> timers = TimerHeap()
    >>> timers.at(2.0, print, 'later')
    >>> timers.at(1.0, print, 'sooner')
    >>> timers.next_due()
    1.0
    >>> [subject for _, subject in timers.due(1.5)]
    ['sooner']
    """

    def __init__(self) -> None:
        self._heap: list[Entry] = []
        self._numbers = count()

    def at(self, when: float, handler: TimerHandler, subject: Any) -> None:
        """Schedule a call of a handler with a subject."""
        heapq.heappush(
            self._heap,
            (when, next(self._numbers), handler, subject),
        )

    def next_due(self) -> float | None:
        """Return when the next timer is due, or None."""
        return self._heap[0][0] if self._heap else None

    def due(self, now: float) -> Iterator[tuple[TimerHandler, Any]]:
        """Remove and yield the calls that are due."""
        while self._heap and self._heap[0][0] <= now:
            _, _, handler, subject = heapq.heappop(self._heap)
            yield handler, subject

"""Schedules calls in virtual time, for tests and benchmarks."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

__all__ = ['Scheduler']

Call = Callable[..., Any]


class Scheduler:
    """Runs calls in the order of their virtual times.

    Attributes
    ----------
    now : float
        Virtual time, in seconds.

    Examples
    --------
    >>> scheduler = Scheduler()
    >>> scheduler.after(0.5, print, 'later')
    >>> scheduler.after(0.1, print, 'sooner')
    >>> scheduler.run(until=1.0)
    sooner
    later
    >>> scheduler.now
    1.0
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Call, tuple[Any, ...]]] = []
        self._order = itertools.count()

    def at(self, when: float, call: Call, *args: Any) -> None:
        """Schedule a call at a time, or now if that has passed."""
        moment = max(when, self.now)
        heapq.heappush(self._heap, (moment, next(self._order), call, args))

    def after(self, delay: float, call: Call, *args: Any) -> None:
        """Schedule a call after a delay in seconds."""
        self.at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Run all calls due up to a time, and advance virtual time to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            when, _, call, args = heapq.heappop(heap)
            self.now = when
            call(*args)
        self.now = until

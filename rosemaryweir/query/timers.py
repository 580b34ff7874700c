"""Timers of many queries, of which the next matters."""

import heapq

__all__ = ['Timers']


class Timers:
    """One timer for each identifier.

    Examples
    --------
    >>> timers = Timers()
    >>> timers.set('a', 2.0)
    >>> timers.set('a', 1.0)
    >>> timers.set('b', 1.5)
    >>> timers.drop('b')
    >>> timers.next_due(), list(timers.due(3.0)), timers.next_due()
    (1.0, ['a'], None)
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []
        self._when: dict[str, float] = {}

    def set(self, uid: str, when: float) -> None:
        """Set the timer of an identifier; it replaces an earlier one."""
        if self._when.get(uid) == when:
            return
        self._when[uid] = when
        heapq.heappush(self._heap, (when, uid))

    def keep(self, uid: str, when: float) -> None:
        """Set the timer of an identifier unless it has one."""
        if uid not in self._when:
            self.set(uid, when)

    def drop(self, uid: str) -> None:
        """Drop the timer of an identifier."""
        self._when.pop(uid, None)

    def next_due(self) -> float | None:
        """Return the time of the next timer."""
        heap = self._heap
        while heap and self._when.get(heap[0][1]) != heap[0][0]:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def due(self, now: float) -> list[str]:
        """Remove and return the identifiers whose time has come."""
        found = []
        when = self.next_due()
        while when is not None and when <= now:
            uid = heapq.heappop(self._heap)[1]
            self._when.pop(uid)
            found.append(uid)
            when = self.next_due()
        return found

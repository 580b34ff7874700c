"""One timer for each query, in a heap ordered by time."""

import heapq

__all__ = ['QueryTimers']


class QueryTimers:
    """At most one timer for each identifier.

    Examples
    --------
    >>> timers = QueryTimers()
    >>> timers.set('a', 2.0)
    >>> timers.set('a', 1.0)
    >>> timers.set('b', 1.5)
    >>> timers.cancel('b')
    >>> timers.next_due(), list(timers.pop_due(3.0)), timers.next_due()
    (1.0, ['a'], None)
    """

    def __init__(self) -> None:
        # Entries of timers that were replaced or cancelled stay in the heap
        # until they reach its top.
        self._heap: list[tuple[float, str]] = []
        self._due_times: dict[str, float] = {}

    def set(self, uid: str, due_at: float) -> None:
        """Set the timer of an identifier, replacing any earlier one."""
        if self._due_times.get(uid) == due_at:
            return
        self._due_times[uid] = due_at
        heapq.heappush(self._heap, (due_at, uid))

    def set_default(self, uid: str, due_at: float) -> None:
        """Set the timer of an identifier unless one is set."""
        if uid not in self._due_times:
            self.set(uid, due_at)

    def cancel(self, uid: str) -> None:
        """Cancel the timer of an identifier."""
        self._due_times.pop(uid, None)

    def next_due(self) -> float | None:
        """Return the time of the next timer, or None."""
        heap = self._heap
        while heap and self._due_times.get(heap[0][1]) != heap[0][0]:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def pop_due(self, now: float) -> list[str]:
        """Remove the timers that are due; return their identifiers."""
        uids = []
        due_at = self.next_due()
        while due_at is not None and due_at <= now:
            uid = heapq.heappop(self._heap)[1]
            self._due_times.pop(uid)
            uids.append(uid)
            due_at = self.next_due()
        return uids

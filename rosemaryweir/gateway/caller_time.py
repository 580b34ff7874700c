"""Estimate how long a caller has been waiting over all its attempts."""

from collections import Counter

__all__ = ['CallerTimeTracker']

MS_PER_SECOND = 1000
#: Stated times per route that are remembered; then all count half.
MEMORY = 256
#: Requests that state the same time before it counts as a time of callers.
MIN_COUNT = 3
#: The same, as a share of the requests that are remembered.
MIN_SHARE = 0.05
#: The same, as a share of the most frequent time shortly above.
MIN_NEIGHBOUR_SHARE = 0.5


class CallerTimeTracker:
    """Estimates how long a caller has been waiting over all its attempts.

    A caller states what is left of its time.  In first attempts that is a
    time which many requests state, in later ones any shorter time: the
    difference is the time that has passed.  Callers with different times may
    share a route, and a single one with a much longer time must not make all
    others seem late.
    """

    def __init__(self) -> None:
        self._counts: dict[str, Counter[int]] = {}

    def elapsed(
        self, route: str, time_left: float | None, goal: float
    ) -> float:
        """Return the time since the caller's first attempt, in seconds.

        Parameters
        ----------
        route : str
            Name of the route.
        time_left : float or None
            What the caller states, in seconds.
        goal : float
            The route's latency goal, in seconds.  Until it is known which
            times are frequent, no more than this is assumed to have passed.

        Examples
        --------
        >>> tracker = CallerTimeTracker()
        >>> [round(tracker.elapsed('r', left, 0.5), 3) for left in (0.8, 0.7)]
        [0.0, 0.1]
        """
        if time_left is None:
            return 0.0
        counts = self._counts.setdefault(route, Counter())
        left = round(time_left * MS_PER_SECOND)
        counts[left] += 1
        reach = round(goal * MS_PER_SECOND)
        first = _find_first_stated(counts, left, reach)
        if counts.total() >= MEMORY:
            self._counts[route] = Counter(
                {
                    time: count // 2
                    for time, count in counts.items()
                    if count > 1
                }
            )
        return (first - left) / MS_PER_SECOND


def _find_first_stated(counts: Counter[int], left: int, reach: int) -> int:
    """Return the time that the first attempt of a caller stated, in ms."""
    least = max(MIN_COUNT, MIN_SHARE * counts.total())
    frequent = sorted(
        stated
        for stated, count in counts.items()
        if stated >= left and count >= least
    )
    for time in frequent:
        most = max(
            counts[other] for other in frequent if time <= other <= time + reach
        )
        if counts[time] >= MIN_NEIGHBOUR_SHARE * most:
            return time
    return max(stated for stated in counts if left <= stated <= left + reach)

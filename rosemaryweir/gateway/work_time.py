"""Time that a target works on a sub-request, estimated from recent ones.

Load pattern: targets that turn slower or faster by a large factor, and single
outliers.  Old samples are dropped as a whole, so that an estimate that is too
long and has every request refused does not outlive its window.
"""

from rosemaryweir.query.quantile import DecayingHistogram

__all__ = ['WorkTime']

#: Length of a window, in seconds; the estimate covers one to two of them.
WINDOW_S = 4.0
#: Samples below which the time counts as unknown.
MIN_SAMPLES = 8
#: Time between two computations of the quantiles, in seconds.
REFRESH_S = 0.1
MEDIAN = 0.5
#: Share of the sub-requests that end within the long estimate.
LONG_QUANTILE = 0.95
NEVER = float('inf')


class WorkTime:
    """Recent times from the send of a sub-request to its reply.

    Examples
    --------
    >>> work_time = WorkTime()
    >>> work_time.typical(now=0.0)
    0.0
    >>> for _ in range(10):
    ...     work_time.record(0.2, now=1.0)
    >>> 0.18 < work_time.typical(now=2.0) < 0.23
    True
    >>> work_time.typical(now=20.0)
    0.0
    """

    def __init__(self) -> None:
        self._current = DecayingHistogram(NEVER)
        self._previous = DecayingHistogram(NEVER)
        self._began_at = 0.0
        self._typical = 0.0
        self._long = 0.0
        self._refresh_at = float('-inf')

    def record(self, duration: float, now: float) -> None:
        """Add the time of a sub-request that ended, in seconds."""
        self._rotate(now)
        self._current.add(duration, now)

    def record_unfinished(self, elapsed: float, now: float) -> None:
        """Add a sub-request that was cut after a time, in seconds.

        It would have taken longer, which tells something only if most others
        are shorter.
        """
        if elapsed > self.long(now):
            self.record(elapsed, now)

    def typical(self, now: float) -> float:
        """Return the median, in seconds; 0 if it is unknown."""
        self._refresh(now)
        return self._typical

    def long(self, now: float) -> float:
        """Return a time within which almost all end; 0 if it is unknown."""
        self._refresh(now)
        return self._long

    def _rotate(self, now: float) -> None:
        age = now - self._began_at
        if age < WINDOW_S:
            return
        self._previous = (
            self._current if age < 2 * WINDOW_S else DecayingHistogram(NEVER)
        )
        self._current = DecayingHistogram(NEVER)
        self._began_at = now

    def _refresh(self, now: float) -> None:
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S
        self._rotate(now)
        recent = self._current.combined(self._previous)
        known = recent.total >= MIN_SAMPLES
        self._typical = recent.quantile(MEDIAN) if known else float(0)
        self._long = recent.quantile(LONG_QUANTILE) if known else float(0)

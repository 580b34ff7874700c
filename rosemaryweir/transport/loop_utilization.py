"""Measures the share of time for which an event loop is busy.

The CPU time of the process says little about its spare capacity on a shared
or throttled CPU.  The time that the loop spends outside of ``select`` does.
"""

import selectors
import time

__all__ = ['LoopUtilization', 'WaitTimingSelector']

#: Weight of the latest interval in the moving average.
SMOOTHING_FACTOR = 0.5


class WaitTimingSelector(selectors.DefaultSelector):
    """A selector that accumulates the time spent waiting for events.

    Attributes
    ----------
    wait_seconds : float
        Total time spent in `select`, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.wait_seconds = 0.0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events and add the time to `wait_seconds`."""
        started_at = time.monotonic()
        ready = super().select(timeout)
        self.wait_seconds += time.monotonic() - started_at
        return ready


class LoopUtilization:
    """Busy share of an event loop, from 0 to 1, as a moving average.

    Parameters
    ----------
    now, wait_seconds : float
        Current time, and the time that the loop has spent waiting so far,
        both in seconds.

    Attributes
    ----------
    utilization : float
        The moving average.

    Examples
    --------
    >>> load = LoopUtilization(now=0.0, wait_seconds=0.0)
    >>> load.update(now=1.0, wait_seconds=0.2)
    0.4
    >>> load.update(now=2.0, wait_seconds=0.8)
    0.4
    """

    def __init__(self, now: float, wait_seconds: float) -> None:
        self.utilization = 0.0
        self._now = now
        self._wait_seconds = wait_seconds

    def update(self, now: float, wait_seconds: float) -> float:
        """Add the interval since the last update; return the average."""
        interval = now - self._now
        if interval > 0:
            idle_share = min(1, (wait_seconds - self._wait_seconds) / interval)
            self.utilization += (
                1 - idle_share - self.utilization
            ) * SMOOTHING_FACTOR
            self._now = now
            self._wait_seconds = wait_seconds
        return round(self.utilization, 3)

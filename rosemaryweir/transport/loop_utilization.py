"""How much of its time an event loop waits: what is left of its processor.

The processor time that the system counts for a process says nothing where a
processor is shared or throttled; the time between two waits of the loop does.
"""

import selectors
import time

__all__ = ['LoopUtilization', 'WaitTimingSelector']

#: Weight of the newest span in the running mean.
NEW_SHARE = 0.5


class WaitTimingSelector(selectors.DefaultSelector):
    """A selector that counts the time spent in it.

    Attributes
    ----------
    wait_seconds : float
        Seconds spent waiting for events.
    """

    def __init__(self) -> None:
        super().__init__()
        self.wait_seconds = 0.0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events."""
        began = time.monotonic()
        ready = super().select(timeout)
        self.wait_seconds += time.monotonic() - began
        return ready


class LoopUtilization:
    """Share of the time in which a loop was at work, as a running mean.

    Parameters
    ----------
    now, wait_seconds : float
        Present time, and total seconds the loop has spent waiting.

    Examples
    --------
    >>> busy = LoopUtilization(now=0.0, wait_seconds=0.0)
    >>> busy.update(now=1.0, wait_seconds=0.2)
    0.4
    >>> busy.update(now=2.0, wait_seconds=0.8)
    0.4
    """

    def __init__(self, now: float, wait_seconds: float) -> None:
        self.utilization = 0.0
        self._now = now
        self._wait_seconds = wait_seconds

    def update(self, now: float, wait_seconds: float) -> float:
        """Take the time and what the loop has waited; return the share."""
        span = now - self._now
        if span > 0:
            idle = min(1, (wait_seconds - self._wait_seconds) / span)
            self.utilization += (1 - idle - self.utilization) * NEW_SHARE
            self._now = now
            self._wait_seconds = wait_seconds
        return round(self.utilization, 3)

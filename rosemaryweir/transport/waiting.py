"""How much of its time an event loop waits: what is left of its processor.

The processor time that the system counts for a process says nothing where a
processor is shared or throttled; the time between two waits of the loop does.
"""

import selectors
import time

__all__ = ['BusyShare', 'WaitingSelector']

#: Weight of the newest span in the running mean.
NEW_SHARE = 0.5


class WaitingSelector(selectors.DefaultSelector):
    """A selector that counts the time spent in it.

    Attributes
    ----------
    waited : float
        Seconds spent waiting for events.
    """

    def __init__(self) -> None:
        super().__init__()
        self.waited = 0.0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events."""
        began = time.monotonic()
        ready = super().select(timeout)
        self.waited += time.monotonic() - began
        return ready


class BusyShare:
    """Share of the time in which a loop was at work, as a running mean.

    Parameters
    ----------
    now, waited : float
        Present time, and seconds that the loop has waited so far.

    Examples
    --------
    >>> busy = BusyShare(now=0.0, waited=0.0)
    >>> busy.update(now=1.0, waited=0.2), busy.update(now=2.0, waited=0.8)
    (0.4, 0.4)
    """

    def __init__(self, now: float, waited: float) -> None:
        self.share = 0.0
        self._now = now
        self._waited = waited

    def update(self, now: float, waited: float) -> float:
        """Take the time and what the loop has waited; return the share."""
        span = now - self._now
        if span > 0:
            idle = min(1, (waited - self._waited) / span)
            self.share += (1 - idle - self.share) * NEW_SHARE
            self._now = now
            self._waited = waited
        return round(self.share, 3)

"""Estimates the transit time of messages without synchronized clocks.

The smallest difference observed between the receiver's clock at arrival and
the sender's clock at sending is taken as the clock offset plus the shortest
transit time.  Any excess over it was spent in queues or in a paused process.
"""

__all__ = ['MessageAgeEstimator']

#: Length of the windows in which the smallest difference is tracked, in
#: seconds: older ones are dropped, so that clock drift doesn't accumulate.
WINDOW_S = 60.0


class MessageAgeEstimator:
    """Estimates the age of the messages from one sender.

    Parameters
    ----------
    now : float
        Current time on the receiver's clock.

    Examples
    --------
    >>> estimator = MessageAgeEstimator(now=100.0)
    >>> estimator.age(sent=7.0, now=100.0)
    0.0
    >>> estimator.age(sent=8.0, now=101.5)
    0.5
    """

    def __init__(self, now: float) -> None:
        self._window_end = now + WINDOW_S
        self._min_offset = float('inf')
        self._previous_min_offset = float('inf')

    def age(self, sent: float, now: float) -> float:
        """Return the transit time beyond the shortest observed, in seconds.

        Parameters
        ----------
        sent : float
            Time of sending on the sender's clock.
        now : float
            Time of arrival on the receiver's clock.
        """
        if now >= self._window_end:
            self._window_end = now + WINDOW_S
            self._previous_min_offset = self._min_offset
            self._min_offset = float('inf')
        offset = now - sent
        self._min_offset = min(self._min_offset, offset)
        return offset - min(self._min_offset, self._previous_min_offset)

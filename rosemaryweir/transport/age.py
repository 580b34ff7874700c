"""How long a message was under way, without synchronized clocks.

The least difference seen between the receiver's clock at arrival and the
sender's at sending stands for the fastest way; what a message took more than
that, it spent in queues or in a paused process.
"""

__all__ = ['AgeGauge']

#: Time after which the least difference is measured anew, in seconds, so
#: that drifting clocks don't add up.
WINDOW_SECONDS = 60.0


class AgeGauge:
    """The age of messages of one sender.

    Parameters
    ----------
    now : float
        Time on the receiver's clock.

    Examples
    --------
    >>> gauge = AgeGauge(now=100.0)
    >>> gauge.age(sent=7.0, now=100.0)
    0.0
    >>> gauge.age(sent=8.0, now=101.5)
    0.5
    """

    def __init__(self, now: float) -> None:
        self._window_end = now + WINDOW_SECONDS
        self._least = float('inf')
        self._least_before = float('inf')

    def age(self, sent: float, now: float) -> float:
        """Return the time a message was under way beyond the fastest.

        Parameters
        ----------
        sent : float
            Time of sending on the sender's clock.
        now : float
            Time of arrival on the receiver's clock.
        """
        if now >= self._window_end:
            self._window_end = now + WINDOW_SECONDS
            self._least_before = self._least
            self._least = float('inf')
        took = now - sent
        self._least = min(self._least, took)
        return took - min(self._least, self._least_before)

"""How long sub-requests of a class usually take."""

from rosemaryweir.query.quantile import DecayingHistogram

__all__ = ['Pace']

#: Old latencies count half after this time, in seconds.
HALF_LIFE_S = 4.0
#: Weight of a new latency in the running mean.
NEW_SHARE = 0.03
#: Time for which a computed quantile is kept, in seconds.
REFRESH_S = 0.1
#: Latencies before the quantile is trusted.
LEAST_SAMPLES = 40
#: Share of sub-requests that end before a hedge is sent: pauses of targets
#: take about 4% of the time, so that few hedges are wasted.
HEDGE_QUANTILE = 0.93
#: The same where a hedge sent so late would miss the aim.
EARLY_QUANTILE = 0.8
#: Time that a hedge needs to end, in hedge delays.
HEDGE_ROOM = 1.3
#: A hedge waits for at least this multiple of the median.
HEDGE_LEAST_FOLD = 1.5
MEDIAN = 0.5
#: Share of the aim that stands for a latency before any was seen.
FIRST_SHARE = 0.2
NEVER = float('inf')


class Pace:
    """Latencies of the sub-requests of one route.

    Parameters
    ----------
    aim : float
        Time within which an answer is worth most, in seconds: the measure
        for the first requests.

    Examples
    --------
    >>> pace = Pace(aim=0.1)
    >>> round(pace.usual(now=0.0), 3)
    0.02
    >>> for _ in range(50):
    ...     pace.took(0.010, now=1.0)
    >>> 0.009 < pace.usual(now=2.0) < 0.012
    True
    """

    def __init__(self, aim: float) -> None:
        self.mean = aim * FIRST_SHARE
        self._seen = DecayingHistogram(HALF_LIFE_S)
        self._usual = self.mean
        self._patience = 2 * self.mean
        self._early = self._patience
        self._fresh_until = 0.0

    def took(self, latency: float, now: float) -> None:
        """Count a latency, in seconds."""
        self._seen.add(latency, now)
        self.mean += (latency - self.mean) * NEW_SHARE

    def usual(self, now: float) -> float:
        """Return the median latency, in seconds."""
        self._refresh(now)
        return self._usual

    def patience(self, now: float, budget: float = NEVER) -> float:
        """Return how long after its start a sub-request is late, in seconds.

        Parameters
        ----------
        now : float
            Present time.
        budget : float
            Time within which a hedge has to end as well, in seconds.
        """
        self._refresh(now)
        latest = budget - HEDGE_ROOM * self._patience
        return max(self._early, min(self._patience, latest))

    def _refresh(self, now: float) -> None:
        if now < self._fresh_until or self._seen.total < LEAST_SAMPLES:
            return
        self._fresh_until = now + REFRESH_S
        self._usual = self._seen.quantile(MEDIAN)
        self._early = self._seen.quantile(EARLY_QUANTILE)
        self._patience = max(
            self._seen.quantile(HEDGE_QUANTILE),
            HEDGE_LEAST_FOLD * self._usual,
        )

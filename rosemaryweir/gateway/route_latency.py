"""Latency statistics of a route's sub-requests, and the hedge delay."""

from rosemaryweir.query.quantile import DecayingHistogram

__all__ = ['RouteLatency']

#: Half-life of the weight of a latency in the histogram, in seconds.
HALF_LIFE_S = 4.0
#: Weight of a new latency in the exponential moving average.
MEAN_SAMPLE_WEIGHT = 0.03
#: Time between two computations of the quantiles, in seconds.
QUANTILE_REFRESH_S = 0.1
#: Number of latencies below which the initial estimates are used.
MIN_SAMPLES = 40
#: Share of sub-requests that end before a hedge is sent. Targets pause for
#: about 4% of the time, so that few hedges are sent needlessly.
HEDGE_QUANTILE = 0.93
#: The same where a hedge at `HEDGE_QUANTILE` would miss the latency goal.
EARLY_HEDGE_QUANTILE = 0.8
#: Time that a hedge is expected to take, as a multiple of the hedge delay.
HEDGE_DURATION_FACTOR = 1.3
#: Lower bound of the hedge delay, as a multiple of the median latency.
MIN_HEDGE_MEDIAN_FACTOR = 1.5
MEDIAN = 0.5
#: Initial latency estimate, as a share of the latency goal.
INITIAL_GOAL_SHARE = 0.2
NO_LIMIT = float('inf')


class RouteLatency:
    """Latencies of the sub-requests of one route.

    Parameters
    ----------
    goal : float
        Latency goal of the route, in seconds; the initial estimates are
        derived from it.

    Examples
    --------
    >>> latency = RouteLatency(goal=0.1)
    >>> round(latency.median(now=0.0), 3)
    0.02
    >>> for _ in range(50):
    ...     latency.record(0.010, now=1.0)
    >>> 0.009 < latency.median(now=2.0) < 0.012
    True
    """

    def __init__(self, goal: float) -> None:
        self.mean = goal * INITIAL_GOAL_SHARE
        self._histogram = DecayingHistogram(HALF_LIFE_S)
        self._median = self.mean
        self._usual_limit = 2 * self.mean
        self._hedge_delay = 2 * self.mean
        self._early_hedge_delay = self._hedge_delay
        self._next_refresh = 0.0

    def record(self, latency: float, now: float) -> None:
        """Add a latency, in seconds."""
        self._histogram.add(latency, now)
        self.mean += (latency - self.mean) * MEAN_SAMPLE_WEIGHT

    def median(self, now: float) -> float:
        """Return the median latency, in seconds."""
        self._refresh(now)
        return self._median

    def usual_limit(self, now: float) -> float:
        """Return the time within which most sub-requests end, in seconds."""
        self._refresh(now)
        return self._usual_limit

    def hedge_delay(self, now: float, budget: float = NO_LIMIT) -> float:
        """Return the time from a send to its hedge, in seconds.

        Parameters
        ----------
        now : float
            Present time.
        budget : float
            Time from the send within which the hedge should end, in seconds.
        """
        self._refresh(now)
        latest = budget - HEDGE_DURATION_FACTOR * self._hedge_delay
        return max(self._early_hedge_delay, min(self._hedge_delay, latest))

    def _refresh(self, now: float) -> None:
        if now < self._next_refresh or self._histogram.total < MIN_SAMPLES:
            return
        self._next_refresh = now + QUANTILE_REFRESH_S
        self._median = self._histogram.quantile(MEDIAN)
        self._early_hedge_delay = self._histogram.quantile(EARLY_HEDGE_QUANTILE)
        self._usual_limit = self._histogram.quantile(HEDGE_QUANTILE)
        self._hedge_delay = max(
            self._usual_limit,
            MIN_HEDGE_MEDIAN_FACTOR * self._median,
        )

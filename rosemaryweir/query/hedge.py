"""Hedge delay and hedge budget of one class of a service."""

from rosemaryweir.query.budget import TokenBudget
from rosemaryweir.query.quantile import DecayingHistogram

__all__ = ['Hedging']

#: Hedges as a share of first attempts.
BUDGET_SHARE = 0.04
#: Number of hedges that may be sent at once.
BUDGET_BURST = 100
#: Quantile of the sub-query latency after which a sub-query is hedged.
DELAY_QUANTILE = 0.95
MIN_DELAY_S = 0.002
MAX_DELAY_S = 0.5
#: Delay until there are enough latencies, in seconds.
INITIAL_DELAY_S = 0.03
#: Number of latencies required to compute the delay.
MIN_SAMPLES = 100
#: Interval between computations of the delay, in seconds.
DELAY_REFRESH_S = 0.1
HALF_LIFE_S = 1


class Hedging:
    """Hedge delay and budget of one class of one service.

    The delay follows a quantile of the latency of sub-queries; the budget
    bounds hedges to a share of first attempts.
    """

    def __init__(self) -> None:
        self.latencies = DecayingHistogram(HALF_LIFE_S)
        self.budget = TokenBudget(BUDGET_SHARE, BUDGET_BURST)
        self._delay = INITIAL_DELAY_S
        self._fresh_until = 0.0

    def record_latency(self, latency: float, now: float) -> None:
        """Record the latency of a sub-query, in seconds."""
        self.latencies.add(latency, now)

    def delay(self, now: float) -> float:
        """Return the time after which a sub-query is hedged, in seconds."""
        if now >= self._fresh_until:
            self._fresh_until = now + DELAY_REFRESH_S
            if self.latencies.total >= MIN_SAMPLES:
                slow = self.latencies.quantile(DELAY_QUANTILE)
                self._delay = min(max(slow, MIN_DELAY_S), MAX_DELAY_S)
        return self._delay

    def high_latency(self) -> float:
        """Return the latency that 95% of sub-queries stay below, in seconds."""
        return self.latencies.quantile(DELAY_QUANTILE) or INITIAL_DELAY_S

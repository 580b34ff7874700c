"""When to send a second attempt at a piece, and how many of them."""

from rosemaryweir.query.budget import TokenBudget
from rosemaryweir.query.quantile import DecayingHistogram

__all__ = ['Hedging']

#: Hedges in relation to first attempts.
BUDGET_SHARE = 0.04
#: Hedges that may be sent at once.
BUDGET_BURST = 100
#: A piece is hedged when it takes longer than this share of pieces.
DELAY_QUANTILE = 0.95
#: Shortest and longest delay, in seconds.
SHORTEST_S = 0.002
LONGEST_S = 0.5
#: Delay before there are latencies to judge by, in seconds.
FIRST_DELAY_S = 0.03
LEAST_SAMPLES = 100
#: How long a delay is kept before it is computed anew, in seconds.
REFRESH_S = 0.1
HALF_LIFE_S = 1


class Hedging:
    """Hedge delay and budget of one class of one service.

    The delay follows a quantile of the latency of pieces, the budget bounds
    hedges to a share of first attempts.
    """

    def __init__(self) -> None:
        self.latencies = DecayingHistogram(HALF_LIFE_S)
        self.budget = TokenBudget(BUDGET_SHARE, BUDGET_BURST)
        self._delay = FIRST_DELAY_S
        self._fresh_until = 0.0

    def took(self, latency: float, now: float) -> None:
        """Count the latency of a piece."""
        self.latencies.add(latency, now)

    def delay(self, now: float) -> float:
        """Return how long after its start a piece is hedged, in seconds."""
        if now >= self._fresh_until:
            self._fresh_until = now + REFRESH_S
            if self.latencies.total >= LEAST_SAMPLES:
                slow = self.latencies.quantile(DELAY_QUANTILE)
                self._delay = min(max(slow, SHORTEST_S), LONGEST_S)
        return self._delay

    def usual(self) -> float:
        """Return the time that nearly all pieces end within, in seconds."""
        return self.latencies.quantile(DELAY_QUANTILE) or FIRST_DELAY_S

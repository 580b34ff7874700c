"""Quantiles of recent latencies, at a constant cost for each sample."""

from itertools import accumulate, repeat
from math import exp, log
from operator import add

__all__ = ['DecayingHistogram']

#: Upper bound of the lowest bucket, in seconds.
MIN_LATENCY_S = 0.0001
#: Buckets per factor e of latency: adjacent buckets differ by 10%.
BUCKETS_PER_E_FOLD = 10
#: Number of buckets; the last one starts at about 20 minutes.
BUCKET_COUNT = 160
#: Factor on all counts after each half-life.
DECAY_FACTOR = 0.5


class DecayingHistogram:
    """Histogram on a logarithmic scale in which old samples lose weight.

    Parameters
    ----------
    half_life : float
        Time after which a sample counts half, in seconds.

    Examples
    --------
    >>> histogram = DecayingHistogram(half_life=10)
    >>> for latency in (0.01, 0.01, 0.01, 0.2):
    ...     histogram.add(latency, now=1.0)
    >>> 0.009 < histogram.quantile(0.5) < 0.0115
    True
    >>> 0.18 < histogram.quantile(0.99) < 0.23
    True
    """

    def __init__(self, half_life: float) -> None:
        self.half_life = half_life
        self.total = 0.0
        self._counts = list(repeat(0.0, BUCKET_COUNT))
        self._decayed_at = 0.0

    def add(self, latency: float, now: float) -> None:
        """Add a latency, in seconds."""
        if now - self._decayed_at > self.half_life:
            self._decay(now)
        bucket = 0
        if latency > MIN_LATENCY_S:
            bucket = int(BUCKETS_PER_E_FOLD * log(latency / MIN_LATENCY_S)) + 1
        self._counts[min(bucket, BUCKET_COUNT - 1)] += 1
        self.total += 1

    def quantile(self, share: float) -> float:
        """Return the latency that a share of the samples stays below.

        Returns 0 without samples.
        """
        rank = share * self.total
        sums = accumulate(self._counts)
        bucket = next(
            (index for index, count in enumerate(sums) if count >= rank),
            0,
        )
        if not self.total:
            return float(0)
        return MIN_LATENCY_S * exp(bucket / BUCKETS_PER_E_FOLD)

    def combined(self, other: 'DecayingHistogram') -> 'DecayingHistogram':
        """Return a histogram with the samples of this one and another."""
        both = DecayingHistogram(self.half_life)
        both._counts = list(map(add, self._counts, other._counts))
        both.total = self.total + other.total
        return both

    def _decay(self, now: float) -> None:
        factor = DECAY_FACTOR if self._decayed_at else 1
        self._counts = [count * factor for count in self._counts]
        self.total = sum(self._counts)
        self._decayed_at = now

"""Quantiles of recent latencies, at a constant cost for each sample."""

from itertools import accumulate, repeat
from math import exp, log

__all__ = ['DecayingHistogram']

#: Shortest latency that is told apart, in seconds.
SMALLEST_S = 0.0001
#: Buckets for each e-fold of latency: neighbours are 10% apart.
BUCKETS_PER_FOLD = 10
#: Number of buckets: the last one starts at about 20 minutes.
BUCKETS = 160
#: What remains of a count after each half-life.
HALF = 0.5


class DecayingHistogram:
    """Histogram on a logarithmic scale whose old samples fade.

    Parameters
    ----------
    half_life : float
        Seconds after which a sample counts half.

    Examples
    --------
    >>> histogram = DecayingHistogram(half_life=10)
    >>> for took in (0.01, 0.01, 0.01, 0.2):
    ...     histogram.add(took, now=1.0)
    >>> 0.009 < histogram.quantile(0.5) < 0.0115
    True
    >>> 0.18 < histogram.quantile(0.99) < 0.23
    True
    """

    def __init__(self, half_life: float) -> None:
        self.half_life = half_life
        self.total = 0.0
        self._counts = list(repeat(0.0, BUCKETS))
        self._faded = 0.0

    def add(self, took: float, now: float) -> None:
        """Count one latency, in seconds."""
        if now - self._faded > self.half_life:
            self._fade(now)
        bucket = 0
        if took > SMALLEST_S:
            bucket = int(BUCKETS_PER_FOLD * log(took / SMALLEST_S)) + 1
        self._counts[min(bucket, BUCKETS - 1)] += 1
        self.total += 1

    def quantile(self, share: float) -> float:
        """Return the latency that a share of the samples stays under.

        Returns 0 without samples.
        """
        wanted = share * self.total
        sums = accumulate(self._counts)
        bucket = next(
            (place for place, count in enumerate(sums) if count >= wanted),
            0,
        )
        if not self.total:
            return float(0)
        return SMALLEST_S * exp(bucket / BUCKETS_PER_FOLD)

    def _fade(self, now: float) -> None:
        keep = HALF if self._faded else 1
        self._counts = [count * keep for count in self._counts]
        self.total = sum(self._counts)
        self._faded = now

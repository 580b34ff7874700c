"""Running estimate of a latency: mean and mean deviation."""

__all__ = ['LatencyEstimate']

#: Weights of a new latency in the estimates of mean and deviation.
MEAN_GAIN = 1 / 32
DEVIATION_GAIN = 1 / 16


class LatencyEstimate:
    """Mean and mean deviation of latencies, in seconds.

    References
    ----------
    V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988.

    Examples
    --------
    >>> latency = LatencyEstimate()
    >>> latency.add(0.01)
    >>> latency.mean
    0.01
    """

    __slots__ = ('count', 'deviation', 'mean')

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.deviation = 0.0

    def add(self, took: float) -> None:
        """Add one latency, in seconds."""
        self.count += 1
        gain = max(MEAN_GAIN, 1 / self.count)
        error = took - self.mean
        self.mean += gain * error
        if self.count > 1:
            gain = max(DEVIATION_GAIN, 1 / self.count)
            self.deviation += gain * (abs(error) - self.deviation)

    def upper_bound(self, deviations: float) -> float:
        """Return the mean plus a number of mean deviations."""
        return self.mean + deviations * self.deviation

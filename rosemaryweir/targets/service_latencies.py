"""Latencies of the warm targets of a service, as known to a leaf."""

from rosemaryweir.targets.latency_history import LatencyHistory

__all__ = ['ServiceLatencies']

#: Targets with enough replies whose median is trusted although their histories
#: are not established: few targets turn cold at once without warning.
MIN_UNPROVEN_TARGETS = 4
#: New latencies after which the median is computed again.
REFRESH_SAMPLES = 16


class ServiceLatencies:
    """Latency histories of the targets of one service.

    Examples
    --------
    >>> service_latencies, history = ServiceLatencies(), LatencyHistory()
    >>> service_latencies.add(history)
    >>> service_latencies.mean
    0.0
    >>> for _ in range(10):
    ...     history.add_warm(0.5)
    >>> history.establish()
    >>> service_latencies.mean
    0.5
    """

    __slots__ = ('_histories', '_mean', '_new_samples')

    def __init__(self) -> None:
        self._histories: list[LatencyHistory] = []
        self._new_samples = 0
        self._mean = 0.0

    @property
    def mean(self) -> float:
        """Lower median of the warm means in s; 0 if there is none to trust."""
        if not self._mean or self._new_samples >= REFRESH_SAMPLES:
            self._mean = self._median()
            self._new_samples = 0
        return self._mean

    def add(self, history: LatencyHistory) -> None:
        """Add the history of a target."""
        self._histories.append(history)

    def discard(self, history: LatencyHistory) -> None:
        """Remove the history of a target."""
        self._histories = [
            each for each in self._histories if each is not history
        ]
        self._mean = 0.0

    def record_sample(self) -> None:
        """Count a latency that was added to a history."""
        self._new_samples += 1

    def _median(self) -> float:
        trusted = [each for each in self._histories if each.established]
        sufficient = [
            each for each in self._histories if each.has_enough_samples
        ]
        sample = (
            sufficient if len(sufficient) >= MIN_UNPROVEN_TARGETS else trusted
        )
        means = sorted(each.mean for each in sample)
        return means[(len(means) - 1) // 2] if means else 0.0

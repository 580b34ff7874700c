"""Warm latencies of the targets of a service, as a leaf knows them."""

from rosemaryweir.targets.latency_history import LatencyHistory

__all__ = ['ServiceLatencies']

#: So many targets that agree need no proof: each has served enough, and few
#: turn cold at once without warning.
MIN_UNPROVEN_TARGETS = 4
#: So many latencies are learnt between two looks at all histories.
REFRESH_SAMPLES = 16


class ServiceLatencies:
    """Histories of the targets of one service.

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
        """The lower median of the warm means; 0 if none can be relied on."""
        if not self._mean or self._new_samples >= REFRESH_SAMPLES:
            self._mean = self._median()
            self._new_samples = 0
        return self._mean

    def add(self, history: LatencyHistory) -> None:
        """Count a target among the peers."""
        self._histories.append(history)

    def discard(self, history: LatencyHistory) -> None:
        """Count a target no longer."""
        self._histories = [
            each for each in self._histories if each is not history
        ]
        self._mean = 0.0

    def record_sample(self) -> None:
        """Note that a history has learnt a latency."""
        self._new_samples += 1

    def _median(self) -> float:
        known = [each for each in self._histories if each.established]
        record_sample = [
            each for each in self._histories if each.has_enough_samples
        ]
        sample = (
            record_sample
            if len(record_sample) >= MIN_UNPROVEN_TARGETS
            else known
        )
        means = sorted(each.mean for each in sample)
        return means[(len(means) - 1) // 2] if means else 0.0

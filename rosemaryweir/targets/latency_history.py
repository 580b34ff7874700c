"""What a target's latencies were while it was warm."""

from rosemaryweir.targets.latency import LatencyEstimate

__all__ = ['LatencyHistory', 'MIN_SAMPLES']

#: Replies before a history can be compared with.
MIN_SAMPLES = 8
#: A history is one of the warm target if so many replies in a row were faster
#: than the mean of the replies before, on average by this factor.
MIN_FASTER_REPLIES = 12
MAX_WARM_RATIO = 0.55


class LatencyHistory:
    """Latencies of one target, cold and then warm.

    To have served enough proves nothing if the target turned cold meanwhile:
    the latencies have to have fallen, or to be vouched for.

    Attributes
    ----------
    established : bool
        Whether the mean is sure to be that of the warm target.

    Examples
    --------
    >>> history = LatencyHistory()
    >>> history.add_cold(0.03)
    >>> for _ in range(MIN_FASTER_REPLIES):
    ...     history.add_warm(0.01)
    >>> history.established
    True
    """

    __slots__ = ('_cold', '_faster', '_warm', 'established')

    def __init__(self) -> None:
        self.restart()

    @property
    def mean(self) -> float:
        """Mean of what was learnt, in s."""
        return self._warm.mean

    @property
    def has_enough_samples(self) -> bool:
        """Whether enough was learnt to compare with."""
        return self._warm.count >= MIN_SAMPLES

    def restart(self) -> None:
        """Forget everything."""
        self._cold = LatencyEstimate()
        self._warm = LatencyEstimate()
        self._faster = LatencyEstimate()
        self.established = False

    def add_cold(self, took: float) -> None:
        """Take an answer, in s, of the target while it is cold."""
        self._cold.add(took)

    def add_cold_minimum(self, took: float) -> None:
        """Take work, dropped while the target is cold, that lasted longer."""
        if took > self._cold.mean:
            self._cold.add(took)

    def add_warm(self, took: float) -> None:
        """Learn an answer, in s, of the warm target."""
        self._warm.add(took)
        if not self.established:
            self._detect_speedup(took)

    def establish(self) -> None:
        """Take what is learnt, now or later, for that of the warm target."""
        self.established = self.established or self.has_enough_samples

    def _detect_speedup(self, took: float) -> None:
        cold_mean = self._cold.mean
        if took >= cold_mean:
            self._faster = LatencyEstimate()
            return
        self._faster.add(took)
        is_faster = self._faster.mean <= MAX_WARM_RATIO * cold_mean
        if is_faster and self._faster.count >= MIN_FASTER_REPLIES:
            # What was learnt earlier may be of the cold target.
            self._warm = self._faster
            self.established = True

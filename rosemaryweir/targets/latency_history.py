"""History of a target's latencies while it is warm."""

from rosemaryweir.targets.latency import LatencyEstimate

__all__ = ['LatencyHistory', 'MIN_SAMPLES']

#: Replies that a history needs before latencies are compared with it.
MIN_SAMPLES = 8
#: A history is established if at least so many replies in a row were faster
#: than the mean of the cold target, and their own mean is at most this ratio
#: of it.
MIN_FASTER_REPLIES = 12
MAX_WARM_RATIO = 0.55


class LatencyHistory:
    """Latencies of one target, first cold and then warm.

    The number of replies alone does not prove that a target is warm, as it may
    have turned cold meanwhile: its latencies must have fallen, or its history
    must be established by comparison with other targets.

    Attributes
    ----------
    established : bool
        Whether the mean is known to be that of the warm target.

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
        """Mean of the latencies added as warm, in s."""
        return self._warm.mean

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough warm latencies to compare with."""
        return self._warm.count >= MIN_SAMPLES

    def restart(self) -> None:
        """Discard all latencies."""
        self._cold = LatencyEstimate()
        self._warm = LatencyEstimate()
        self._faster = LatencyEstimate()
        self.established = False

    def add_cold(self, took: float) -> None:
        """Add the latency, in s, of a reply of the cold target."""
        self._cold.add(took)

    def add_cold_minimum(self, took: float) -> None:
        """Add a lower bound of a latency of the cold target, in s.

        It comes from a cancelled attempt, and says nothing below the mean.
        """
        if took > self._cold.mean:
            self._cold.add(took)

    def add_warm(self, took: float) -> None:
        """Add the latency, in s, of a reply of the target taken for warm."""
        self._warm.add(took)
        if not self.established:
            self._detect_speedup(took)

    def establish(self) -> None:
        """Accept the mean as that of the warm target, given enough replies."""
        self.established = self.established or self.has_enough_samples

    def _detect_speedup(self, took: float) -> None:
        cold_mean = self._cold.mean
        if took >= cold_mean:
            self._faster = LatencyEstimate()
            return
        self._faster.add(took)
        is_faster = self._faster.mean <= MAX_WARM_RATIO * cold_mean
        if is_faster and self._faster.count >= MIN_FASTER_REPLIES:
            # Latencies added earlier may be those of the cold target.
            self._warm = self._faster
            self.established = True

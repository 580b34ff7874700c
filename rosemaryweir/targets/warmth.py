"""Whether a target is warm, judged by what it answers.

A target whose history is unknown is cold.  It becomes warm by replies alone:
what it says of its own health is not believed.  Two things tell that a warm
target has turned cold: a break (a reset, a newer incarnation), or latencies
that no longer fit its warm history.

The latencies go through a cumulative sum test, which sees a lasting change
within a few replies and lets single slow replies pass.
"""

from rosemaryweir.targets.latency import Latency
from rosemaryweir.targets.limits import Limits

__all__ = ['Warmth']

#: A latency above so many means speaks for cold, below it for warm.
RATIO_NEUTRAL = 1.8
#: Sums of excess ratios from which a target is suspected, and judged, cold.
SUSPECTED = 2.0
CONFIRMED = 5.0
SUM_CAP = 8.0
#: Replies before a history can be compared with.
HISTORY_MIN = 8
#: A target as slow as ever after so many times ``warm_after`` replies is
#: slow, not cold.
RELEARN_AFTER = 3
#: Part of the limit left after a refusal.
REFUSED_SHARE = 0.7


class Warmth:
    """Warmth of one target, and the limit that follows from it.

    Parameters
    ----------
    limits : Limits
        What the target bears.

    Examples
    --------
    >>> warmth = Warmth(Limits(3, 1, 30, 0.006, 2))
    >>> warmth.allowed
    1
    >>> for _ in range(9):
    ...     warmth.served(0.01)
    >>> warmth.allowed
    3
    """

    __slots__ = ('_excess', '_limit', '_replies', 'cold', 'history', 'limits')

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.history = Latency()
        self.cold = True
        self._replies = 0
        self._excess = 0.0
        self._limit = float(limits.cold_slots)

    @property
    def suspected(self) -> bool:
        """Whether a target that counts as warm shows signs of being cold."""
        return self._excess >= SUSPECTED

    @property
    def allowed(self) -> int:
        """Requests that the target may run at once now."""
        if self.cold or self._excess >= SUSPECTED:
            return min(self.limits.cold_slots, int(self._limit))
        return int(self._limit)

    def chilled(self) -> None:
        """Take the target for cold: its history says nothing any more."""
        self.cold = True
        self._replies = 0
        self._excess = 0.0
        self._limit = float(self.limits.cold_slots)

    def refused(self) -> None:
        """Lower the limit: the target had no room, whatever we counted."""
        self._limit = max(1.0, self._limit * REFUSED_SHARE)

    def served(self, took: float) -> None:
        """Learn from an answer that took so many seconds."""
        self._replies += 1
        self._compare(took)
        if self.cold:
            self._warm_up()
            return
        if self._excess < SUSPECTED:
            self.history.add(took)
            self._grow()

    def resize(self, limits: Limits) -> None:
        """Follow a change of the configured limits."""
        self.limits = limits
        self._limit = min(self._limit, float(limits.slots))

    def _compare(self, took: float) -> None:
        if self.history.count < HISTORY_MIN:
            return
        excess = took / self.history.mean - RATIO_NEUTRAL
        self._excess = min(SUM_CAP, max(0.0, self._excess + excess))
        if self._excess >= CONFIRMED and not self.cold:
            excess = self._excess
            self.chilled()
            self._excess = excess

    def _warm_up(self) -> None:
        if self._replies >= RELEARN_AFTER * self.limits.warm_after:
            self.history = Latency()
            self._excess = 0.0
        self._limit = max(self._limit, float(self.limits.cold_slots))
        if self._replies >= self.limits.warm_after and not self._excess:
            self.cold = False

    def _grow(self) -> None:
        slots = self.limits.slots
        if self._limit < slots:
            self._limit = min(float(slots), self._limit + 1 / self._limit)

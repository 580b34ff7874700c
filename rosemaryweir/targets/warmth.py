"""Whether a target is warm, judged by what it answers.

A target whose history is unknown is cold.  It becomes warm by replies alone:
what it says of its own health is not believed.  Two things tell that a warm
target has turned cold: a break (a reset, a newer incarnation), or latencies
that no longer fit its warm history.

One slow reply, or a few slower than usual, make a target suspect: it gets no
more than a cold one.  Fast replies, such as a cold target does not give, clear
it; more slow ones confirm it.
"""

from rosemaryweir.targets.latency import Latency
from rosemaryweir.targets.limits import Limits

__all__ = ['Warmth']

#: A latency above so many means speaks for cold, below it for warm.
RATIO_NEUTRAL = 1.8
#: No single latency counts as more means.
RATIO_CAP = 4.0
#: Sums of excess ratios from which a target is suspected, and judged, cold:
#: one reply of three means is enough for the former.
SUSPECTED = 1.2
CONFIRMED = 5.0
#: So many replies that take less than this share of the mean clear a target.
FAST_RATIO = 0.85
FAST_MIN = 1
#: Replies before a history can be compared with; until then a target gets no
#: more than a cold one.
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
    >>> for _ in range(10):
    ...     warmth.served(0.01)
    >>> warmth.allowed
    3
    """

    __slots__ = (
        '_excess',
        '_fast',
        '_limit',
        '_replies',
        'cold',
        'history',
        'limits',
        'suspected',
    )

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.history = Latency()
        self.cold = True
        self.suspected = False
        self._replies = 0
        self._fast = 0
        self._excess = 0.0
        self._limit = float(limits.cold_slots)

    @property
    def allowed(self) -> int:
        """Requests that the target may run at once now."""
        known = self.history.count >= HISTORY_MIN
        if self.cold or self.suspected or not known:
            return min(self.limits.cold_slots, int(self._limit))
        return int(self._limit)

    def chilled(self) -> None:
        """Take the target for cold: its history says nothing any more."""
        self.cold = True
        self._replies = 0
        self._clear()
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
        if not self.suspected:
            self.history.add(took)
            self._grow()

    def dropped(self, took: float) -> None:
        """Learn from work that was dropped after so many seconds.

        It is a sign, but no work served.
        """
        self._compare(took)

    def resize(self, limits: Limits) -> None:
        """Follow a change of the configured limits."""
        self.limits = limits
        self._limit = min(self._limit, float(limits.slots))

    def _compare(self, took: float) -> None:
        if self.history.count < HISTORY_MIN:
            return
        ratio = min(RATIO_CAP, took / self.history.mean)
        self._excess = max(0.0, self._excess + ratio - RATIO_NEUTRAL)
        if ratio < FAST_RATIO:
            self._fast += 1
        elif ratio > RATIO_NEUTRAL:
            self._fast = 0
        if self._excess >= CONFIRMED and not self.cold:
            self.chilled()
            self.suspected = True
        elif self._excess >= SUSPECTED and not self.suspected:
            self.suspected = True
            self._fast = 0
        elif self._fast >= FAST_MIN:
            self._clear()

    def _clear(self) -> None:
        self.suspected = False
        self._fast = 0
        self._excess = 0.0

    def _warm_up(self) -> None:
        if self._replies >= RELEARN_AFTER * self.limits.warm_after:
            self.history = Latency()
            self._clear()
        if self._replies >= self.limits.warm_after and not self.suspected:
            self.cold = False

    def _grow(self) -> None:
        slots = self.limits.slots
        if self._limit < slots:
            self._limit = min(float(slots), self._limit + 1 / self._limit)

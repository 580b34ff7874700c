"""Whether a target is warm, judged by what it answers.

A target whose history is unknown is cold.  It becomes warm by replies alone:
what it says of its own health is not believed.  Two things tell that a warm
target has turned cold: a break (a reset, a newer incarnation), or latencies
that no longer fit those of its warm time or of its service's other targets.

One slow reply, or a few slower than usual, make a target suspect: it gets no
more than a cold one.  One fast reply, such as a cold target does not give,
or some usual ones clear it; more slow ones confirm it.
"""

from rosemaryweir.targets.history import History
from rosemaryweir.targets.limits import Limits
from rosemaryweir.targets.peers import Peers

__all__ = ['Warmth']

#: A latency above so many means speaks for cold, below it for warm.
RATIO_NEUTRAL = 1.4
#: No single latency counts as more means.
RATIO_CAP = 4.0
#: Sums of excess ratios from which a target is suspected, and judged, cold:
#: one reply of three means is enough for the former.
SUSPECTED = 1.6
CONFIRMED = 5.0
#: One reply that takes less than this share of the mean clears a target.
FAST_RATIO = 0.9
#: A latency is learnt as no more than so many means: a target that turned
#: cold must not teach what is warm.
LEARNT_CAP = 2.0
#: A target's own mean counts for no more than so many means of its peers.
PEERS_SLACK = 1.5
#: A history of no more than so many means of its peers is a warm one.
PEERS_ALIKE = 1.25
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
    peers : Peers, optional
        Warm latencies of the targets of its service.

    Examples
    --------
    >>> warmth = Warmth(Limits(3, 1, 30, 0.006, 2))
    >>> for _ in range(2):
    ...     warmth.served(0.03)
    >>> warmth.allowed
    1
    >>> for _ in range(16):
    ...     warmth.served(0.01)
    >>> warmth.allowed
    3
    """

    __slots__ = (
        '_excess',
        '_limit',
        '_peers',
        '_replies',
        '_slow',
        'cold',
        'history',
        'limits',
        'suspected',
    )

    def __init__(self, limits: Limits, peers: Peers | None = None) -> None:
        self.limits = limits
        self.history = History()
        self._peers = Peers() if peers is None else peers
        self._peers.add(self.history)
        self._slow = False
        self.cold = True
        self.suspected = False
        self._replies = 0
        self._excess = 0.0
        self._limit = float(limits.cold_slots)

    @property
    def allowed(self) -> int:
        """Requests that the target may run at once now."""
        if self.cold or self.suspected or not self.history.known:
            return min(self.limits.cold_slots, int(self._limit))
        return int(self._limit)

    @property
    def reference(self) -> float:
        """Mean latency that the warm target should show, in s.

        It is 0 while nothing can be said.
        """
        own = self.history.mean if self.history.known else 0.0
        if self._slow:
            return own
        peers = self._peers.mean
        if own and peers:
            return min(own, PEERS_SLACK * peers)
        return own or peers

    def chilled(self) -> None:
        """Take the target for cold: its history says nothing any more."""
        self.cold = True
        self._replies = 0
        self._clear()
        if not self.history.known:
            self.history.restart()
        self._limit = float(self.limits.cold_slots)

    def refused(self) -> None:
        """Lower the limit: the target had no room, whatever we counted."""
        self._limit = max(1.0, self._limit * REFUSED_SHARE)

    def served(self, took: float) -> None:
        """Learn from an answer that took so many seconds."""
        self._replies += 1
        self._compare(took)
        if self.cold:
            self.history.warming(took)
            self._warm_up()
        elif not self.suspected:
            self._learn(took)
            self._grow()
        if self._replies >= RELEARN_AFTER * self.limits.warm_after:
            self._accept()

    def dropped(self, took: float) -> None:
        """Learn from work that was dropped after so many seconds.

        It would have taken longer: a sign if that is long, but no work served
        and no proof of warmth.
        """
        reference = self.reference
        if reference and took > RATIO_NEUTRAL * reference:
            self._compare(took)
        if self.cold:
            self.history.outlasted(took)

    def leave(self) -> None:
        """Leave the peers: the target is known no more."""
        self._peers.discard(self.history)

    def resize(self, limits: Limits) -> None:
        """Follow a change of the configured limits."""
        self.limits = limits
        self._limit = min(self._limit, float(limits.slots))

    def _compare(self, took: float) -> None:
        reference = self.reference
        if not reference:
            return
        ratio = min(RATIO_CAP, took / reference)
        if ratio < FAST_RATIO:
            self._clear()
            return
        excess = max(0.0, self._excess + ratio - RATIO_NEUTRAL)
        self._excess = min(CONFIRMED, excess)
        if not self._excess:
            self.suspected = False
        if self._excess >= SUSPECTED:
            self.suspected = True
        if self._excess >= CONFIRMED and not self.cold:
            self.chilled()
            self.suspected = True
            self._excess = CONFIRMED

    def _clear(self) -> None:
        self.suspected = False
        self._excess = 0.0

    def _learn(self, took: float) -> None:
        reference = self.reference
        if reference:
            took = min(took, LEARNT_CAP * reference)
        self.history.learn(took)
        self._peers.learnt()
        if self._slow or self.history.mean <= PEERS_ALIKE * self._peers.mean:
            self.history.vouch()

    def _warm_up(self) -> None:
        if self._replies >= self.limits.warm_after and not self.suspected:
            self.cold = False

    def _accept(self) -> None:
        """Take a target that got no faster for a slow one."""
        if self.cold:
            self._peers.discard(self.history)
            self.history = History()
            self._slow = True
            self._clear()
            self._warm_up()
        elif not self.history.known:
            self.history.vouch()

    def _grow(self) -> None:
        slots = self.limits.slots
        if self.history.known and self._limit < slots:
            self._limit = min(float(slots), self._limit + 1 / self._limit)

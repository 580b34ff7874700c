"""What a target's latencies were while it was warm."""

from rosemaryweir.targets.latency import Latency

__all__ = ['HISTORY_MIN', 'History']

#: Replies before a history can be compared with.
HISTORY_MIN = 8
#: A history is one of the warm target if so many replies in a row were faster
#: than the mean of the replies before, on average by this factor.
FASTER_MIN = 12
SPED_UP = 0.55


class History:
    """Latencies of one target, cold and then warm.

    To have served enough proves nothing if the target turned cold meanwhile:
    the latencies have to have fallen, or to be vouched for.

    Attributes
    ----------
    known : bool
        Whether the mean is sure to be that of the warm target.

    Examples
    --------
    >>> history = History()
    >>> history.warming(0.03)
    >>> for _ in range(FASTER_MIN):
    ...     history.learn(0.01)
    >>> history.known
    True
    """

    __slots__ = ('_before', '_faster', '_warm', 'known')

    def __init__(self) -> None:
        self.restart()

    @property
    def mean(self) -> float:
        """Mean of what was learnt, in s."""
        return self._warm.mean

    @property
    def enough(self) -> bool:
        """Whether enough was learnt to compare with."""
        return self._warm.count >= HISTORY_MIN

    def restart(self) -> None:
        """Forget everything."""
        self._before = Latency()
        self._warm = Latency()
        self._faster = Latency()
        self.known = False

    def warming(self, took: float) -> None:
        """Take an answer, in s, of the target while it is cold."""
        self._before.add(took)

    def outlasted(self, took: float) -> None:
        """Take work, dropped while the target is cold, that lasted longer."""
        if took > self._before.mean:
            self._before.add(took)

    def learn(self, took: float) -> None:
        """Learn an answer, in s, of the warm target."""
        self._warm.add(took)
        if not self.known:
            self._watch(took)

    def vouch(self) -> None:
        """Take what is learnt, now or later, for that of the warm target."""
        self.known = self.known or self.enough

    def _watch(self, took: float) -> None:
        before = self._before.mean
        if took >= before:
            self._faster = Latency()
            return
        self._faster.add(took)
        sped_up = self._faster.mean <= SPED_UP * before
        if sped_up and self._faster.count >= FASTER_MIN:
            # What was learnt earlier may be of the cold target.
            self._warm = self._faster
            self.known = True

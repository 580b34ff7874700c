"""Warm latencies of the targets of a service, as a leaf knows them."""

from rosemaryweir.targets.history import History

__all__ = ['Peers']

#: So many targets that agree need no proof: each has served enough, and few
#: turn cold at once without warning.
QUORUM = 4
#: So many latencies are learnt between two looks at all histories.
REFRESH_EVERY = 16


class Peers:
    """Histories of the targets of one service.

    Examples
    --------
    >>> peers, history = Peers(), History()
    >>> peers.add(history)
    >>> peers.mean
    0.0
    >>> for _ in range(10):
    ...     history.learn(0.5)
    >>> history.vouch()
    >>> peers.mean
    0.5
    """

    __slots__ = ('_histories', '_learnt', '_mean')

    def __init__(self) -> None:
        self._histories: list[History] = []
        self._learnt = 0
        self._mean = 0.0

    @property
    def mean(self) -> float:
        """The lower median of the warm means; 0 if none can be relied on."""
        if not self._mean or self._learnt >= REFRESH_EVERY:
            self._mean = self._median()
            self._learnt = 0
        return self._mean

    def add(self, history: History) -> None:
        """Count a target among the peers."""
        self._histories.append(history)

    def discard(self, history: History) -> None:
        """Count a target no longer."""
        self._histories = [
            each for each in self._histories if each is not history
        ]
        self._mean = 0.0

    def learnt(self) -> None:
        """Note that a history has learnt a latency."""
        self._learnt += 1

    def _median(self) -> float:
        known = [each for each in self._histories if each.known]
        learnt = [each for each in self._histories if each.enough]
        sample = learnt if len(learnt) >= QUORUM else known
        means = sorted(each.mean for each in sample)
        return means[(len(means) - 1) // 2] if means else 0.0

"""Sends beyond the first of each request, bounded over the whole fleet.

Answers the load where many targets are slow or fail at once: without a bound
every VM would repeat what it sent, and the repeats would keep the targets
from recovering.
"""

from collections import deque

__all__ = ['RetryBudget', 'RetryBudgetPolicy']

#: Slots that the window is divided into.
SLOTS = 20
#: Part of the allowance that is spent; the rest covers requests that this VM
#: counts and the service never saw, and VMs that have just restarted.
SHARE_USED = 0.8


class RetryBudgetPolicy:
    """The allowance of one VM.

    Parameters
    ----------
    ratio : float
        Extra sends in relation to requests, over a window.
    slack : float
        Extra sends of the whole fleet beside those.
    window : float
        Length of the window in seconds.

    Attributes
    ----------
    vm_share : float
        Part of this VM in the extra sends beside requests.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.vm_share = 1.0

    def allowance(self, requests: int) -> float:
        """Return the extra sends that go with requests of this VM."""
        return SHARE_USED * (self.ratio * requests + self.slack * self.vm_share)


class RetryBudget:
    """Requests and extra sends of one service in a sliding window.

    Parameters
    ----------
    rule : SpendingRule
        The allowance; shared by all services.

    Examples
    --------
    >>> sends = RetryBudget(RetryBudgetPolicy(ratio=0.25, slack=0, window=10))
    >>> for _ in range(10):
    ...     sends.request(now=1.0)
    >>> [sends.spend(now=1.0) for _ in range(3)]
    [True, True, False]
    >>> sends.spend(now=30.0)
    False
    """

    def __init__(self, rule: RetryBudgetPolicy) -> None:
        self._rule = rule
        self._slots: deque[list[float]] = deque()
        self._requests = 0
        self._extras = 0

    def request(self, now: float) -> None:
        """Count a request to the service."""
        self._slot(now)[1] += 1
        self._requests += 1

    def left(self, now: float) -> float:
        """Return the extra sends that are left."""
        self._slot(now)
        return self._rule.allowance(self._requests) - self._extras

    def spend(self, now: float) -> bool:
        """Count an extra send; return False where none is left."""
        slot = self._slot(now)
        if self._extras + 1 > self._rule.allowance(self._requests):
            return False
        slot[2] += 1
        self._extras += 1
        return True

    def _slot(self, now: float) -> list[float]:
        while self._slots and self._slots[0][0] <= now - self._rule.window:
            _, requests, extras = self._slots.popleft()
            self._requests -= int(requests)
            self._extras -= int(extras)
        width = self._rule.window / SLOTS
        if not self._slots or now - self._slots[-1][0] >= width:
            self._slots.append([now, 0, 0])
        return self._slots[-1]

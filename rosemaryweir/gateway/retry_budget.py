"""Budget of retries and hedges, bounded over all VMs.

When many targets are slow or fail at once, every VM would repeat its sends,
and the repeats would keep the targets from recovering.
"""

from collections import deque

__all__ = ['RetryBudget', 'RetryBudgetPolicy']

#: Number of slots that the sliding window is divided into.
WINDOW_SLOTS = 20
#: Share of the budget that is spent. The rest covers requests that this VM
#: counts although the service never received them, and VMs that have just
#: restarted.
USED_SHARE = 0.8


class RetryBudgetPolicy:
    """Parameters of the retry budgets of one VM.

    Parameters
    ----------
    ratio : float
        Extra sends (retries and hedges) per request within the window.
    slack : float
        Extra sends of all VMs together beyond the ratio.
    window : float
        Length of the window in seconds.

    Attributes
    ----------
    vm_share : float
        Share of the slack that this VM may use.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.vm_share = 1.0

    def allowance(self, requests: int) -> float:
        """Return the extra sends allowed for a number of requests."""
        return USED_SHARE * (self.ratio * requests + self.slack * self.vm_share)


class RetryBudget:
    """Requests and extra sends of one service in a sliding window.

    Parameters
    ----------
    policy : RetryBudgetPolicy
        The parameters, shared by the budgets of all services.

    Examples
    --------
    >>> policy = RetryBudgetPolicy(ratio=0.25, slack=0, window=10)
    >>> budget = RetryBudget(policy)
    >>> for _ in range(10):
    ...     budget.record_request(now=1.0)
    >>> [budget.try_spend(now=1.0) for _ in range(3)]
    [True, True, False]
    >>> budget.try_spend(now=30.0)
    False
    """

    def __init__(self, policy: RetryBudgetPolicy) -> None:
        self._policy = policy
        #: Start time, requests and extra sends of each slot.
        self._slots: deque[list[float]] = deque()
        self._requests = 0
        self._extras = 0

    def record_request(self, now: float) -> None:
        """Count a request to the service."""
        self._current_slot(now)[1] += 1
        self._requests += 1

    def remaining(self, now: float) -> float:
        """Return the number of extra sends that remain."""
        self._current_slot(now)
        return self._policy.allowance(self._requests) - self._extras

    def try_spend(self, now: float) -> bool:
        """Count an extra send; return False if the budget is exhausted."""
        slot = self._current_slot(now)
        if self._extras + 1 > self._policy.allowance(self._requests):
            return False
        slot[2] += 1
        self._extras += 1
        return True

    def _current_slot(self, now: float) -> list[float]:
        while self._slots and self._slots[0][0] <= now - self._policy.window:
            _, requests, extras = self._slots.popleft()
            self._requests -= int(requests)
            self._extras -= int(extras)
        width = self._policy.window / WINDOW_SLOTS
        if not self._slots or now - self._slots[-1][0] >= width:
            self._slots.append([now, 0, 0])
        return self._slots[-1]

"""Token budget for extra attempts, earned by the attempts that are needed."""

__all__ = ['TokenBudget']


class TokenBudget:
    """Bounds extra attempts to a share of the attempts that earn them.

    Parameters
    ----------
    share : float
        Tokens earned by each needed attempt or success.
    burst : float
        Most tokens that are kept; also the number at the start.

    Examples
    --------
    >>> budget = TokenBudget(share=0.5, burst=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(2)
    >>> budget.spend()
    True
    """

    def __init__(self, share: float, burst: float) -> None:
        self.share = share
        self.burst = burst
        self.tokens = burst
        self._trickled = 0.0

    def trickle(self, rate: float, now: float) -> None:
        """Let tokens come with time, so many a second, up to one.

        Where nothing succeeds no tokens are earned, and nothing would ever
        be tried again.
        """
        passed = now - self._trickled
        self._trickled = now
        if self.tokens < 1:
            self.tokens = min(1.0, self.tokens + rate * passed)

    def earn(self, count: int = 1) -> None:
        """Count attempts that earn tokens."""
        self.tokens = min(self.burst, self.tokens + self.share * count)

    def refund(self, amount: float) -> None:
        """Give back part of a token whose attempt did not run."""
        self.tokens = min(self.burst, self.tokens + amount)

    def spend(self) -> bool:
        """Take one token; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

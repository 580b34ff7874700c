"""Token budget that bounds extra attempts to a share of the regular ones."""

__all__ = ['TokenBudget']


class TokenBudget:
    """Tokens for extra attempts, earned by first attempts or successes.

    Parameters
    ----------
    share : float
        Tokens earned by each first attempt or success.
    burst : float
        Maximum number of tokens, and the number at the start.

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
        self._refilled_at = 0.0

    def refill(self, rate: float, now: float) -> None:
        """Add `rate` tokens a second, up to one token.

        Without successes no tokens are earned; retries would stop for good.
        """
        elapsed = now - self._refilled_at
        self._refilled_at = now
        if self.tokens < 1:
            self.tokens = min(1.0, self.tokens + rate * elapsed)

    def earn(self, count: int = 1) -> None:
        """Add the tokens that `count` attempts earn."""
        self.tokens = min(self.burst, self.tokens + self.share * count)

    def refund(self, amount: float) -> None:
        """Return part of a token for an attempt that did not run."""
        self.tokens = min(self.burst, self.tokens + amount)

    def spend(self) -> bool:
        """Take one token; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

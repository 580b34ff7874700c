"""Delay of store calls after failures and write conflicts."""

from random import Random

__all__ = ['CALL_TIMEOUT_S', 'MAX_FAILURES', 'Backoff']

#: A call without a reply for this long counts as failed.
CALL_TIMEOUT_S = 2.0
#: Consecutive failures after which pending claims are refused.
MAX_FAILURES = 3
#: The delay is MIN_DELAY_S plus a random part of at most MAX_JITTER_S.
MIN_DELAY_S = 0.02
MAX_JITTER_S = 1.0
MAX_DOUBLINGS = 8


class Backoff:
    """Exponential backoff with full jitter over consecutive failures.

    Parameters
    ----------
    rng : random.Random
        Random number generator for the jitter.
    """

    def __init__(self, rng: Random) -> None:
        self.failures = 0
        self._rng = rng

    @property
    def exhausted(self) -> bool:
        """Whether pending claims should be refused."""
        return self.failures >= MAX_FAILURES

    def reset(self) -> None:
        """Reset the number of failures after a success."""
        self.failures = 0

    def record_failure(self, now: float) -> float:
        """Count a failure and return the time of the next call."""
        self.failures += 1
        return self.retry_time(now, self.failures)

    def retry_time(self, now: float, count: int) -> float:
        """Return the time of the call after `count` failures or conflicts."""
        doublings = min(count, MAX_DOUBLINGS)
        max_jitter = min(MAX_JITTER_S, MIN_DELAY_S * (1 << doublings))
        return now + MIN_DELAY_S + self._rng.random() * max_jitter

"""When to call the store again after a failure or a conflict."""

from random import Random

__all__ = ['CALL_TIMEOUT_S', 'MAX_FAILURES', 'Backoff']

#: Time after which a call counts as without an answer, in seconds.
CALL_TIMEOUT_S = 2.0
#: Failures in a row after which waiting claims are refused.
MAX_FAILURES = 3
#: Shortest and longest wait before the next call, in seconds.
MIN_DELAY_S = 0.02
MAX_JITTER_S = 1.0
MAX_DOUBLINGS = 8


class Backoff:
    """Exponential backoff with full jitter, over failures in a row.

    Parameters
    ----------
    rng : random.Random
        The source of chance.
    """

    def __init__(self, rng: Random) -> None:
        self.failures = 0
        self._rng = rng

    @property
    def exhausted(self) -> bool:
        """Whether waiting claims should be refused."""
        return self.failures >= MAX_FAILURES

    def reset(self) -> None:
        """Forget the failures."""
        self.failures = 0

    def record_failure(self, now: float) -> float:
        """Count a failure; return the time of the next call."""
        self.failures += 1
        return self.retry_time(now, self.failures)

    def retry_time(self, now: float, count: int) -> float:
        """Return the time to go on after so many failures or conflicts."""
        doublings = min(count, MAX_DOUBLINGS)
        max_jitter = min(MAX_JITTER_S, MIN_DELAY_S * (1 << doublings))
        return now + MIN_DELAY_S + self._rng.random() * max_jitter

"""When to call the store again after a failure or a conflict."""

from random import Random

__all__ = ['CALL_TIMEOUT_S', 'GIVE_UP_AFTER', 'Backoff']

#: Time after which a call counts as without an answer, in seconds.
CALL_TIMEOUT_S = 2.0
#: Failures in a row after which waiting claims are refused.
GIVE_UP_AFTER = 3
#: Shortest and longest wait before the next call, in seconds.
SHORTEST_S = 0.02
LONGEST_S = 1.0
MOST_DOUBLINGS = 8


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
        return self.failures >= GIVE_UP_AFTER

    def succeed(self) -> None:
        """Forget the failures."""
        self.failures = 0

    def fail(self, now: float) -> float:
        """Count a failure; return the time of the next call."""
        self.failures += 1
        return self.pause(now, self.failures)

    def pause(self, now: float, times: int) -> float:
        """Return the time to go on after so many failures or conflicts."""
        doublings = min(times, MOST_DOUBLINGS)
        longest = min(LONGEST_S, SHORTEST_S * (1 << doublings))
        return now + SHORTEST_S + self._rng.random() * longest

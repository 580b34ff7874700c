"""Queue of the attempts that wait for a slot of a target."""

from collections import deque

from rosemaryweir.targets.target_attempt import TargetAttempt

__all__ = ['AttemptQueue', 'expected_completion_time']

#: Attempts that may wait for each that may run at once.
QUEUE_PER_SLOT = 4


def expected_completion_time(ahead: int, allowed: int, latency: float) -> float:
    """Return the time until an attempt is expected to be answered, in s.

    Parameters
    ----------
    ahead : int
        Attempts ahead of it that run or wait.
    allowed : int
        Attempts that may run at once.
    latency : float
        Mean time that one attempt takes, in s.

    Examples
    --------
    >>> expected_completion_time(0, 2, 0.01)
    0.01
    >>> expected_completion_time(4, 2, 0.01)
    0.03
    """
    rounds = ahead // max(1, allowed) + 1
    return rounds * latency


class AttemptQueue:
    """First-in first-out queue of attempts."""

    __slots__ = ('_waiting',)

    def __init__(self) -> None:
        self._waiting: deque[TargetAttempt] = deque()

    def __len__(self) -> int:
        """Return the number of waiting attempts."""
        return len(self._waiting)

    def has_room(self, allowed: int) -> bool:
        """Return whether one more attempt may wait.

        Parameters
        ----------
        allowed : int
            Attempts that may run at once.
        """
        return len(self._waiting) < QUEUE_PER_SLOT * allowed

    def push(self, attempt: TargetAttempt) -> None:
        """Append an attempt."""
        self._waiting.append(attempt)

    def peek(self) -> TargetAttempt | None:
        """Return the oldest attempt without removing it, or None."""
        return self._waiting[0] if self._waiting else None

    def pop(self) -> TargetAttempt:
        """Remove and return the oldest attempt."""
        return self._waiting.popleft()

    def remove(self, attempt: TargetAttempt) -> None:
        """Remove an attempt if it is waiting."""
        if attempt in self._waiting:
            self._waiting.remove(attempt)

    def drain(self) -> list[TargetAttempt]:
        """Remove and return all attempts."""
        waiting = list(self._waiting)
        self._waiting.clear()
        return waiting

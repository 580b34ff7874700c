"""The short queue in front of a target."""

from collections import deque

from rosemaryweir.targets.target_attempt import TargetAttempt

__all__ = ['AttemptQueue', 'expected_completion_time']

#: Requests that may wait, for each that may run at once.
QUEUE_PER_SLOT = 4


def expected_completion_time(ahead: int, allowed: int, latency: float) -> float:
    """Return how long a request with so many ahead of it needs, in s.

    Parameters
    ----------
    ahead : int
        Requests that run or wait.
    allowed : int
        Requests that run at once.
    latency : float
        Time that one takes, in s.

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
    """Requests that wait for a slot, first come first served."""

    __slots__ = ('_waiting',)

    def __init__(self) -> None:
        self._waiting: deque[TargetAttempt] = deque()

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    def has_room(self, allowed: int) -> bool:
        """Return whether one more may wait, if so many may run at once."""
        return len(self._waiting) < QUEUE_PER_SLOT * allowed

    def push(self, attempt: TargetAttempt) -> None:
        """Let a request wait."""
        self._waiting.append(attempt)

    def peek(self) -> TargetAttempt | None:
        """Return the request whose turn it is."""
        return self._waiting[0] if self._waiting else None

    def pop(self) -> TargetAttempt:
        """Take the request whose turn it is."""
        return self._waiting.popleft()

    def remove(self, attempt: TargetAttempt) -> None:
        """Take out one request, if it waits."""
        if attempt in self._waiting:
            self._waiting.remove(attempt)

    def drain(self) -> list[TargetAttempt]:
        """Take out all."""
        waiting = list(self._waiting)
        self._waiting.clear()
        return waiting

"""The pace of writes: the store takes several hundred a second in all."""

__all__ = ['FLEET_WRITES_PER_S', 'Pace']

#: Writes for orders that all entries together make, per second.
FLEET_WRITES_PER_S = 200.0
#: Writes that one entry may make at once after a quiet time.
BURST = 8.0


class Pace:
    """A token bucket over the writes of one entry.

    While writes are slower than the pace each order is written at once; at
    higher load orders wait for the next write and share it.

    Examples
    --------
    >>> pace = Pace()
    >>> for _ in range(8):
    ...     pace.spend(0.0, entries=10)
    >>> pace.ready_at
    0.05
    """

    def __init__(self) -> None:
        self._tokens = BURST
        self._at = 0.0
        self._rate = FLEET_WRITES_PER_S

    @property
    def ready_at(self) -> float:
        """The time from which the next write may go."""
        missing = max(0.0, 1 - self._tokens)
        return self._at + missing / self._rate

    def spend(self, now: float, entries: int) -> None:
        """Account for one write, at the share of one of so many entries."""
        grown = self._tokens + (now - self._at) * self._rate
        self._tokens = min(BURST, grown) - 1
        self._at = now
        self._rate = FLEET_WRITES_PER_S / max(1, entries)

"""The pace of writes: the store takes several hundred a second in all."""

__all__ = ['TOTAL_WRITES_PER_S', 'WriteRateLimiter']

#: Writes for orders that all entries together make, per second.
TOTAL_WRITES_PER_S = 200.0
#: Writes that one entry may make at once after a quiet time.
BURST_WRITES = 8.0


class WriteRateLimiter:
    """A token bucket over the writes of one entry.

    While writes are slower than the pace each order is written at once; at
    higher load orders wait for the next write and share it.

    Examples
    --------
    >>> limiter = WriteRateLimiter()
    >>> for _ in range(8):
    ...     limiter.spend(0.0, entries=10)
    >>> limiter.next_write_at
    0.05
    """

    def __init__(self) -> None:
        self._tokens = BURST_WRITES
        self._updated_at = 0.0
        self._rate = TOTAL_WRITES_PER_S

    @property
    def next_write_at(self) -> float:
        """The time from which the next write may go."""
        missing = max(0.0, 1 - self._tokens)
        return self._updated_at + missing / self._rate

    def spend(self, now: float, entries: int) -> None:
        """Account for one write, at the share of one of so many entries."""
        grown = self._tokens + (now - self._updated_at) * self._rate
        self._tokens = min(BURST_WRITES, grown) - 1
        self._updated_at = now
        self._rate = TOTAL_WRITES_PER_S / max(1, entries)

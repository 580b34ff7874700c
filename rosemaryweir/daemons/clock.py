"""The time: the one place that reads a clock."""

import time

__all__ = ['MS_PER_SECOND', 'SystemClock']

MS_PER_SECOND = 1000


class SystemClock:
    """The Clock port over the clocks of the system."""

    def monotonic(self) -> float:
        """Return monotonic seconds, as the asyncio loop counts them."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def incarnation(self) -> int:
        """Return the wall-clock time in ms."""
        return int(time.time() * MS_PER_SECOND)

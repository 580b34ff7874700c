"""System clocks; other modules get the time as an argument."""

import time

__all__ = ['MS_PER_SECOND', 'SystemClock']

MS_PER_SECOND = 1000


class SystemClock:
    """The Clock port on the clocks of the system."""

    def monotonic(self) -> float:
        """Return monotonic seconds on the time base of the asyncio loop."""
        return time.monotonic()

    def wall(self) -> float:
        """Return wall-clock seconds since the epoch."""
        return time.time()

    def incarnation(self) -> int:
        """Return the wall-clock time in ms, to identify a new process."""
        return int(time.time() * MS_PER_SECOND)

"""Connections to one target: budget, pacing, age.

The budget counts every connection that the target may still hold: opening,
open, and those closed here whose closing it may never have seen.
"""

from rosemaryweir.targets.limits import Limits
from rosemaryweir.targets.target_attempt import TargetAttempt

__all__ = ['Conn', 'ConnectionPool']

#: Part of a target's connections that one leaf uses; the rest is left to a
#: previous owner whose connections may still stand.
CONNECTION_SHARE = 0.5
#: Time between two openings, in multiples of what an opening costs.
OPEN_INTERVAL_FACTOR = 2.0
#: How long a target may hold a closed connection, and a silent one, in s.
CLOSED_HOLD_S = 0.5
SILENT_HOLD_S = 30.0
#: Wait after a failed opening, in s, and its cap; it doubles each time.
BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
#: A connection is believed, and an order sent on it, if it proved alive so
#: lately, in s.
ALIVE_WITHIN_S = 1.0


class Conn:
    """One connection; ``last_alive`` is when it last proved alive."""

    __slots__ = ('current_attempt', 'last_alive', 'number', 'opened', 'target')

    def __init__(self, number: int, target: str) -> None:
        self.number = number
        self.target = target
        self.opened = False
        self.last_alive = 0.0
        self.current_attempt: TargetAttempt | None = None


class ConnectionPool:
    """The connections to one target.

    Parameters
    ----------
    limits : Limits
        What the target bears.
    """

    __slots__ = ('_closing', '_failures', '_next_open_at', 'conns', 'limits')

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.conns: dict[int, Conn] = {}
        self._closing: list[float] = []
        self._failures = 0
        self._next_open_at = 0.0

    @property
    def budget(self) -> int:
        """Connections that this leaf lets the target hold."""
        return max(1, int(self.limits.connections * CONNECTION_SHARE))

    @property
    def opening(self) -> int:
        """Connections that are being opened."""
        return sum(not conn.opened for conn in self.conns.values())

    def held(self, now: float) -> int:
        """Return how many connections the target may hold."""
        if self._closing:
            self._closing = [until for until in self._closing if until > now]
        return len(self.conns) + len(self._closing)

    def can_open(self, now: float) -> bool:
        """Return whether a connection may be opened now."""
        if now < self._next_open_at or self.opening:
            return False
        return self.held(now) < self.budget

    def next_open_at(self) -> float:
        """Return the time before which no connection is opened."""
        return self._next_open_at

    def open(self, number: int, target: str, now: float) -> Conn:
        """Begin to open a connection."""
        conn = Conn(number, target)
        self.conns[number] = conn
        self._next_open_at = (
            now + OPEN_INTERVAL_FACTOR * self.limits.connect_time
        )
        return conn

    def mark_opened(self, number: int, now: float) -> None:
        """Note that a connection stands."""
        conn = self.conns[number]
        conn.opened = True
        conn.last_alive = now
        self._failures = 0

    def mark_failed(self, number: int, now: float) -> None:
        """Drop a connection that could not be opened; wait before more."""
        self.conns.pop(number, None)
        wait = min(MAX_BACKOFF_S, BACKOFF_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._next_open_at = max(self._next_open_at, now + wait)

    def close(self, number: int, now: float, silent: bool) -> Conn | None:
        """Drop a connection closed here; the target may hold it longer."""
        conn = self.conns.pop(number, None)
        if conn is not None:
            hold = SILENT_HOLD_S if silent else CLOSED_HOLD_S
            self._closing.append(now + hold)
        return conn

    def remove(self, number: int) -> Conn | None:
        """Drop a connection that the target closed."""
        return self.conns.pop(number, None)

    def forget_closing(self) -> None:
        """Forget what an earlier incarnation of the target held."""
        self._closing.clear()

    def idle(self) -> Conn | None:
        """Return the idle connection that last proved alive, if any."""
        best: Conn | None = None
        for conn in self.conns.values():
            if conn.opened and conn.current_attempt is None:
                if best is None or conn.last_alive > best.last_alive:
                    best = conn
        return best

    def any_alive_since(self, since: float) -> bool:
        """Return whether any connection has proved alive since a time."""
        return any(
            conn.opened and conn.last_alive >= since
            for conn in self.conns.values()
        )

    def idle_since_before(self, before: float) -> list[Conn]:
        """Return idle connections that last proved alive before a time."""
        return [
            conn
            for conn in self.conns.values()
            if conn.opened
            and conn.current_attempt is None
            and conn.last_alive < before
        ]

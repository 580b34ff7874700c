"""Pool of the connections to one target: budget, pacing and back-off.

The budget counts every connection that the target may still hold: those being
opened, those open, and those closed by the leaf whose closing the target may
not have seen.
"""

from rosemaryweir.targets.limits import Limits
from rosemaryweir.targets.target_attempt import TargetAttempt

__all__ = ['Conn', 'ConnectionPool']

#: Share of a target's connections that one leaf uses.  The rest is left for a
#: previous owner, whose connections may still be open.
CONNECTION_SHARE = 0.5
#: Least interval between two openings, in multiples of the target's
#: ``connect_time``.
OPEN_INTERVAL_FACTOR = 2.0
#: Time for which a target may still hold a connection that the leaf closed,
#: in s: one in working order, and one on which nothing arrives.
CLOSED_HOLD_S = 0.5
SILENT_HOLD_S = 30.0
#: Wait after a failed opening, in s, and its maximum; it doubles each time.
BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
#: A connection counts as alive, and an order may be sent on it, if it last
#: proved alive no longer ago than this, in s.
ALIVE_WITHIN_S = 1.0


class Conn:
    """One connection to a target.

    Attributes
    ----------
    number : int
        Identifier of the connection within the leaf.
    opened : bool
        Whether the opening has succeeded.
    last_alive : float
        When the connection was opened or last carried a reply.
    current_attempt : TargetAttempt or None
        Attempt whose reply is expected on it.
    """

    __slots__ = ('current_attempt', 'last_alive', 'number', 'opened', 'target')

    def __init__(self, number: int, target: str) -> None:
        self.number = number
        self.target = target
        self.opened = False
        self.last_alive = 0.0
        self.current_attempt: TargetAttempt | None = None


class ConnectionPool:
    """Connections to one target.

    Parameters
    ----------
    limits : Limits
        Limits of the target.
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
        """Most connections that this leaf has to the target."""
        return max(1, int(self.limits.connections * CONNECTION_SHARE))

    @property
    def opening(self) -> int:
        """Number of connections that are being opened."""
        return sum(not conn.opened for conn in self.conns.values())

    def held(self, now: float) -> int:
        """Return how many connections the target may still hold."""
        if self._closing:
            self._closing = [until for until in self._closing if until > now]
        return len(self.conns) + len(self._closing)

    def can_open(self, now: float) -> bool:
        """Return whether one more connection may be opened now."""
        if now < self._next_open_at or self.opening:
            return False
        return self.held(now) < self.budget

    def next_open_at(self) -> float:
        """Return the time before which no connection may be opened."""
        return self._next_open_at

    def open(self, number: int, target: str, now: float) -> Conn:
        """Add a connection that is being opened."""
        conn = Conn(number, target)
        self.conns[number] = conn
        self._next_open_at = (
            now + OPEN_INTERVAL_FACTOR * self.limits.connect_time
        )
        return conn

    def mark_opened(self, number: int, now: float) -> None:
        """Record that a connection has been opened."""
        conn = self.conns[number]
        conn.opened = True
        conn.last_alive = now
        self._failures = 0

    def mark_failed(self, number: int, now: float) -> None:
        """Remove a connection that could not be opened and back off."""
        self.conns.pop(number, None)
        wait = min(MAX_BACKOFF_S, BACKOFF_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._next_open_at = max(self._next_open_at, now + wait)

    def close(self, number: int, now: float, silent: bool) -> Conn | None:
        """Remove a connection closed here; the target may hold it longer."""
        conn = self.conns.pop(number, None)
        if conn is not None:
            hold = SILENT_HOLD_S if silent else CLOSED_HOLD_S
            self._closing.append(now + hold)
        return conn

    def remove(self, number: int) -> Conn | None:
        """Remove a connection that the target closed."""
        return self.conns.pop(number, None)

    def forget_closing(self) -> None:
        """Stop counting closed connections: the target has restarted."""
        self._closing.clear()

    def idle(self) -> Conn | None:
        """Return the idle connection that proved alive most recently."""
        best: Conn | None = None
        for conn in self.conns.values():
            if conn.opened and conn.current_attempt is None:
                if best is None or conn.last_alive > best.last_alive:
                    best = conn
        return best

    def any_alive_since(self, since: float) -> bool:
        """Return whether any open connection has proved alive since a time."""
        return any(
            conn.opened and conn.last_alive >= since
            for conn in self.conns.values()
        )

    def idle_since_before(self, before: float) -> list[Conn]:
        """Return the idle connections that last proved alive before a time."""
        return [
            conn
            for conn in self.conns.values()
            if conn.opened
            and conn.current_attempt is None
            and conn.last_alive < before
        ]

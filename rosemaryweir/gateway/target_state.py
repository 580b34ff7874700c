"""What a VM has seen of one target, and its connections to it."""

from math import exp

from rosemaryweir.gateway.cold_start import ColdGate
from rosemaryweir.gateway.model import TargetEntry
from rosemaryweir.gateway.pending_request import Attempt

__all__ = ['Connection', 'Target']

#: Least weight of a new sample in what is known of speed and failures.
SPEED_SHARE = 0.2
FAILURE_SHARE = 0.25
#: After a slow answer a sample weighs more the longer ago the one before it
#: was, in seconds: a VM of a large fleet sees few.
SAMPLE_S = 1.0
#: What was seen of a target fades within this time without news, in seconds:
#: a target that was passed over is tried again.  One slow answer may be a
#: pause; each further one makes it last longer.
FIRST_MEMORY_S = 0.8
MORE_MEMORY_S = 1.2
MOST_SLOW = 4
#: Failures fade within this time, in seconds.
FAILURE_MEMORY_S = 3.0
#: An answer this much slower than usual is a slow one.
SLOW_FOLD = 2.5
#: What another VM saw of a target fades within this time, in seconds.
ADVICE_S = 1.5
#: Slow answers in a row after which other VMs are told.
TOLD_AFTER = 2
#: Bounds of one sample of the speed, as a multiple of the usual latency.
SPEED_BOUNDS = (0.25, 12.0)
#: A connection that is still opening after this time tells that the target
#: pauses or is unreachable, in seconds.
OPENING_PATIENCE_S = 0.05
#: First and longest time without sends after lost connections, in seconds.
FIRST_REST_S = 0.2
LONGEST_REST_S = 3.0
#: A target that said it is full is passed over for this long where another
#: one has room, in seconds.
FULL_S = 0.03
#: Time that an idle connection is used when the target states no limit, s.
IDLE_S = 4.0
#: Connections are given up this long before the target would close them, s.
IDLE_MARGIN_S = 0.5
NEVER = float('inf')


class Connection:
    """A connection to a target.

    Attributes
    ----------
    attempt : Attempt or None
        What is in flight on it.
    idle_since : float
        When it became free, or was opened.
    usable_until : float
        When the target may close it for being idle.
    carried : bool
        Whether it ever carried a request.
    """

    __slots__ = (
        'attempt',
        'carried',
        'idle_since',
        'number',
        'opened',
        'target',
        'usable_until',
    )

    def __init__(self, number: int, target: 'Target', now: float) -> None:
        self.number = number
        self.target = target
        self.attempt: Attempt | None = None
        self.idle_since = now
        self.usable_until = NEVER
        self.opened = False
        self.carried = False

    @property
    def idle(self) -> bool:
        """Whether it stands and carries nothing."""
        return self.opened and self.attempt is None

    def rest(self, now: float, keep_for: float | None) -> None:
        """Note that it is free; the target keeps it for so many seconds."""
        self.attempt = None
        self.idle_since = now
        kept = IDLE_S if keep_for is None else keep_for
        self.usable_until = now + max(kept - IDLE_MARGIN_S, kept / 2)


class Target:
    """One target: its entry, connections and what its answers tell.

    Parameters
    ----------
    entry : TargetEntry
        As it registered itself.
    now : float
        Present time.

    Attributes
    ----------
    connections : dict of int to Connection
        All that are open or opening.
    idle : list of Connection
        Those that are free, the last used one last.
    gone : bool
        Whether another incarnation was found at its address.
    rests_until : float
        Until when nothing is sent.
    full_until : float
        Until when it is taken to have no room.
    cold_until : float
        Until when it is cold.
    cold_gate : ColdGate or None
        What it gets while it is cold, where this VM keeps it.
    """

    def __init__(self, entry: TargetEntry, now: float) -> None:
        self.entry = entry
        self.connections: dict[int, Connection] = {}
        self.idle: list[Connection] = []
        self.gone = False
        self.rests_until = 0.0
        self.full_until = 0.0
        self.cold_until = now + entry.cold_seconds
        self.cold_gate: ColdGate | None = None
        self._in_flight: dict[int, float] = {}
        self._opening: dict[int, float] = {}
        self._speed = 1.0
        self._slow = 0
        self._advised = 1.0
        self._advised_at = now
        self._failing = 0.0
        self._seen = now
        self._losses = 0

    @property
    def in_flight(self) -> int:
        """Attempts without an outcome."""
        return len(self._in_flight)

    @property
    def opening(self) -> int:
        """Connections that are being opened."""
        return len(self._opening)

    def stalled(self, now: float) -> bool:
        """Return whether it owes an answer that is overdue."""
        late = min(self._in_flight.values(), default=NEVER)
        begun = min(self._opening.values(), default=NEVER)
        return late < now or begun + OPENING_PATIENCE_S < now

    def slowness(self, now: float) -> float:
        """Return its latency as a multiple of the usual one.

        The greater of what this VM saw and what others told of it.
        """
        advised = exp((self._advised_at - now) / ADVICE_S)
        told = 1 + (self._advised - 1) * advised
        return max(self._seen_slowness(now), told)

    def told_slowness(self, now: float) -> float:
        """Return the slowness to tell other VMs of; 1 for none."""
        if self._slow < TOLD_AFTER:
            return 1.0
        return self._seen_slowness(now)

    def advise(self, slowness: float, now: float) -> None:
        """Take the slowness that another VM saw."""
        self._advised = min(max(slowness, 1.0), SPEED_BOUNDS[1])
        self._advised_at = now

    def failing(self, now: float) -> float:
        """Return the share of its answers that are failures."""
        return self._failing * exp((self._seen - now) / FAILURE_MEMORY_S)

    def opens(self, conn: Connection, now: float) -> None:
        """Note a connection that is being opened."""
        self.connections[conn.number] = conn
        self._opening[conn.number] = now

    def opened(self, conn: Connection) -> None:
        """Note that a connection stands."""
        self._opening.pop(conn.number, None)
        conn.opened = True

    def closed(self, conn: Connection) -> None:
        """Forget a connection."""
        self.connections.pop(conn.number, None)
        self._opening.pop(conn.number, None)
        if conn in self.idle:
            self.idle.remove(conn)

    def sends(self, attempt: Attempt, late_at: float) -> None:
        """Note an attempt, and when its answer is overdue."""
        self._in_flight[attempt.number] = late_at

    def ends(self, attempt: Attempt) -> None:
        """Note that an attempt has an outcome, or that it was cut."""
        self._in_flight.pop(attempt.number, None)

    def answered(self, latency: float, usual: float, now: float) -> None:
        """Take a good answer: its latency and the usual one, in seconds."""
        least, most = SPEED_BOUNDS
        sample = min(max(latency / max(usual, least / 1000), least), most)
        speed = self._seen_slowness(now)
        weight = SPEED_SHARE
        if self._slow:
            # No pause: what it is like now counts for more than before.
            weight = max(weight, 1 - exp((self._seen - now) / SAMPLE_S))
        self._failing = self.failing(now) * (1 - FAILURE_SHARE)
        self._speed = speed + (sample - speed) * weight
        self._slow = min(self._slow + 1, MOST_SLOW) if sample > SLOW_FOLD else 0
        self._seen = now
        self._losses = 0

    def failed(self, now: float) -> None:
        """Take an answer that is a failure, or none."""
        speed = self._seen_slowness(now)
        failing = self.failing(now)
        self._failing = failing + (1 - failing) * FAILURE_SHARE
        self._speed = speed
        self._seen = now

    def full(self, now: float) -> None:
        """Take that it has no room at the moment.

        It counts as a failure as well: one that turns away many requests
        though it has little to do is no better than one that fails them.
        """
        self.failed(now)
        self.full_until = now + FULL_S

    def lost(self, now: float) -> None:
        """Take that it can't be reached: rest, longer each time."""
        self.failed(now)
        if now < self.rests_until:
            return
        rest = min(FIRST_REST_S * 2**self._losses, LONGEST_REST_S)
        self._losses += 1
        self.rests_until = now + rest

    def _seen_slowness(self, now: float) -> float:
        return 1 + (self._speed - 1) * self._memory(now)

    def _memory(self, now: float) -> float:
        lasting = FIRST_MEMORY_S + MORE_MEMORY_S * self._slow
        return exp((self._seen - now) / lasting)

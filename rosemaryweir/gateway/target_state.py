"""State of one target as this VM observed it, and its connections."""

from math import exp

from rosemaryweir.gateway.cold_start import ColdStartLimiter
from rosemaryweir.gateway.model import TargetEntry
from rosemaryweir.gateway.pending_request import SubRequestAttempt
from rosemaryweir.gateway.target_notices import TargetNotices

__all__ = ['Connection', 'TargetState']

#: Minimum weight of a new sample in the moving average of the slowness.
MIN_SLOWNESS_WEIGHT = 0.2
#: Weight of a new sample in the moving average of the failure rate.
FAILURE_WEIGHT = 0.25
#: After a slow reply the weight of a sample grows with the time since the
#: sample before it, with this time constant in seconds: a VM of a large fleet
#: gets few samples.
SLOW_SAMPLE_TIME_CONSTANT_S = 1.0
#: Without new samples the observed slowness decays with this time constant,
#: in seconds, so that a target that was avoided is tried again.
BASE_DECAY_S = 0.8
#: Increase of that time constant per slow reply in a row, in seconds: a single
#: one may be a pause of the target.
DECAY_PER_SLOW_REPLY_S = 1.2
#: Number of slow replies in a row that count at most.
MAX_SLOW_STREAK = 4
#: Time constant of the decay of the failure rate, in seconds.
FAILURE_DECAY_S = 3.0
#: A reply that takes this multiple of the usual latency counts as slow.
SLOW_FACTOR = 2.5
#: Time constant of the decay of a slowness that another VM reported, in
#: seconds.
PEER_SLOWNESS_DECAY_S = 1.5
#: Slow replies in a row from which on the slowness is reported to other VMs.
REPORT_SLOW_STREAK = 2
#: Bounds of one sample of the slowness, as a multiple of the usual latency.
SLOWNESS_BOUNDS = (0.25, 12.0)
#: A connection that is still opening after this time shows that the target
#: pauses or is unreachable, in seconds.
SLOW_CONNECT_S = 0.05
#: First and longest time without sends after lost connections, in seconds.
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.0
#: Time for which a target that reported to be full is avoided if another one
#: has room, in seconds.
FULL_PENALTY_S = 0.03
#: Time for which an idle connection is used if the target states no limit, in
#: seconds.
DEFAULT_KEEP_ALIVE_S = 4.0
#: A connection is given up this long before the target would close it, in
#: seconds.
KEEP_ALIVE_MARGIN_S = 0.5
NEVER = float('inf')


class Connection:
    """A connection to a target.

    Attributes
    ----------
    attempt : SubRequestAttempt or None
        The attempt in flight on it.
    idle_since : float
        Time when it was opened or became idle.
    usable_until : float
        Time when the target may close it for being idle.
    established : bool
        Whether it is open, not just opening.
    used : bool
        Whether it ever carried a request.
    """

    __slots__ = (
        'attempt',
        'established',
        'idle_since',
        'number',
        'target',
        'usable_until',
        'used',
    )

    def __init__(self, number: int, target: 'TargetState', now: float) -> None:
        self.number = number
        self.target = target
        self.attempt: SubRequestAttempt | None = None
        self.idle_since = now
        self.usable_until = NEVER
        self.established = False
        self.used = False

    @property
    def idle(self) -> bool:
        """Whether it is open without an attempt in flight."""
        return self.established and self.attempt is None

    def mark_idle(self, now: float, keep_alive: float | None) -> None:
        """Mark the connection as idle.

        Parameters
        ----------
        now : float
            Present time.
        keep_alive : float or None
            Seconds for which the target keeps an idle connection; None if not
            stated.
        """
        self.attempt = None
        self.idle_since = now
        kept = DEFAULT_KEEP_ALIVE_S if keep_alive is None else keep_alive
        self.usable_until = now + max(kept - KEEP_ALIVE_MARGIN_S, kept / 2)


class TargetState:
    """One target: registration, connections and observed behaviour.

    Parameters
    ----------
    entry : TargetEntry
        Its registration.
    now : float
        Present time.
    notices : TargetNotices, optional
        What it asked for while its registration was known before.

    Attributes
    ----------
    connections : dict of int to Connection
        All that are open or opening.
    idle : list of Connection
        Idle ones, the last used one last.
    replaced : bool
        Whether another incarnation was found at its address.
    backoff_until : float
        Time until which nothing is sent.
    full_until : float
        Time until which it is assumed to be full.
    cold_until : float
        Time until which it is cold.
    cold_limiter : ColdStartLimiter or None
        Limits the requests while it is cold, if this VM owns it.
    """

    def __init__(
        self,
        entry: TargetEntry,
        now: float,
        notices: TargetNotices | None = None,
    ) -> None:
        self.entry = entry
        self.notices = notices or TargetNotices()
        self.connections: dict[int, Connection] = {}
        self.idle: list[Connection] = []
        self.replaced = False
        self.backoff_until = 0.0
        self.full_until = 0.0
        self.cold_until = now + entry.cold_seconds
        self.cold_limiter: ColdStartLimiter | None = None
        #: By attempt, the time when its reply is overdue.
        self._overdue_at: dict[int, float] = {}
        #: By connection that is opening, the time when that began.
        self._opening_since: dict[int, float] = {}
        self._slowness = 1.0
        self._slow_streak = 0
        self._peer_slowness = 1.0
        self._peer_slowness_at = now
        self._failure_rate = 0.0
        self._observed_at = now
        self._backoffs = 0

    @property
    def leaves(self) -> bool:
        """Whether this incarnation gets no requests any more."""
        return self.entry.draining or self.replaced or self.notices.leaving

    @property
    def in_flight(self) -> int:
        """Number of attempts without an outcome."""
        return len(self._overdue_at)

    @property
    def opening(self) -> int:
        """Number of connections that are opening."""
        return len(self._opening_since)

    def has_overdue(self, now: float) -> bool:
        """Return whether a reply or a connection is overdue."""
        first_due = min(self._overdue_at.values(), default=NEVER)
        first_opening = min(self._opening_since.values(), default=NEVER)
        return first_due < now or first_opening + SLOW_CONNECT_S < now

    def slowness(self, now: float) -> float:
        """Return the latency as a multiple of the usual one.

        The greater one of what this VM observed and what others reported.
        """
        decay = exp((self._peer_slowness_at - now) / PEER_SLOWNESS_DECAY_S)
        reported = 1 + (self._peer_slowness - 1) * decay
        return max(self._observed_slowness(now), reported)

    def reportable_slowness(self, now: float) -> float:
        """Return the slowness to report to other VMs; 1 for none."""
        if self._slow_streak < REPORT_SLOW_STREAK:
            return 1.0
        return self._observed_slowness(now)

    def set_peer_slowness(self, slowness: float, now: float) -> None:
        """Set the slowness that another VM reported."""
        self._peer_slowness = min(max(slowness, 1.0), SLOWNESS_BOUNDS[1])
        self._peer_slowness_at = now

    def failure_rate(self, now: float) -> float:
        """Return the share of replies that are failures."""
        return self._failure_rate * exp(
            (self._observed_at - now) / FAILURE_DECAY_S,
        )

    def connection_opening(self, conn: Connection, now: float) -> None:
        """Add a connection that is being opened."""
        self.connections[conn.number] = conn
        self._opening_since[conn.number] = now

    def connection_opened(self, conn: Connection) -> None:
        """Mark a connection as established."""
        self._opening_since.pop(conn.number, None)
        conn.established = True

    def connection_closed(self, conn: Connection) -> None:
        """Remove a connection."""
        self.connections.pop(conn.number, None)
        self._opening_since.pop(conn.number, None)
        if conn in self.idle:
            self.idle.remove(conn)

    def attempt_started(
        self, attempt: SubRequestAttempt, overdue_at: float
    ) -> None:
        """Add an attempt and the time when its reply is overdue."""
        self._overdue_at[attempt.number] = overdue_at

    def attempt_ended(self, attempt: SubRequestAttempt) -> None:
        """Remove an attempt that has an outcome or was aborted."""
        self._overdue_at.pop(attempt.number, None)

    def record_success(
        self, latency: float, usual_latency: float, now: float
    ) -> None:
        """Record a successful reply; latencies are in seconds."""
        least, most = SLOWNESS_BOUNDS
        sample = min(
            max(latency / max(usual_latency, least / 1000), least), most
        )
        slowness = self._observed_slowness(now)
        weight = MIN_SLOWNESS_WEIGHT
        if self._slow_streak:
            # Not just a pause: recent samples count for more than older ones.
            weight = max(
                weight,
                1
                - exp((self._observed_at - now) / SLOW_SAMPLE_TIME_CONSTANT_S),
            )
        self._failure_rate = self.failure_rate(now) * (1 - FAILURE_WEIGHT)
        self._slowness = slowness + (sample - slowness) * weight
        self._slow_streak = (
            min(self._slow_streak + 1, MAX_SLOW_STREAK)
            if sample > SLOW_FACTOR
            else 0
        )
        self._observed_at = now
        self._backoffs = 0

    def record_failure(self, now: float) -> None:
        """Record a failure, or the loss of a reply."""
        slowness = self._observed_slowness(now)
        failure_rate = self.failure_rate(now)
        self._failure_rate = failure_rate + (1 - failure_rate) * FAILURE_WEIGHT
        self._slowness = slowness
        self._observed_at = now

    def record_full(self, now: float) -> None:
        """Record that the target refused a request because it was full.

        Also counts as a failure: a target that refuses many requests while it
        has little to do is no better than one that fails them.
        """
        self.record_failure(now)
        self.full_until = now + FULL_PENALTY_S

    def record_unreachable(self, now: float) -> None:
        """Record that the target can't be reached, and back off.

        The back-off time doubles each time, up to `MAX_BACKOFF_S`.
        """
        self.record_failure(now)
        if now < self.backoff_until:
            return
        backoff = min(MIN_BACKOFF_S * 2**self._backoffs, MAX_BACKOFF_S)
        self._backoffs += 1
        self.backoff_until = now + backoff

    def _observed_slowness(self, now: float) -> float:
        return 1 + (self._slowness - 1) * self._decay(now)

    def _decay(self, now: float) -> float:
        time_constant = (
            BASE_DECAY_S + DECAY_PER_SLOW_REPLY_S * self._slow_streak
        )
        return exp((self._observed_at - now) / time_constant)

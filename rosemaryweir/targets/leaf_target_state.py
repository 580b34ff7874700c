"""State that a leaf keeps of one target."""

from rosemaryweir.schema.generated.query import Load
from rosemaryweir.targets.attempt_queue import (
    AttemptQueue,
    expected_completion_time,
)
from rosemaryweir.targets.connections import ConnectionPool
from rosemaryweir.targets.latency import LatencyEstimate
from rosemaryweir.targets.limits import Limits
from rosemaryweir.targets.overdue import overdue_after
from rosemaryweir.targets.service_latencies import ServiceLatencies
from rosemaryweir.targets.slots import Slots
from rosemaryweir.targets.target_attempt import TargetAttempt
from rosemaryweir.targets.warmth import Warmth

__all__ = ['LeafTargetState']

MS_PER_S = 1000.0
#: Refusals in a row after which a target counts as cold.
COLD_AFTER_REFUSALS = 3


class LeafTargetState:
    """Slots, connections, warmth and queue of one target.

    Attributes
    ----------
    incarnation : int
        Newest known incarnation; 0 before the first reply.
    last_reply : float
        When that incarnation last answered.
    overdue : dict
        Attempts whose reply is overdue, by identifier, while no later one has
        been answered.
    closed_in_use_at : list of float
        Times at which the target closed connections in use.
    latency : LatencyEstimate
        Estimate from recent replies, whether warm or cold.
    next_send_at, next_probe_at : float
        When the queue is checked next, and when the target is probed next.
    """

    def __init__(
        self,
        name: str,
        address: str,
        domain: str,
        limits: Limits,
        service_latencies: ServiceLatencies | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.domain = domain
        self.slots = Slots()
        self.pool = ConnectionPool(limits)
        self.warmth = Warmth(limits, service_latencies)
        self.queue = AttemptQueue()
        self.incarnation = 0
        self.last_reply = 0.0
        self.overdue: dict[str, TargetAttempt] = {}
        self.closed_in_use_at: list[float] = []
        self.next_send_at = float('inf')
        self.next_probe_at = 0.0
        self.latency = LatencyEstimate()
        self._broken_at: float | None = None
        self._refusals_in_a_row = 0

    @property
    def limits(self) -> Limits:
        """Limits of the target."""
        return self.warmth.limits

    @property
    def allowed(self) -> int:
        """Number of requests that the target may run at once now."""
        allowed = self.warmth.allowed
        if self.overdue or self._broken_at is not None:
            return min(allowed, self.limits.cold_slots)
        return allowed

    @property
    def idle(self) -> bool:
        """Whether no attempt is in flight or queued."""
        return not self.slots.running and not self.queue

    def connection_broken(self, now: float) -> None:
        """Record that a connection broke, as the target may have restarted.

        Until the target answers a later request with the same incarnation, it
        gets the limit of a cold one.
        """
        self._broken_at = now

    def reconfigure(self, limits: Limits, address: str) -> None:
        """Apply limits and address of a new configuration."""
        self.address = address
        self.warmth.set_limits(limits)
        self.pool.limits = limits

    def has_room(self, now: float) -> bool:
        """Return whether a slot is free."""
        return self.slots.held(now) < self.allowed

    def can_meet_deadline(self, attempt: TargetAttempt, now: float) -> bool:
        """Return whether an attempt is expected to be answered in time."""
        waiting = len(self.queue)
        held = self.slots.held(now)
        if not waiting and held < self.allowed:
            return attempt.deadline > now
        if self.overdue or not self.queue.has_room(self.allowed):
            return False
        wait = expected_completion_time(
            waiting + held,
            self.allowed,
            self.latency.mean,
        )
        begins = now + wait - self.latency.mean
        return begins < attempt.queue_deadline and now + wait < attempt.deadline

    def record_answer(self, attempt: TargetAttempt, now: float) -> None:
        """Record an answer to an attempt.

        Attempts sent before it are no longer overdue: the target responds.
        """
        self.slots.release(attempt.attempt_id)
        self.overdue.pop(attempt.attempt_id, None)
        since = self._broken_at
        if since is not None and attempt.sent_at >= since:
            self._broken_at = None
            if not self.incarnation:
                self.warmth.mark_cold()
        for conn in self.pool.conns.values():
            other = conn.current_attempt
            if other is not None and other.sent_at < attempt.sent_at:
                other.later_answers += 1
                self.overdue.pop(other.attempt_id, None)
        self.last_reply = now

    def mark_lost(self, attempt: TargetAttempt) -> None:
        """Record that an attempt can no longer be answered."""
        self.slots.hold_until_deadline(attempt.attempt_id)
        self.overdue.pop(attempt.attempt_id, None)

    def record_status(self, status: str, took: float) -> None:
        """Update estimates and warmth from the status of an answer.

        The time of a cancelled attempt is a lower bound of its latency.
        """
        if status == 'cancelled':
            self.warmth.record_cancelled(took)
            if took >= overdue_after(self.latency):
                self.latency.add(took)
        if status == 'ok':
            self._refusals_in_a_row = 0
            self.latency.add(took)
            self.warmth.record_reply(took)
        if status == 'shed':
            self._refusals_in_a_row += 1
            self.warmth.record_refusal()
            if self._refusals_in_a_row >= COLD_AFTER_REFUSALS:
                self.warmth.mark_cold()

    def record_incarnation(self, incarnation: int) -> bool:
        """Record an incarnation; return whether the target has restarted."""
        if incarnation <= self.incarnation:
            return False
        known = bool(self.incarnation)
        self.incarnation = incarnation
        if known:
            self.slots.release_sent_before(self.last_reply)
            self.pool.forget_closing()
            self.warmth.mark_cold()
        return known

    def warm_equivalent_load(self, now: float) -> int:
        """Return the number of requests that would load a warm target as much.

        It is 0 without any request at the full limit; a limit below the slots
        counts as slots in use.
        """
        ahead = self.slots.held(now) + len(self.queue) + 1
        return ahead * self.limits.slots // max(1, self.allowed) - 1

    def load(self, now: float) -> Load:
        """Return the load that is reported to entries."""
        return Load(
            target=self.name,
            in_flight=self.slots.held(now),
            limit=self.allowed,
            queued=len(self.queue),
            cold=self.warmth.cold,
            latency_ms=self.latency.mean * MS_PER_S,
        )

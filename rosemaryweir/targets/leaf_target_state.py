"""Everything that a leaf keeps of one target."""

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
#: Refusals in a row after which a target is taken for cold.
COLD_AFTER_REFUSALS = 3


class LeafTargetState:
    """Slots, connections, warmth and queue of one target.

    Attributes
    ----------
    incarnation : int
        Newest incarnation seen; 0 before the first reply.
    last_reply : float
        When that incarnation last answered.
    overdue : dict
        Attempts whose reply is overdue although no later one has come.
    closed_in_use_at : list of float
        When the target closed connections in use.
    latency : LatencyEstimate
        Latencies of late, warm or cold.
    pump_at, probe_at : float
        When to look at the queue again, and to probe the target.
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
        """What the target bears."""
        return self.warmth.limits

    @property
    def allowed(self) -> int:
        """Requests that the target may run at once now."""
        allowed = self.warmth.allowed
        if self.overdue or self._broken_at is not None:
            return min(allowed, self.limits.cold_slots)
        return allowed

    @property
    def idle(self) -> bool:
        """Whether no attempt is in flight and none waits."""
        return not self.slots.running and not self.queue

    def connection_broken(self, now: float) -> None:
        """Doubt that the target is what it was: a connection broke.

        Until it answers a later request as the same incarnation, it gets no
        more than a cold target.
        """
        self._broken_at = now

    def reconfigure(self, limits: Limits, address: str) -> None:
        """Follow a change of the configuration."""
        self.address = address
        self.warmth.set_limits(limits)
        self.pool.limits = limits

    def has_room(self, now: float) -> bool:
        """Return whether one more attempt has a slot at once."""
        return self.slots.held(now) < self.allowed

    def can_meet_deadline(self, attempt: TargetAttempt, now: float) -> bool:
        """Return whether an attempt can be answered by its deadline."""
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
        """Note an answer to an attempt: those sent before are overtaken."""
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
        """Note that the answer to an attempt can't come any more."""
        self.slots.hold_until_deadline(attempt.attempt_id)
        self.overdue.pop(attempt.attempt_id, None)

    def record_status(self, status: str, took: float) -> None:
        """Learn from the status of an answer.

        One that was dropped tells at least how long it would have taken.
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
        """Note an incarnation; return whether it is newer than one known."""
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
        """Return how many requests would crowd the target as much, if warm.

        Nothing is 0; a limit below the slots counts as slots in use.
        """
        ahead = self.slots.held(now) + len(self.queue) + 1
        return ahead * self.limits.slots // max(1, self.allowed) - 1

    def load(self, now: float) -> Load:
        """Return what an entry is told of the target."""
        return Load(
            target=self.name,
            in_flight=self.slots.held(now),
            limit=self.allowed,
            queued=len(self.queue),
            cold=self.warmth.cold,
            latency_ms=self.latency.mean * MS_PER_S,
        )

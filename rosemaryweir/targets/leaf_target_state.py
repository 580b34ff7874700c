"""Everything that a leaf keeps of one target."""

from rosemaryweir.schema.generated.query import Load
from rosemaryweir.targets.connections import Pool
from rosemaryweir.targets.latency import Latency
from rosemaryweir.targets.limits import Limits
from rosemaryweir.targets.overdue import overdue_after
from rosemaryweir.targets.peers import Peers
from rosemaryweir.targets.queue import WorkQueue, expected_wait
from rosemaryweir.targets.slots import Slots
from rosemaryweir.targets.target_attempt import TargetAttempt
from rosemaryweir.targets.warmth import Warmth

__all__ = ['LeafTargetState']

MS_PER_S = 1000.0
#: Refusals in a row after which a target is taken for cold.
REFUSALS_COLD = 3


class LeafTargetState:
    """Slots, connections, warmth and queue of one target.

    Attributes
    ----------
    incarnation : int
        Newest incarnation seen; 0 before the first reply.
    last_reply : float
        When that incarnation last answered.
    doubtful : dict
        Attempts whose reply is overdue although no later one has come.
    closes : list of float
        When the target closed connections in use.
    recent : Latency
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
        peers: Peers | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.domain = domain
        self.slots = Slots()
        self.pool = Pool(limits)
        self.warmth = Warmth(limits, peers)
        self.queue = WorkQueue()
        self.incarnation = 0
        self.last_reply = 0.0
        self.doubtful: dict[str, TargetAttempt] = {}
        self.closes: list[float] = []
        self.pump_at = float('inf')
        self.probe_at = 0.0
        self.recent = Latency()
        self._unsure_since: float | None = None
        self._refusals = 0

    @property
    def limits(self) -> Limits:
        """What the target bears."""
        return self.warmth.limits

    @property
    def allowed(self) -> int:
        """Requests that the target may run at once now."""
        allowed = self.warmth.allowed
        if self.doubtful or self._unsure_since is not None:
            return min(allowed, self.limits.cold_slots)
        return allowed

    @property
    def idle(self) -> bool:
        """Whether no attempt is in flight and none waits."""
        return not self.slots.running and not self.queue

    def unsure(self, now: float) -> None:
        """Doubt that the target is what it was: a connection broke.

        Until it answers a later request as the same incarnation, it gets no
        more than a cold target.
        """
        self._unsure_since = now

    def resize(self, limits: Limits, address: str) -> None:
        """Follow a change of the configuration."""
        self.address = address
        self.warmth.resize(limits)
        self.pool.limits = limits

    def has_room(self, now: float) -> bool:
        """Return whether one more attempt has a slot at once."""
        return self.slots.held(now) < self.allowed

    def makes_it(self, attempt: TargetAttempt, now: float) -> bool:
        """Return whether an attempt can be answered by its deadline."""
        waiting = len(self.queue)
        held = self.slots.held(now)
        if not waiting and held < self.allowed:
            return attempt.deadline > now
        if self.doubtful or not self.queue.has_room(self.allowed):
            return False
        wait = expected_wait(
            waiting + held,
            self.allowed,
            self.recent.mean,
        )
        begins = now + wait - self.recent.mean
        return begins < attempt.wait_until and now + wait < attempt.deadline

    def answered(self, attempt: TargetAttempt, now: float) -> None:
        """Note an answer to an attempt: those sent before are overtaken."""
        self.slots.answered(attempt.attempt_id)
        self.doubtful.pop(attempt.attempt_id, None)
        since = self._unsure_since
        if since is not None and attempt.sent_at >= since:
            self._unsure_since = None
            if not self.incarnation:
                self.warmth.chilled()
        for conn in self.pool.conns.values():
            other = conn.current_attempt
            if other is not None and other.sent_at < attempt.sent_at:
                other.overtaken += 1
                self.doubtful.pop(other.attempt_id, None)
        self.last_reply = now

    def lost(self, attempt: TargetAttempt) -> None:
        """Note that the answer to an attempt can't come any more."""
        self.slots.lost(attempt.attempt_id)
        self.doubtful.pop(attempt.attempt_id, None)

    def learn(self, status: str, took: float) -> None:
        """Learn from the status of an answer.

        One that was dropped tells at least how long it would have taken.
        """
        if status == 'cancelled':
            self.warmth.dropped(took)
            if took >= overdue_after(self.recent):
                self.recent.add(took)
        if status == 'ok':
            self._refusals = 0
            self.recent.add(took)
            self.warmth.served(took)
        if status == 'shed':
            self._refusals += 1
            self.warmth.refused()
            if self._refusals >= REFUSALS_COLD:
                self.warmth.chilled()

    def meet(self, incarnation: int) -> bool:
        """Note an incarnation; return whether it is newer than one known."""
        if incarnation <= self.incarnation:
            return False
        known = bool(self.incarnation)
        self.incarnation = incarnation
        if known:
            self.slots.restarted(self.last_reply)
            self.pool.restarted()
            self.warmth.chilled()
        return known

    def crowding(self, now: float) -> int:
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
            latency_ms=self.recent.mean * MS_PER_S,
        )

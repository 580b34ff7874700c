"""One query that runs."""

from math import ceil

from rosemaryweir.query.answer_policy import may_answer
from rosemaryweir.query.attempt import Attempt
from rosemaryweir.query.merge import Merge
from rosemaryweir.query.outbox import Outbox, Scatter
from rosemaryweir.query.plan import Plan
from rosemaryweir.query.replica import Replica
from rosemaryweir.query.request import Asked
from rosemaryweir.query.service_state import ServiceState

__all__ = ['Running', 'Wanted']

#: Share of the shards whose coverage tells how fast a query went.
BULK_SHARE = 0.75
NEVER = float('inf')


class Wanted:
    """A shard that is not covered yet.

    Attributes
    ----------
    open : list of Attempt
        Attempts in flight.
    tried : list of Replica
        Replicas that were asked, in this round over the replicas.
    attempts : int
        Attempts made so far.
    rounds : int
        How often all replicas have been tried.
    retry_at : float
        When to try again; infinite while an attempt is in flight.
    """

    __slots__ = ('attempts', 'open', 'retry_at', 'rounds', 'shard', 'tried')

    def __init__(self, shard: str) -> None:
        self.shard = shard
        self.open: list[Attempt] = []
        self.tried: list[Replica] = []
        self.attempts = 0
        self.rounds = 0
        self.retry_at = NEVER

    @property
    def on_trial(self) -> bool:
        """Whether the last attempt went to a target that is doubted."""
        if not self.open:
            return False
        sight = self.open[-1].replica.sight
        return sight.trial or sight.weight > 1

    def begin(self, attempt: Attempt) -> None:
        """Take an attempt that starts."""
        self.open.append(attempt)
        self.tried.append(attempt.replica)
        self.attempts += 1
        self.retry_at = NEVER


class Running:
    """A query, from its admission to its answer.

    Attributes
    ----------
    version : int
        Index version that it is pinned to; 0 until its first answers pin it.
    repinned : bool
        Whether its one change of the pin is used up.
    unheard : set of str
        While it is not pinned: shards that have not answered.
    wanted : dict of str to Wanted
        Shards that are not covered at the pinned version.
    refused : int
        Pieces that targets refused or cut for lack of capacity.
    bulk : float
        Time that most of the shards took, in seconds; 0 until they are
        covered.
    """

    def __init__(
        self,
        asked: Asked,
        scatter: Scatter,
        service_state: ServiceState,
        plan: Plan,
        now: float,
    ) -> None:
        self.asked = asked
        self.uid = scatter.query
        self.scatter = scatter
        self.service_state = service_state
        self.hedging = service_state.hedging(asked.class_name)
        self.plan = plan
        self.outbox = Outbox()
        self.merge = Merge(scatter.layout, plan.shards)
        self.wanted = {shard: Wanted(shard) for shard in plan.shards}
        self.unheard = set(plan.shards)
        self.version = 0
        self.repinned = False
        self.started = now
        self.hedge_at = NEVER
        self.refused = 0
        self.ran = False
        self.bulk = 0.0
        self._bulk_left = len(plan.shards) - ceil(
            BULK_SHARE * len(plan.shards),
        )

    @property
    def key(self) -> tuple[int, int]:
        """Layout and version that attempts ask for."""
        return (self.scatter.layout, self.version)

    @property
    def share(self) -> float:
        """Share of the shards that are covered at the pinned version."""
        total = len(self.plan.shards)
        return self.merge.covered(self.version) / total if total else 1.0

    def waits(self, shard: str) -> bool:
        """Return whether a shard has answered and waits for the pin."""
        return not self.version and shard not in self.unheard

    def cover(self, shard: str, now: float) -> Wanted | None:
        """Take that a shard is covered; return what was in flight for it."""
        wanted = self.wanted.pop(shard, None)
        if not self.bulk and len(self.wanted) <= self._bulk_left:
            self.bulk = max(now - self.started, 0.0001)
        return wanted

    def repin(self, version: int) -> None:
        """Pin another version; shards not covered at it are wanted again."""
        self.version = version
        for shard in self.plan.shards:
            if self.merge.has(shard, version):
                continue
            wanted = self.wanted.setdefault(shard, Wanted(shard))
            wanted.tried.clear()

    def done(self, now: float) -> bool:
        """Return whether the answer leaves now."""
        asked = self.asked
        if not self.wanted or now >= asked.deadlines.answer:
            return True
        if now < asked.deadlines.early:
            return False
        floor = asked.policy['coverage_floor']
        return may_answer(self.share, floor, *asked.deadlines, now)

    def due(self, now: float) -> float:
        """Return when it next wants to be looked at."""
        early, answer = self.asked.deadlines
        retry = min(
            (wanted.retry_at for wanted in self.wanted.values()),
            default=NEVER,
        )
        return min(retry, self.hedge_at, early if early > now else answer)

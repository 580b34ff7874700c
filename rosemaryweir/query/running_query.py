"""State of a query from its admission to its answer."""

from math import ceil

from rosemaryweir.query.answer_policy import may_answer
from rosemaryweir.query.attempt import QueryAttempt
from rosemaryweir.query.merge import Merge
from rosemaryweir.query.outbox import QueryContext, QueryOutbox
from rosemaryweir.query.plan import Plan
from rosemaryweir.query.replica import Replica
from rosemaryweir.query.request import CallerQuery
from rosemaryweir.query.service_state import ServiceState

__all__ = ['OpenSubQuery', 'RunningQuery']

#: Share of the shards whose coverage time is the bulk latency of a query.
BULK_SHARE = 0.75
NEVER = float('inf')


class OpenSubQuery:
    """A sub-query whose shard is not covered yet.

    Attributes
    ----------
    in_flight : list of QueryAttempt
        Attempts in flight.
    tried : list of Replica
        Replicas asked in the present round over the replicas.
    attempt_count : int
        Number of attempts made so far.
    rounds : int
        Number of rounds over the replicas so far.
    retry_at : float
        Time of the next retry; infinite while an attempt is in flight.
    """

    __slots__ = (
        'attempt_count',
        'in_flight',
        'retry_at',
        'rounds',
        'shard',
        'tried',
    )

    def __init__(self, shard: str) -> None:
        self.shard = shard
        self.in_flight: list[QueryAttempt] = []
        self.tried: list[Replica] = []
        self.attempt_count = 0
        self.rounds = 0
        self.retry_at = NEVER

    @property
    def target_is_doubtful(self) -> bool:
        """Whether the last attempt's target is ejected or on probation."""
        if not self.in_flight:
            return False
        observed = self.in_flight[-1].replica.observed
        return observed.on_probation or observed.score_factor > 1

    def record_attempt(self, attempt: QueryAttempt) -> None:
        """Record an attempt that starts."""
        self.in_flight.append(attempt)
        self.tried.append(attempt.replica)
        self.attempt_count += 1
        self.retry_at = NEVER


class RunningQuery:
    """A query from its admission to its answer.

    Attributes
    ----------
    version : int
        Index version that it is pinned to; 0 until its first partials decide.
    repinned : bool
        Whether its pin was changed, which may happen once.
    unanswered : set of str
        Shards without a partial; used until the query is pinned.
    open_sub_queries : dict of str to OpenSubQuery
        Sub-queries by shard, for shards not covered at the pinned version.
    capacity_refusals : int
        Sub-queries that targets refused or cut off for lack of capacity.
    ran : bool
        Whether a target may have run any part of it.
    bulk_latency : float
        Time until most shards were covered, in seconds; 0 before.
    """

    def __init__(
        self,
        request: CallerQuery,
        context: QueryContext,
        service_state: ServiceState,
        plan: Plan,
        now: float,
    ) -> None:
        self.request = request
        self.uid = context.query_id
        self.context = context
        self.service_state = service_state
        self.hedging = service_state.hedging(request.class_name)
        self.plan = plan
        self.outbox = QueryOutbox()
        self.merge = Merge(context.layout, plan.shards)
        self.open_sub_queries = {
            shard: OpenSubQuery(shard) for shard in plan.shards
        }
        self.unanswered = set(plan.shards)
        self.version = 0
        self.repinned = False
        self.started_at = now
        self.next_hedge_check = NEVER
        self.capacity_refusals = 0
        self.ran = False
        self.bulk_latency = 0.0
        self._open_after_bulk = len(plan.shards) - ceil(
            BULK_SHARE * len(plan.shards),
        )

    @property
    def key(self) -> tuple[int, int]:
        """Layout and version that attempts ask for."""
        return (self.context.layout, self.version)

    @property
    def coverage(self) -> float:
        """Share of the shards covered at the pinned version."""
        total = len(self.plan.shards)
        return self.merge.covered_count(self.version) / total if total else 1.0

    def awaits_pin(self, shard: str) -> bool:
        """Return whether a shard has answered before the query is pinned."""
        return not self.version and shard not in self.unanswered

    def mark_covered(self, shard: str, now: float) -> OpenSubQuery | None:
        """Remove and return the sub-query of a shard that is covered."""
        sub_query = self.open_sub_queries.pop(shard, None)
        if (
            not self.bulk_latency
            and len(self.open_sub_queries) <= self._open_after_bulk
        ):
            self.bulk_latency = max(now - self.started_at, 0.0001)
        return sub_query

    def pin_version(self, version: int) -> None:
        """Pin a version; reopen the sub-queries not covered at it."""
        self.version = version
        for shard in self.plan.shards:
            if self.merge.covers(shard, version):
                continue
            sub_query = self.open_sub_queries.setdefault(
                shard,
                OpenSubQuery(shard),
            )
            sub_query.tried.clear()

    def is_done(self, now: float) -> bool:
        """Return whether the query is answered now."""
        request = self.request
        if not self.open_sub_queries or now >= request.deadlines.latest:
            return True
        if now < request.deadlines.earliest:
            return False
        floor = request.policy['coverage_floor']
        return may_answer(self.coverage, floor, *request.deadlines, now)

    def next_due(self, now: float) -> float:
        """Return the time of the next timer of the query."""
        earliest, latest = self.request.deadlines
        next_retry = min(
            (
                sub_query.retry_at
                for sub_query in self.open_sub_queries.values()
            ),
            default=NEVER,
        )
        return min(
            next_retry,
            self.next_hedge_check,
            earliest if earliest > now else latest,
        )

"""Run queries: send sub-queries, merge partials, hedge, retry and repin."""

from collections import Counter
from collections.abc import Callable, Collection, Sequence
from random import Random

from rosemaryweir.node.state import NodeState
from rosemaryweir.query.attempt import InFlightAttempts, QueryAttempt
from rosemaryweir.query.hedge_timing import (
    first_check_time,
    hedge_is_quicker,
    late_sub_queries,
    next_check_time,
)
from rosemaryweir.query.observed_target import VersionKey
from rosemaryweir.query.plan import Plan, QueryPlanner
from rosemaryweir.query.repin import better_version
from rosemaryweir.query.replica import (
    Replica,
    choose_other_replica,
    choose_replica,
)
from rosemaryweir.query.retry import (
    MIN_RETRIES_PER_S,
    backoff,
    is_permanent,
    may_retry_on,
)
from rosemaryweir.query.running_query import NEVER, OpenSubQuery, RunningQuery
from rosemaryweir.schema.generated.query import Partial

__all__ = ['QueryRunner']

#: A failed attempt is recorded with at least this multiple of the target's
#: mean latency.
FAILED_LATENCY_FACTOR = 3
#: Part of a token returned for a retry that no target ran, and granted for a
#: first attempt that was refused while no request waits for admission.
RETRY_REFUND = 0.8
#: Outcomes that show a lack of capacity at the target.
CAPACITY_OUTCOMES = frozenset(('shed', 'timeout'))
#: Outcomes of a target that its leaf may not use now.
UNUSABLE_OUTCOMES = frozenset(('out', 'not_owner'))

ReplicaChoice = Callable[
    [Sequence[Replica], VersionKey, Random, float],
    Replica | None,
]


class QueryRunner:
    """Handles the events of running queries.

    Parameters
    ----------
    state : NodeState
        Configuration, views and lease in force.
    planner : QueryPlanner
        Targets and leaves as this entry observes them.
    attempts : InFlightAttempts
        Attempts in flight.
    rng : random.Random
        Random number generator.

    Attributes
    ----------
    choose_first : callable
        Chooses the replica of a first attempt.
    first_attempts, extra_attempts : int
        Number of first attempts, and of hedges and retries.
    not_run : Counter
        Number of attempts that no target ran, by outcome.
    """

    def __init__(
        self,
        state: NodeState,
        planner: QueryPlanner,
        attempts: InFlightAttempts,
        rng: Random,
    ) -> None:
        self.state = state
        self.planner = planner
        self.attempts = attempts
        self.rng = rng
        self.choose_first: ReplicaChoice = choose_replica
        self.first_attempts = 0
        self.extra_attempts = 0
        self.not_run: Counter[str] = Counter()

    def start(self, query: RunningQuery, now: float) -> None:
        """Pin the query and send a sub-query to each of its shards."""
        pin = query.service_state.pin(query.context.layout)
        query.version = pin.choose(query.plan.observed_targets, now)
        replicas = query.plan.replicas
        key = query.key
        for shard, sub_query in query.open_sub_queries.items():
            replica = self.choose_first(replicas[shard], key, self.rng, now)
            if replica is None or replica.observed.refuses_attempts(now):
                self._postpone(sub_query, now)
            else:
                self._send(query, sub_query, replica, now)
        count = len(query.open_sub_queries)
        self.first_attempts += count
        query.hedging.budget.earn(count)
        query.next_hedge_check = first_check_time(query, now)

    def handle_partial(
        self,
        query: RunningQuery,
        attempt: QueryAttempt,
        partial: Partial,
        now: float,
    ) -> None:
        """Handle the partial that answers an attempt."""
        sub_query = query.open_sub_queries.get(attempt.shard)
        if sub_query is not None:
            sub_query.in_flight.remove(attempt)
        if partial['ran'] == 'no':
            self.not_run[partial['outcome']] += 1
        else:
            query.ran = True
        if partial['outcome'] == 'ok':
            self._handle_ok(query, attempt, partial, now)
        else:
            self._record_failure(query, attempt, partial, now)
            self.retry_if_idle(query, attempt, now)

    def retry_if_idle(
        self,
        query: RunningQuery,
        attempt: QueryAttempt,
        now: float,
    ) -> None:
        """Retry the shard of a failed attempt unless another is in flight."""
        sub_query = query.open_sub_queries.get(attempt.shard)
        if sub_query is not None and not sub_query.in_flight:
            self._retry(query, sub_query, now)

    def handle_lost(
        self,
        query: RunningQuery,
        attempt: QueryAttempt,
        now: float,
    ) -> None:
        """Handle an attempt that was lost when its leaf restarted."""
        sub_query = query.open_sub_queries.get(attempt.shard)
        if sub_query is not None:
            sub_query.in_flight.remove(attempt)
            self.retry_if_idle(query, attempt, now)

    def retry_beside(
        self,
        query: RunningQuery,
        attempt: QueryAttempt,
        now: float,
    ) -> None:
        """Ask another replica beside an attempt whose leaf is silent."""
        sub_query = query.open_sub_queries.get(attempt.shard)
        if sub_query is not None and sub_query.in_flight == [attempt]:
            self._retry(query, sub_query, now)

    def run_due(self, query: RunningQuery, now: float) -> None:
        """Send the hedges and retries that are due."""
        if now >= query.next_hedge_check:
            self._hedge(query, now)
        for sub_query in tuple(query.open_sub_queries.values()):
            if (
                sub_query.retry_at <= now
                and sub_query.shard in query.open_sub_queries
            ):
                sub_query.retry_at = NEVER
                self._retry(query, sub_query, now)

    def cancel_all(self, query: RunningQuery, now: float) -> None:
        """Cancel all attempts in flight."""
        for sub_query in query.open_sub_queries.values():
            self._cancel(query, sub_query, now)

    def _handle_ok(
        self,
        query: RunningQuery,
        attempt: QueryAttempt,
        partial: Partial,
        now: float,
    ) -> None:
        version = partial['version']
        key = (partial['layout'], version)
        observed = attempt.replica.observed
        latency = now - attempt.sent_at
        observed.record_latency(latency, query.hedging.delay(now), now)
        query.hedging.record_latency(latency, now)
        query.service_state.retry_budget.earn()
        if observed.record_served(key):
            query.service_state.pin(query.context.layout).outdated = True
        query.merge.add(attempt.shard, *key, partial['rows'])
        if not query.version:
            self._record_answered(query, attempt.shard, now)
        elif version == query.version and key[0] == query.context.layout:
            self._mark_covered(query, attempt.shard, now)
        else:
            self.retry_if_idle(query, attempt, now)

    def _mark_covered(
        self,
        query: RunningQuery,
        shard: str,
        now: float,
    ) -> None:
        sub_query = query.mark_covered(shard, now)
        if sub_query is not None and sub_query.in_flight:
            self._cancel(query, sub_query, now)

    def _record_failure(
        self,
        query: RunningQuery,
        attempt: QueryAttempt,
        partial: Partial,
        now: float,
    ) -> None:
        outcome = partial['outcome']
        observed = attempt.replica.observed
        if outcome == 'wrong_version':
            refused = (query.context.layout, attempt.version)
            observed.record_refused_version(
                refused,
                (partial['layout'], partial['version']),
                now,
            )
            query.service_state.pin(query.context.layout).outdated = True
        elif outcome in UNUSABLE_OUTCOMES:
            observed.mark_unusable(now)
        elif is_permanent(outcome):
            latency = now - attempt.sent_at
            late_after = query.hedging.delay(now)
            observed.record_latency(
                max(latency, FAILED_LATENCY_FACTOR * observed.mean_latency),
                late_after,
                now,
            )
        if outcome in CAPACITY_OUTCOMES:
            query.capacity_refusals += 1
        has_backlog = query.service_state.admission.has_backlog
        if partial['ran'] == 'no' and (attempt.extra or not has_backlog):
            query.service_state.retry_budget.refund(RETRY_REFUND)

    def _record_answered(
        self,
        query: RunningQuery,
        shard: str,
        now: float,
    ) -> None:
        """Pin an unpinned query once all of its shards have answered."""
        query.unanswered.discard(shard)
        if not query.unanswered:
            self._pin_best(query, now)

    def _pin_best(self, query: RunningQuery, now: float) -> None:
        """Pin an unpinned query to the version that covers the most shards."""
        pin = query.service_state.pin(query.context.layout)
        merged = query.merge.best_version(0)
        self._pin(query, pin.best(query.plan.observed_targets) or merged, now)

    def _pin(self, query: RunningQuery, version: int, now: float) -> None:
        if query.version:
            for sub_query in query.open_sub_queries.values():
                self._cancel(query, sub_query, now)
        query.pin_version(version)
        for shard in query.plan.shards:
            if query.merge.covers(shard, version):
                self._mark_covered(query, shard, now)
        for sub_query in tuple(query.open_sub_queries.values()):
            if not sub_query.in_flight:
                self._retry(query, sub_query, now)

    def _retry(
        self,
        query: RunningQuery,
        sub_query: OpenSubQuery,
        now: float,
    ) -> None:
        if query.awaits_pin(sub_query.shard):
            return
        query.service_state.retry_budget.refill(MIN_RETRIES_PER_S, now)
        replica = None
        if self.state.may_start(now):
            replica = self._other_replica(
                query,
                sub_query,
                sub_query.tried,
                now,
            )
        if replica is None and self._repin(query, now):
            return
        if (
            replica is None
            or replica.observed.refuses_attempts(now)
            or not may_retry_on(
                replica.observed.score_factor > 1,
                sub_query.rounds,
            )
            or not (
                sub_query.attempt_count == 0
                or query.service_state.retry_budget.spend()
            )
        ):
            self._postpone(sub_query, now)
        else:
            self.extra_attempts += sub_query.attempt_count > 0
            self._send(query, sub_query, replica, now)

    def _repin(self, query: RunningQuery, now: float) -> bool:
        """Pin a version that covers more, if any; return whether it did."""
        version = better_version(query, now)
        if not version:
            return False
        query.repinned = True
        self._pin(query, version, now)
        return True

    def _other_replica(
        self,
        query: RunningQuery,
        sub_query: OpenSubQuery,
        tried: Collection[Replica],
        now: float,
    ) -> Replica | None:
        replicas = self.current_plan(query).replicas[sub_query.shard]
        return choose_other_replica(replicas, query.key, tried, now)

    def current_plan(self, query: RunningQuery) -> Plan:
        """Return the plan of a query by the configuration in force now."""
        return self.planner.plan(query.context.service, query.plan.service)

    def _postpone(self, sub_query: OpenSubQuery, now: float) -> None:
        sub_query.retry_at = now + backoff(sub_query.rounds, self.rng)
        sub_query.rounds += 1
        sub_query.tried = [attempt.replica for attempt in sub_query.in_flight]

    def _hedge(self, query: RunningQuery, now: float) -> None:
        query.next_hedge_check = next_check_time(query, now)
        if not query.version and len(query.unanswered) < len(query.plan.shards):
            self._pin_best(query, now)
        if not self.state.may_start(now):
            return
        for sub_query in late_sub_queries(query, now):
            self._hedge_sub_query(query, sub_query, now)

    def _hedge_sub_query(
        self,
        query: RunningQuery,
        sub_query: OpenSubQuery,
        now: float,
    ) -> None:
        asked = [attempt.replica for attempt in sub_query.in_flight]
        replica = self._other_replica(query, sub_query, asked, now)
        if replica is None or not (
            sub_query.target_is_doubtful
            or hedge_is_quicker(replica, sub_query, query.key, now)
        ):
            return
        if (
            query.service_state.admission.has_backlog
            and not replica.observed.has_free_slot
        ):
            return
        if query.hedging.budget.spend():
            self.extra_attempts += 1
            self._send(query, sub_query, replica, now)

    def _send(
        self,
        query: RunningQuery,
        sub_query: OpenSubQuery,
        replica: Replica,
        now: float,
    ) -> None:
        attempt = self.attempts.start(
            query.uid,
            sub_query.shard,
            replica,
            query.version,
            now,
            sub_query.attempt_count > 0,
        )
        sub_query.record_attempt(attempt)
        query.outbox.add_attempt(attempt)

    def _cancel(
        self,
        query: RunningQuery,
        sub_query: OpenSubQuery,
        now: float,
    ) -> None:
        late_after = query.hedging.delay(now)
        for attempt in sub_query.in_flight:
            query.ran = True
            self.attempts.close(attempt)
            attempt.replica.observed.record_cancelled(
                now - attempt.sent_at,
                late_after,
                now,
            )
            query.outbox.add_cancellation(attempt)
        sub_query.in_flight.clear()

"""Select the late sub-queries of a query and decide on their hedges."""

from rosemaryweir.query.observed_target import VersionKey
from rosemaryweir.query.replica import Replica, score
from rosemaryweir.query.running_query import OpenSubQuery, RunningQuery

__all__ = [
    'first_check_time',
    'hedge_is_quicker',
    'late_sub_queries',
    'next_check_time',
]

#: Maximum number of attempts in flight for one sub-query.
MAX_OPEN_ATTEMPTS = 3
#: Share of the sub-queries that may be late for a query to be hedged.
MAX_LATE_SHARE = 0.15
#: Number of late sub-queries that are hedged in any case.
ALWAYS_HEDGED_COUNT = 2
#: Multiple of the delay after which all late sub-queries are hedged.
HEDGE_ALL_FACTOR = 2
#: Share of the delay after which further hedges of a query follow.
NEXT_DELAY_SHARE = 0.5
#: Share of the delay after which an attempt at a doubtful target is hedged.
DOUBTFUL_DELAY_SHARE = 0.4
#: Share of the delay from which a sub-query counts as late, so that one timer
#: serves sub-queries whose delays end at nearly the same time.
TIMER_TOLERANCE = 0.999


def first_check_time(query: RunningQuery, now: float) -> float:
    """Return when a query that starts is first checked for hedges."""
    delay = query.hedging.delay(now)
    if any(
        sub_query.target_is_doubtful
        for sub_query in query.open_sub_queries.values()
    ):
        delay *= DOUBTFUL_DELAY_SHARE
    return now + delay


def next_check_time(query: RunningQuery, now: float) -> float:
    """Return when a query is checked for hedges again."""
    return now + query.hedging.delay(now) * NEXT_DELAY_SHARE


def late_sub_queries(query: RunningQuery, now: float) -> list[OpenSubQuery]:
    """Return the sub-queries of a query to hedge now.

    Return none while many are late: then the query as a whole is slow, and
    hedges for one or two sub-queries would not end it sooner.
    """
    delay = query.hedging.delay(now)
    late = [
        sub_query
        for sub_query in query.open_sub_queries.values()
        if sub_query.in_flight
        and _is_late(sub_query, delay, now)
        and not query.awaits_pin(sub_query.shard)
    ]
    max_late = max(ALWAYS_HEDGED_COUNT, MAX_LATE_SHARE * len(query.plan.shards))
    recent = now - query.started_at < HEDGE_ALL_FACTOR * delay
    return [] if len(late) > max_late and recent else late


def hedge_is_quicker(
    replica: Replica,
    sub_query: OpenSubQuery,
    key: VersionKey,
    now: float,
) -> bool:
    """Return whether a hedge is likely to end before the last attempt.

    An attempt is expected to need as long again as it has already waited.  A
    hedge with a lower expected latency may go to a replica without a free
    slot; one that needs as long would only take capacity from the shard.
    """
    candidate = replica.observed
    last = sub_query.in_flight[-1]
    previous = last.replica.observed
    return (
        candidate.has_free_slot
        or 2 * (candidate.requests_ahead + 1) <= previous.requests_ahead + 1
        or score(replica, key, now) <= now - last.sent_at
    )


def _is_late(sub_query: OpenSubQuery, delay: float, now: float) -> bool:
    last = sub_query.in_flight[-1]
    count = len(sub_query.in_flight)
    share = 1 if count == 1 else NEXT_DELAY_SHARE
    if sub_query.target_is_doubtful:
        share = DOUBTFUL_DELAY_SHARE
    waited = now - last.sent_at
    return (
        count < MAX_OPEN_ATTEMPTS and waited >= delay * share * TIMER_TOLERANCE
    )

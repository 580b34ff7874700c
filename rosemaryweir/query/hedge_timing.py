"""Which pieces of a query are late, and whether a hedge would help them."""

from rosemaryweir.query.observed_target import VersionKey
from rosemaryweir.query.replica import Replica, score
from rosemaryweir.query.running_query import Running, Wanted

__all__ = ['first_look', 'late_pieces', 'next_look', 'quicker']

#: Most attempts at one shard that may be in flight at once.
MOST_OPEN = 3
#: A query is hedged when at most this share of its shards is missing.
HEDGED_SHARE = 0.15
#: That many shards are hedged in any case.
HEDGED_LEAST = 2
#: After this multiple of the delay it is hedged whatever is missing.
PATIENCE_FOLD = 2
#: Later hedges of a query follow after this share of the delay.
NEXT_DELAY_SHARE = 0.5
#: An attempt at a target on trial is hedged after this share of the delay.
DOUBT_SHARE = 0.4
#: Timers of nearly the same time are taken together.
ALMOST = 0.999


def first_look(query: Running, now: float) -> float:
    """Return when a query that starts is first looked at for late pieces."""
    delay = query.hedging.delay(now)
    if any(wanted.on_trial for wanted in query.wanted.values()):
        delay *= DOUBT_SHARE
    return now + delay


def next_look(query: Running, now: float) -> float:
    """Return when a query is looked at again."""
    return now + query.hedging.delay(now) * NEXT_DELAY_SHARE


def late_pieces(query: Running, now: float) -> list[Wanted]:
    """Return the shards of a query that are to be hedged now.

    None while much is missing: then the query is slow as a whole, and a hedge
    of a piece or two would not end it sooner.
    """
    delay = query.hedging.delay(now)
    late = [
        wanted
        for wanted in query.wanted.values()
        if wanted.open
        and _late(wanted, delay, now)
        and not query.waits(wanted.shard)
    ]
    most = max(HEDGED_LEAST, HEDGED_SHARE * len(query.plan.shards))
    patient = now - query.started < PATIENCE_FOLD * delay
    return [] if len(late) > most and patient else late


def quicker(
    replica: Replica,
    wanted: Wanted,
    key: VersionKey,
    now: float,
) -> bool:
    """Return whether a hedge is likely to end before the last attempt.

    What has waited so long is likely to wait as long again: a hedge that is
    expected to need less may go to a replica without a free slot.  One that
    needs as long only takes capacity from the shard.
    """
    here = replica.sight
    last = wanted.open[-1]
    there = last.replica.sight
    return (
        here.has_room
        or 2 * (here.pending + 1) <= there.pending + 1
        or score(replica, key, now) <= now - last.sent
    )


def _late(wanted: Wanted, delay: float, now: float) -> bool:
    last = wanted.open[-1]
    count = len(wanted.open)
    share = 1 if count == 1 else NEXT_DELAY_SHARE
    if wanted.on_trial:
        share = DOUBT_SHARE
    waited = now - last.sent
    return count < MOST_OPEN and waited >= delay * share * ALMOST

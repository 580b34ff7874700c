"""Decide whether a running query is pinned to another index version."""

from rosemaryweir.query.pin import coverable_shards
from rosemaryweir.query.running_query import RunningQuery

__all__ = ['better_version']


def better_version(query: RunningQuery, now: float) -> int:
    """Return the version to pin a running query to; 0 to keep its pin.

    The pin changes at most once, and only while there is time for the
    sub-queries to run again.  The new version must cover more shards than the
    query has covered, or can still cover, at its present version.
    """
    if query.repinned or not query.version:
        return 0
    layout = query.context.layout
    observed = query.plan.observed_targets
    version = query.service_state.pin(layout).best(observed)
    left = query.request.deadlines.latest - now
    if version == query.version or left < query.hedging.high_latency():
        return 0
    max_covered = max(
        coverable_shards(observed, layout, query.version),
        query.merge.covered_count(query.version),
    )
    return (
        version
        if coverable_shards(observed, layout, version) > max_covered
        else 0
    )

"""Whether a query that runs changes its pin."""

from rosemaryweir.query.pin import coverable
from rosemaryweir.query.running_query import Running

__all__ = ['better_version']


def better_version(query: Running, now: float) -> int:
    """Return the version that a query changes its pin to; 0 for none.

    It changes once at most, while there is time for its pieces to run again,
    and only to a version that covers more than can still be had of its own.
    """
    if query.repinned or not query.version:
        return 0
    layout = query.scatter.layout
    sights = query.plan.sights
    version = query.service_state.pin(layout).best(sights)
    left = query.asked.deadlines.answer - now
    if version == query.version or left < query.hedging.usual():
        return 0
    most = max(
        coverable(sights, layout, query.version),
        query.merge.covered(query.version),
    )
    return version if coverable(sights, layout, version) > most else 0

"""Which VMs callers are told to use.

Load pattern: VMs of unequal size, few of them large.  A query needs a piece
of processor time for each shard; on a small VM these add up to most of the
time that its caller has, on a large one to a quarter of it.  Callers choose
at random among the addresses that they are told, so that a list of large and
small ones gives each the same share: a list holds VMs of one size as long as
these bear the load.  Few VMs also keep their connections to targets in use
and learn sooner which targets are slow.

A VM in a failure domain without targets asks every shard in another one:
callers there are better served by VMs where the targets are, since only one
request and one answer cross failure domains then.
"""

from collections.abc import Iterator, Mapping, Sequence
from random import Random

from rosemaryweir.presence.capacity_groups import group_by_capacity
from rosemaryweir.presence.heartbeats import VmState

__all__ = ['caller_addresses']

#: Addresses of one answer.
MOST_NAMED = 64
#: Fewest VMs of a list: a caller needs somewhere to go when one of them
#: fails.
LEAST_NAMED = 2
#: Share of its processor that a VM may have in use for callers: half as much
#: again, as in a burst, still leaves it room.
FULL_LOAD = 0.55
#: Share of its processor that a VM needs without callers.
IDLE_LOAD = 0.03
#: A VM this much busier than the idlest one of its list is left out, as a
#: share of its processor.
BUSY_MARGIN = 0.4
#: A failure domain suits callers when it holds targets of at least this part of
#: the services that the best one holds.
LEAST_REACH = 0.5


def caller_addresses(
    serving: Sequence[VmState],
    domain: str,
    reach: Mapping[str, float],
    rng: Random,
) -> list[str]:
    """Return the addresses to use, of VMs that serve.

    Large VMs of the caller's own failure domain, where they bear its load;
    else large ones of all failure domains, then all VMs of the own one, then
    all.

    Parameters
    ----------
    serving : sequence of VmState
        VMs that are ready and not leaving.
    domain : str
        Failure domain of the caller.
    reach : mapping of str to float
        Share of the services that a failure domain holds targets of.
    rng : random.Random
        Chooses where there are more VMs than an answer holds.
    """
    near = _suitable(domain, reach)
    named = next(
        (
            chosen
            for chosen, replaced in _lists(serving, near)
            if _suffices(chosen, replaced)
        ),
        serving,
    )
    calm = _without_busy(named)
    if len(calm) > MOST_NAMED:
        calm = rng.sample(calm, MOST_NAMED)
    return sorted(news.caller_address for news in calm)


def _suitable(domain: str, reach: Mapping[str, float]) -> frozenset[str]:
    """Return the failure domains whose VMs suit a caller.

    Examples
    --------
    >>> sorted(_suitable('a', {'a': 0.9, 'b': 1.0}))
    ['a']
    >>> sorted(_suitable('c', {'a': 0.9, 'b': 1.0}))
    ['a', 'b']
    """
    least = LEAST_REACH * max(reach.values(), default=0)
    if reach.get(domain, 0) >= least:
        return frozenset((domain,))
    return frozenset(name for name, share in reach.items() if share >= least)


def _lists(
    serving: Sequence[VmState],
    domains: frozenset[str],
) -> Iterator[tuple[Sequence[VmState], Sequence[VmState]]]:
    """Yield lists of VMs, each with those whose load it would take over."""
    near = [news for news in serving if news.domain in domains]
    sizes = group_by_capacity(serving)
    for count in range(1, len(sizes) + 1):
        large = [news for size in sizes[:count] for news in size]
        yield [news for news in large if news.domain in domains], near
        yield large, serving


def _suffices(
    chosen: Sequence[VmState],
    replaced: Sequence[VmState],
) -> bool:
    """Return whether an even share of the load suits the smallest VM."""
    if len(chosen) < LEAST_NAMED:
        return False
    work = sum(
        max(float(0), news.load - IDLE_LOAD) * news.capacity
        for news in replaced
    )
    smallest = min(news.capacity for news in chosen)
    return work <= FULL_LOAD * smallest * len(chosen)


def _without_busy(named: Sequence[VmState]) -> Sequence[VmState]:
    least = min((news.load for news in named), default=0)
    return [news for news in named if news.load <= least + BUSY_MARGIN]

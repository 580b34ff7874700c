"""Select the VMs whose addresses the directory gives to callers.

VMs differ in size, and few are large.  A query takes some processor time for
each shard: on a small VM this adds up to most of the caller's deadline, on a
large one to a quarter of it.  Callers choose at random among the addresses
that they get, so that large and small VMs of one list would receive equal
shares.  A list therefore holds only VMs of the largest capacity as long as
these can carry the load.  With fewer VMs in use, connections to targets are
also reused more, and slow targets are detected sooner.

A VM in a failure domain without targets sends every sub-request to another
domain.  Callers there get VMs of domains that hold targets, so that only one
request and one response cross between domains.
"""

from collections.abc import Iterator, Mapping, Sequence
from random import Random

from rosemaryweir.presence.capacity_groups import group_by_capacity
from rosemaryweir.presence.heartbeats import VmState

__all__ = ['select_front_addresses']

#: Most addresses in one answer.
MAX_ADDRESSES = 64
#: Least VMs in a list: callers need an alternative when one of them fails.
MIN_VMS = 2
#: Share of its processor that a VM may use for callers: it can still take
#: half as much again in a burst.
MAX_LOAD = 0.55
#: Share of its processor that a VM uses without callers.
BASE_LOAD = 0.03
#: A VM is left out of a list if its load exceeds that of the least loaded one
#: by more than this share of a processor.
MAX_LOAD_ABOVE_IDLEST = 0.4
#: A failure domain suits callers if it holds targets of at least this part of
#: the services that the best domain holds.
MIN_RELATIVE_COVERAGE = 0.5


def select_front_addresses(
    serving: Sequence[VmState],
    domain: str,
    domain_coverage: Mapping[str, float],
    rng: Random,
) -> list[str]:
    """Return the addresses that a caller is to use.

    In order of preference: the largest VMs of the caller's own failure domain
    if they can carry its load, the largest VMs of all domains, lists with ever
    smaller VMs of the own domain and of all, and all VMs.

    Parameters
    ----------
    serving : sequence of VmState
        VMs that are ready and not leaving.
    domain : str
        Failure domain of the caller.
    domain_coverage : mapping of str to float
        Share of the services that each failure domain holds targets of.
    rng : random.Random
        Selects VMs when there are more than an answer may hold.
    """
    local = _suitable_domains(domain, domain_coverage)
    selected = next(
        (
            chosen
            for chosen, replaced in _candidate_lists(serving, local)
            if _can_carry(chosen, replaced)
        ),
        serving,
    )
    idle_enough = _without_busy_vms(selected)
    if len(idle_enough) > MAX_ADDRESSES:
        idle_enough = rng.sample(idle_enough, MAX_ADDRESSES)
    return sorted(vm.front_address for vm in idle_enough)


def _suitable_domains(
    domain: str, domain_coverage: Mapping[str, float]
) -> frozenset[str]:
    """Return the failure domains whose VMs suit a caller of a domain.

    Examples
    --------
    >>> sorted(_suitable_domains('a', {'a': 0.9, 'b': 1.0}))
    ['a']
    >>> sorted(_suitable_domains('c', {'a': 0.9, 'b': 1.0}))
    ['a', 'b']
    """
    least = MIN_RELATIVE_COVERAGE * max(domain_coverage.values(), default=0)
    if domain_coverage.get(domain, 0) >= least:
        return frozenset((domain,))
    return frozenset(
        name for name, share in domain_coverage.items() if share >= least
    )


def _candidate_lists(
    serving: Sequence[VmState],
    domains: frozenset[str],
) -> Iterator[tuple[Sequence[VmState], Sequence[VmState]]]:
    """Yield lists of VMs, each with the VMs whose load it would take over."""
    local = [vm for vm in serving if vm.domain in domains]
    groups = group_by_capacity(serving)
    for count in range(1, len(groups) + 1):
        large = [vm for group in groups[:count] for vm in group]
        yield [vm for vm in large if vm.domain in domains], local
        yield large, serving


def _can_carry(
    chosen: Sequence[VmState],
    replaced: Sequence[VmState],
) -> bool:
    """Return whether the smallest chosen VM can carry an even share."""
    if len(chosen) < MIN_VMS:
        return False
    work = sum(
        max(float(0), vm.load - BASE_LOAD) * vm.capacity for vm in replaced
    )
    smallest = min(vm.capacity for vm in chosen)
    return work <= MAX_LOAD * smallest * len(chosen)


def _without_busy_vms(chosen: Sequence[VmState]) -> Sequence[VmState]:
    least = min((vm.load for vm in chosen), default=0)
    return [vm for vm in chosen if vm.load <= least + MAX_LOAD_ABOVE_IDLEST]

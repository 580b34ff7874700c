"""A VM's share of the connections that a target accepts from all VMs.

A target resets connections beyond its limit, and there may be more VMs than
it accepts connections. Then not every VM may use every target: the VMs of the
target's failure domain come first, and of the others as many as fit, chosen
by a hash rank so that all VMs agree without communication. Where VMs differ
in size, callers are directed to the largest ones: these get the connections
that the small VMs of the target's failure domain leave.
"""

from collections import Counter
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from rosemaryweir.presence.capacity_groups import group_by_capacity

__all__ = ['ConnectionQuota', 'VmInfo', 'slack_share']

#: Share of a target's limit that is used: VMs that join need room before all
#: the others know of them.
USABLE_SHARE = 0.9
#: Maximum number of useful connections from one VM to a target that runs no
#: more requests at once; if it runs more, as many as it runs.
MAX_PER_TARGET = 8
#: Share of the connections for VMs of the target's own failure domain if not
#: all VMs can have one.
SAME_DOMAIN_SHARE = 0.6
#: Share of the retry budget's slack for the largest VMs, if VMs differ in
#: size: callers are directed to these.
LARGE_VM_SHARE = 0.8


class VmInfo(NamedTuple):
    """A VM, its failure domain and its number of processor cores."""

    name: str
    domain: str
    capacity: float = 1.0


class ConnectionQuota:
    """Number of connections that one VM may have to each target.

    Parameters
    ----------
    own : VmInfo
        The VM.

    Examples
    --------
    >>> quota = ConnectionQuota(VmInfo('vm-0', 'a'))
    >>> quota.update(VmInfo(f'vm-{number}', 'a') for number in range(6))
    >>> quota.max_connections('target-1', 'a', limit=30)
    4
    """

    def __init__(self, own: VmInfo) -> None:
        self._own = own
        self._vms: frozenset[VmInfo] = frozenset((own,))
        self._cache: dict[tuple[str, int, int], int] = {}
        self._large: frozenset[VmInfo] = frozenset()
        self._small_by_domain: Counter[str] = Counter((own.domain,))

    def update(self, vms: Iterable[VmInfo]) -> None:
        """Set the VMs that are alive."""
        found = frozenset((self._own, *vms))
        if found != self._vms:
            self._vms = found
            self._large = _largest(found)
            self._small_by_domain = Counter(
                vm.domain for vm in found - self._large
            )
            self._cache.clear()

    @property
    def vms(self) -> frozenset[VmInfo]:
        """The VMs that are alive."""
        return self._vms

    @property
    def own(self) -> VmInfo:
        """The VM that has this quota."""
        return self._own

    def max_connections(
        self, target: str, domain: str, limit: int, slots: int = 0
    ) -> int:
        """Return how many connections this VM may have to a target.

        Parameters
        ----------
        target, domain : str
            The target and its failure domain.
        limit : int
            Connections that it accepts from all VMs together.
        slots : int
            Requests that it runs at once; 0 if unknown.
        """
        useful = max(MAX_PER_TARGET, slots)
        key = (target, limit, useful)
        cached = self._cache.get(key)
        if cached is None:
            usable = int(limit * USABLE_SHARE)
            cached = self._compute(target, domain, usable, useful)
            self._cache[key] = cached
        return cached

    def _compute(
        self, target: str, domain: str, usable: int, useful: int
    ) -> int:
        if usable >= len(self._vms) * useful:
            return useful
        large = self._large
        small = self._vms - large
        near = self._small_by_domain[domain]
        each = min(useful, (usable - near) // len(large)) if large else 0
        if not small or each < 1:
            return self._divide(self._vms, target, domain, usable, useful)
        if self._own in large:
            return each
        rest = usable - each * len(large)
        return self._divide(small, target, domain, rest, useful)

    def _divide(
        self,
        vms: frozenset[VmInfo],
        target: str,
        domain: str,
        usable: int,
        useful: int,
    ) -> int:
        """Return this VM's part of connections divided among equal VMs."""
        if usable >= len(vms):
            return min(useful, usable // len(vms))
        near = [vm for vm in vms if vm.domain == domain]
        each = max(1, int(usable * SAME_DOMAIN_SHARE) // max(1, len(near)))
        rest = usable - each * len(near)
        if self._own.domain == domain and rest >= 0:
            return min(useful, each)
        rivals = [vm for vm in vms if vm.domain == self._own.domain]
        if self._own.domain != domain:
            rivals = [vm for vm in vms if vm.domain != domain]
        places = rest if self._own.domain != domain else usable
        own_rank = _rank(target, self._own)
        ahead = sum(_rank(target, vm) < own_rank for vm in rivals)
        return int(ahead < places)


def slack_share(own: VmInfo, vms: Iterable[VmInfo]) -> float:
    """Return a VM's share of the retry budget's slack.

    Examples
    --------
    >>> vms = [VmInfo('a', 'd', 2.0), *(VmInfo(f'{n}', 'd') for n in 'bcde')]
    >>> [round(slack_share(vm, vms), 2) for vm in vms]
    [0.8, 0.05, 0.05, 0.05, 0.05]
    """
    all_vms = frozenset((own, *vms))
    large = _largest(all_vms)
    if not large:
        return 1 / len(all_vms)
    if own in large:
        return LARGE_VM_SHARE / len(large)
    return (1 - LARGE_VM_SHARE) / len(all_vms - large)


def _largest(vms: frozenset[VmInfo]) -> frozenset[VmInfo]:
    """Return the largest VMs; none if all have the same size."""
    sizes = group_by_capacity(vms)
    return frozenset(sizes[0]) if len(sizes) > 1 else frozenset()


def _rank(target: str, vm: VmInfo) -> bytes:
    return blake2b(f'{target}/{vm.name}'.encode(), digest_size=8).digest()

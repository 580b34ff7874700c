"""A VM's share of the connections that a target accepts from all VMs.

Load pattern: a target resets what comes beyond its limit, and there are more
VMs than it accepts connections.  Then not every VM may use every target: its
own failure domain comes first, and of the other VMs as many as fit, chosen by
rank so that all agree without a word.  Where VMs differ in size, callers are
sent to the largest: these get what the near ones leave.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from rosemaryweir.presence.capacity_groups import group_by_capacity

__all__ = ['ConnectionQuota', 'VmInfo', 'slack_share']

#: Part of a target's limit that is used: VMs that join need room before all
#: the others have heard of them.
USED = 0.9
#: Connections that are worth keeping to one target.
MOST = 8
#: Part that VMs of the target's own failure domain get where not all VMs can
#: have a connection.
NEAR_SHARE = 0.6


#: Part of what is divided beside traffic that the largest VMs get, where VMs
#: differ in size: callers are sent to these.
LARGE_SHARE = 0.8


class VmInfo(NamedTuple):
    """A VM, its failure domain and its processor cores."""

    name: str
    domain: str
    capacity: float = 1.0


class ConnectionQuota:
    """What one VM may have to each target.

    Parameters
    ----------
    own : VmPlace
        The VM.

    Examples
    --------
    >>> shares = ConnectionQuota(VmInfo('vm-0', 'a'))
    >>> shares.update(VmInfo(f'vm-{number}', 'a') for number in range(6))
    >>> shares.room('target-1', 'a', limit=30)
    4
    """

    def __init__(self, own: VmInfo) -> None:
        self._own = own
        self._vms: frozenset[VmInfo] = frozenset((own,))
        self._known: dict[tuple[str, int], int] = {}

    def update(self, vms: Iterable[VmInfo]) -> None:
        """Take the VMs that are alive."""
        found = frozenset((self._own, *vms))
        if found != self._vms:
            self._vms = found
            self._known.clear()

    @property
    def vms(self) -> frozenset[VmInfo]:
        """The VMs that are alive."""
        return self._vms

    @property
    def own(self) -> VmInfo:
        """The VM whose shares these are."""
        return self._own

    def room(self, target: str, domain: str, limit: int) -> int:
        """Return how many connections this VM may have to a target.

        Parameters
        ----------
        target, domain : str
            The target and its failure domain.
        limit : int
            Connections that it accepts from all VMs together.
        """
        key = (target, limit)
        known = self._known.get(key)
        if known is None:
            known = self._share(target, domain, int(limit * USED))
            self._known[key] = known
        return known

    def _share(self, target: str, domain: str, usable: int) -> int:
        if usable >= len(self._vms) * MOST:
            return MOST
        large = _large(self._vms)
        small = self._vms - large
        near = sum(vm.domain == domain for vm in small)
        each = min(MOST, (usable - near) // len(large)) if large else 0
        if not small or each < 1:
            return self._ranked(self._vms, target, domain, usable)
        if self._own in large:
            return each
        return self._ranked(small, target, domain, usable - each * len(large))

    def _ranked(
        self,
        vms: frozenset[VmInfo],
        target: str,
        domain: str,
        usable: int,
    ) -> int:
        """Divide connections among VMs of which all count the same."""
        if usable >= len(vms):
            return min(MOST, usable // len(vms))
        near = [vm for vm in vms if vm.domain == domain]
        each = max(1, int(usable * NEAR_SHARE) // max(1, len(near)))
        rest = usable - each * len(near)
        if self._own.domain == domain and rest >= 0:
            return min(MOST, each)
        rivals = [vm for vm in vms if vm.domain == self._own.domain]
        if self._own.domain != domain:
            rivals = [vm for vm in vms if vm.domain != domain]
        places = rest if self._own.domain != domain else usable
        before = _rank(target, self._own)
        ahead = sum(_rank(target, vm) < before for vm in rivals)
        return int(ahead < places)


def slack_share(own: VmInfo, vms: Iterable[VmInfo]) -> float:
    """Return the part of a VM in what all VMs may do together.

    Examples
    --------
    >>> vms = [VmInfo('a', 'd', 2.0), *(VmInfo(f'{n}', 'd') for n in 'bcde')]
    >>> [round(slack_share(vm, vms), 2) for vm in vms]
    [0.8, 0.05, 0.05, 0.05, 0.05]
    """
    crowd = frozenset((own, *vms))
    large = _large(crowd)
    if not large:
        return 1 / len(crowd)
    if own in large:
        return LARGE_SHARE / len(large)
    return (1 - LARGE_SHARE) / len(crowd - large)


def _large(vms: frozenset[VmInfo]) -> frozenset[VmInfo]:
    """Return the largest VMs; none where all are of one size."""
    sizes = group_by_capacity(vms)
    return frozenset(sizes[0]) if len(sizes) > 1 else frozenset()


def _rank(target: str, vm: VmInfo) -> bytes:
    return blake2b(f'{target}/{vm.name}'.encode(), digest_size=8).digest()

"""A VM's share of the connections that a target accepts from all VMs.

Load pattern: a target resets what comes beyond its limit, and there are more
VMs than it accepts connections.  Then not every VM may use every target: its
own failure domain comes first, and of the other VMs as many as fit, chosen by
rank so that all agree without a word.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

__all__ = ['ConnectionShares', 'VmPlace']

#: Part of a target's limit that is used: VMs that join need room before all
#: the others have heard of them.
USED = 0.9
#: Connections that are worth keeping to one target.
MOST = 8
#: Part that VMs of the target's own failure domain get where not all VMs can
#: have a connection.
NEAR_SHARE = 0.6


class VmPlace(NamedTuple):
    """A VM and its failure domain."""

    name: str
    domain: str


class ConnectionShares:
    """What one VM may have to each target.

    Parameters
    ----------
    own : VmPlace
        The VM.

    Examples
    --------
    >>> shares = ConnectionShares(VmPlace('vm-0', 'a'))
    >>> shares.update(VmPlace(f'vm-{number}', 'a') for number in range(6))
    >>> shares.room('target-1', 'a', limit=30)
    4
    """

    def __init__(self, own: VmPlace) -> None:
        self._own = own
        self._vms: frozenset[VmPlace] = frozenset((own,))
        self._known: dict[tuple[str, int], int] = {}

    def update(self, vms: Iterable[VmPlace]) -> None:
        """Take the VMs that are alive."""
        found = frozenset((self._own, *vms))
        if found != self._vms:
            self._vms = found
            self._known.clear()

    @property
    def vms(self) -> frozenset[VmPlace]:
        """The VMs that are alive."""
        return self._vms

    @property
    def own(self) -> VmPlace:
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
        if usable >= len(self._vms):
            return min(MOST, usable // len(self._vms))
        near = [vm for vm in self._vms if vm.domain == domain]
        each = max(1, int(usable * NEAR_SHARE) // max(1, len(near)))
        rest = usable - each * len(near)
        if self._own.domain == domain and rest >= 0:
            return min(MOST, each)
        rivals = [vm for vm in self._vms if vm.domain == self._own.domain]
        if self._own.domain != domain:
            rivals = [vm for vm in self._vms if vm.domain != domain]
        places = rest if self._own.domain != domain else usable
        before = _rank(target, self._own)
        ahead = sum(_rank(target, vm) < before for vm in rivals)
        return int(ahead < places)


def _rank(target: str, vm: VmPlace) -> bytes:
    return blake2b(f'{target}/{vm.name}'.encode(), digest_size=8).digest()

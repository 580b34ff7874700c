"""Ownership of targets: which leaf has the connections to a target."""

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from rosemaryweir.schema.generated.control import View

__all__ = ['OwnerCache', 'owner', 'rendezvous']

ALIVE = 'alive'


def rendezvous(name: str, candidates: Sequence[str]) -> str | None:
    """Return the candidate with the highest weight for a name.

    Parameters
    ----------
    name : str
        Name of the item to place.
    candidates : sequence of str
        Where it may be placed; their order has no influence.

    Returns
    -------
    str or None
        The candidate chosen, or None when there is none.

    Notes
    -----
    Highest random weight hashing: when a candidate leaves, only the items
    placed on it move; when one joins, items move only to it.

    References
    ----------
    D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> rendezvous('t1', ['a', 'b']) == rendezvous('t1', ['b', 'a'])
    True
    >>> rendezvous('t1', []) is None
    True
    """
    return max(
        candidates,
        key=lambda candidate: (_weight(name, candidate), candidate),
        default=None,
    )


def owner(target: str, view: View | None) -> str | None:
    """Return the VM whose leaf owns a target.

    Parameters
    ----------
    target : str
        Name of the target.
    view : View or None
        View of the target's failure domain.

    Returns
    -------
    str or None
        Name of a VM, or None when the view is unknown or has no member alive.

    Examples
    --------
    >>> owner('t1', None) is None
    True
    """
    if view is None:
        return None
    return rendezvous(target, _alive(view))


class Placement(NamedTuple):
    """Owners of the requested targets under one version of a view."""

    version: int
    alive: tuple[str, ...]
    owners: dict[str, str | None]


class OwnerCache:
    """Cache of the owners of targets, updated from view to view.

    Notes
    -----
    A new view costs one hash for each known target and joined member; only the
    targets of members that left are placed again.

    Examples
    --------
    >>> owners = OwnerCache()
    >>> view = {'domain': 'd', 'version': 1, 'members': []}
    >>> owners.owner_of('t1', view) is None
    True
    """

    def __init__(self) -> None:
        self._known: dict[str, Placement] = {}

    def owner_of(self, target: str, view: View | None) -> str | None:
        """Return the owner of a target, as the function `owner` does."""
        if view is None:
            return None
        domain = view['domain']
        placement = self._known.get(domain)
        if placement is None or placement.version != view['version']:
            placement = _updated(placement, view)
            self._known[domain] = placement
        if target not in placement.owners:
            placement.owners[target] = rendezvous(target, placement.alive)
        return placement.owners[target]


def _updated(before: Placement | None, view: View) -> Placement:
    alive = tuple(_alive(view))
    if before is None:
        return Placement(view['version'], alive, {})
    joined = set(alive).difference(before.alive)
    staying = set(alive).intersection(before.alive)
    owners = {
        target: rendezvous(target, (vm, *joined)) if joined else vm
        for target, vm in before.owners.items()
        if vm in staying
    }
    return Placement(view['version'], alive, owners)


def _alive(view: View) -> list[str]:
    return [
        member['vm'] for member in view['members'] if member['state'] == ALIVE
    ]


def _weight(name: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{candidate}\0{name}'.encode())

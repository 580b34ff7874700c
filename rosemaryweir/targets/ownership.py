"""Ownership of targets: which leaf holds the connections of a target."""

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from rosemaryweir.schema.generated.control import View

__all__ = ['OwnerCache', 'owner', 'rendezvous']

ALIVE = 'alive'


def rendezvous(name: str, candidates: Sequence[str]) -> str | None:
    """Return the candidate of the highest weight for a name.

    Parameters
    ----------
    name : str
        What is placed.
    candidates : sequence of str
        Where it may be placed; their order doesn't matter.

    Returns
    -------
    str or None
        The candidate chosen, or None when there is none.

    Notes
    -----
    Highest random weight: when a candidate leaves, only what was placed on it
    moves; when one joins, only what moves to it.

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
    """Owners under one version of a view, of the targets asked for."""

    version: int
    alive: tuple[str, ...]
    owners: dict[str, str | None]


class OwnerCache:
    """Owners of targets, carried on from view to view.

    Notes
    -----
    A new view costs one weight for each target known and member joined; only
    the targets of members that left are placed anew.

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
        """Return `owner` of a target."""
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

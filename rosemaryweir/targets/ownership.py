"""Ownership of targets: which leaf holds the connections of a target."""

from collections.abc import Sequence

import xxhash

from rosemaryweir.schema.generated.control import View

__all__ = ['Owners', 'owner', 'rendezvous']

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


class Owners:
    """Owners of targets, kept for each view until it changes.

    Examples
    --------
    >>> owners = Owners()
    >>> view = {'domain': 'd', 'version': 1, 'members': []}
    >>> owners.of('t1', view) is None
    True
    """

    def __init__(self) -> None:
        self._known: dict[str, tuple[int, dict[str, str | None]]] = {}

    def of(self, target: str, view: View | None) -> str | None:
        """Return `owner` of a target, computed once for each view."""
        if view is None:
            return None
        version, table = self._known.get(view['domain'], (-1, {}))
        if version != view['version']:
            table = {}
            self._known[view['domain']] = (view['version'], table)
        if target not in table:
            table[target] = owner(target, view)
        return table[target]


def _alive(view: View) -> list[str]:
    return [
        member['vm'] for member in view['members'] if member['state'] == ALIVE
    ]


def _weight(name: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{candidate}\0{name}'.encode())

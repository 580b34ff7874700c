"""Hierarchical quorums: majorities of members in most failure domains.

Two quorums over the same views share a failure domain, and in it a member.
Once a quorum has adopted a view, no other quorum can lack it.

References
----------
A. Kumar, "Hierarchical Quorum Consensus: A New Algorithm for Managing
Replicated Data", IEEE Transactions on Computers 40(9), 1991.
"""

from collections.abc import Collection, Iterable, Mapping
from collections.abc import Set as AbstractSet
from typing import Final

__all__ = ['has_majority', 'has_quorum', 'majority_time', 'quorum_time']

NEVER: Final = float('-inf')


def has_majority(members: Collection[str], vms: AbstractSet[str]) -> bool:
    """Return whether more than half of the members are among `vms`.

    Examples
    --------
    >>> has_majority(['a', 'b', 'c'], {'a', 'c', 'x'})
    True
    >>> has_majority(['a', 'b'], {'a'})
    False
    """
    return 2 * sum(vm in vms for vm in members) > len(members)


def has_quorum(
    versions: Mapping[str, Iterable[Collection[str]]],
    vms: AbstractSet[str],
) -> bool:
    """Return whether `vms` hold a quorum under every mix of versions.

    Parameters
    ----------
    versions : mapping of str to iterable of collection of str
        By failure domain, all lists of members that may be in use.
    vms : set of str
        Names of the VMs that count.

    Examples
    --------
    >>> views = {'a': [['a1', 'a2', 'a3'], ['a1']], 'b': [['b1']]}
    >>> has_quorum(views, {'a1', 'b1'}), has_quorum(views, {'a1', 'a2', 'b1'})
    (False, True)
    """
    holding = [
        all(has_majority(members, vms) for members in lists)
        for lists in versions.values()
    ]
    return 2 * sum(holding) > len(holding)


def majority_time(
    members: Collection[str], times: Mapping[str, float]
) -> float:
    """Return the latest time at or after which a majority has vouched.

    Examples
    --------
    >>> majority_time(['a', 'b', 'c'], {'a': 5.0, 'b': 3.0, 'c': 1.0})
    3.0
    """
    if not members:
        return NEVER
    ranked = sorted((times.get(vm, NEVER) for vm in members), reverse=True)
    return ranked[len(ranked) // 2]


def quorum_time(times: Collection[float]) -> float:
    """Return the latest time at which most failure domains had a majority.

    Examples
    --------
    >>> quorum_time([4.0, 9.0, 2.0]), quorum_time([4.0, 9.0])
    (4.0, 4.0)
    """
    if not times:
        return NEVER
    return sorted(times, reverse=True)[len(times) // 2]

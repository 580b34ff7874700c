"""Relay tree of a failure domain: store watchers first, others by rank."""

from collections.abc import Sequence
from random import Random

from rosemaryweir.schema.generated.control import Member

__all__ = ['RELAY_FANOUT', 'STORE_WATCHERS', 'children', 'parent', 'rank_of']

#: VMs of a failure domain that watch the store.
STORE_WATCHERS = 2

#: Children of one VM in the relay tree.
RELAY_FANOUT = 32


def rank_of(vm: str, members: Sequence[Member]) -> int:
    """Return the index of a VM among the members, or their number if absent.

    Examples
    --------
    >>> members = [{'vm': 'vm-1'}, {'vm': 'vm-2'}]
    >>> rank_of('vm-2', members), rank_of('vm-9', members)
    (1, 2)
    """
    names = [member['vm'] for member in members]
    return names.index(vm) if vm in names else len(names)


def parent(rank: int, members: Sequence[Member], rng: Random) -> Member | None:
    """Return a parent in the relay tree, or None for a store watcher.

    Ranks below `STORE_WATCHERS` watch the store.  Each rank has up to
    `RELAY_FANOUT` children.  The parent is drawn from two neighbouring
    ranks, so that the loss of one of them costs a round but not the
    connection to the store.
    """
    if rank < STORE_WATCHERS:
        return None
    lowest = (rank - STORE_WATCHERS) // RELAY_FANOUT
    chosen = min(lowest + rng.randrange(STORE_WATCHERS), rank - 1)
    return members[chosen]


def children(rank: int, members: Sequence[Member]) -> list[Member]:
    """Return the members whose first parent has this rank.

    Examples
    --------
    >>> members = [{'vm': str(place)} for place in range(40)]
    >>> [child['vm'] for child in children(1, members)][:2]
    ['34', '35']
    """
    first = STORE_WATCHERS + rank * RELAY_FANOUT
    return list(members[first : first + RELAY_FANOUT])

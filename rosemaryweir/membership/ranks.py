"""Ranks within a failure domain: who watches the store, who relays to whom."""

from collections.abc import Sequence
from random import Random

from rosemaryweir.schema.generated.control import Member

__all__ = ['FANOUT', 'WATCHERS', 'children', 'parent', 'rank_of']

#: VMs of a failure domain that watch the store.
WATCHERS = 2

#: VMs that one VM relays to.
FANOUT = 32


def rank_of(vm: str, members: Sequence[Member]) -> int:
    """Return the place of a VM among the members, or their number.

    Examples
    --------
    >>> members = [{'vm': 'vm-1'}, {'vm': 'vm-2'}]
    >>> rank_of('vm-2', members), rank_of('vm-9', members)
    (1, 2)
    """
    names = [member['vm'] for member in members]
    return names.index(vm) if vm in names else len(names)


def parent(rank: int, members: Sequence[Member], rng: Random) -> Member | None:
    """Return a VM that is nearer to the store, or None for a watcher.

    Ranks below `WATCHERS` watch; the next `FANOUT` ranks for each of them ask
    one of them, and so on.  One of two neighbouring parents is drawn, so that
    a lost one costs a round and not the contact.
    """
    if rank < WATCHERS:
        return None
    lowest = (rank - WATCHERS) // FANOUT
    chosen = min(lowest + rng.randrange(WATCHERS), rank - 1)
    return members[chosen]


def children(rank: int, members: Sequence[Member]) -> list[Member]:
    """Return the VMs that ask a VM of this rank first.

    Examples
    --------
    >>> members = [{'vm': str(place)} for place in range(40)]
    >>> [child['vm'] for child in children(1, members)][:2]
    ['34', '35']
    """
    first = WATCHERS + rank * FANOUT
    return list(members[first : first + FANOUT])

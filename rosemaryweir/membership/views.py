"""Views: who should be in the view of a failure domain, and writing it."""

from collections.abc import Iterable, Sequence
from random import Random

import msgspec

from rosemaryweir.membership.roster import PRESENT_STATES
from rosemaryweir.node.event import StoreObject
from rosemaryweir.schema.generated.control import Member, View

__all__ = [
    'VIEW_PREFIX',
    'ViewWriteTimer',
    'decode_view',
    'delegates',
    'desired_members',
    'encode_view',
    'same_members',
    'view_key',
]

VIEW_PREFIX = 'views/'

#: VMs that stand in for a failure domain that has none.
MAX_DELEGATES = 3

#: Lists of former members that a view carries.
MAX_FORMER_LISTS = 6

#: Wait of each rank before it writes, in seconds.
RANK_DELAY_S = 0.15

#: Spread of the random part of that wait, in seconds.
MAX_JITTER_S = 0.05

#: Ranks beyond which the wait grows no more.
MAX_DELAY_RANK = 6


def view_key(domain: str) -> str:
    """Return the key of a failure domain's view."""
    return f'{VIEW_PREFIX}{domain}'


def encode_view(
    domain: str,
    members: Iterable[Member],
    former: list[list[str]],
) -> bytes:
    """Return a view as the store holds it; its version is the object's."""
    view = View(
        domain=domain,
        version=0,
        members=list(members),
        former=former[-MAX_FORMER_LISTS:],
    )
    return msgspec.json.encode(view)


def decode_view(obj: StoreObject) -> View:
    """Return the view that a store object holds.

    Raises
    ------
    msgspec.ValidationError
        If it holds none.
    """
    view = msgspec.json.decode(obj.content, type=View)
    view['version'] = obj.version
    return view


def desired_members(present: Iterable[Member]) -> list[Member]:
    """Return the members that a view should list, as it stores them."""
    return [
        {**member, 'state': 'alive', 'load': 0.0}
        for member in present
        if member['state'] in PRESENT_STATES
    ]


def delegates(domain: str, present: Sequence[Member]) -> list[Member]:
    """Return the VMs that stand in for a failure domain without any.

    They are the lowest ranks of the failure domain that follows in
    alphabetical order.
    """
    domains = sorted({member['domain'] for member in present})
    if not domains:
        return []
    after = [name for name in domains if name > domain]
    chosen = (after or domains)[0]
    return [member for member in present if member['domain'] == chosen][
        :MAX_DELEGATES
    ]


def same_members(one: Iterable[Member], other: Iterable[Member]) -> bool:
    """Return whether two lists entitle the same VMs at the same addresses."""

    def signature(members: Iterable[Member]) -> set[tuple[str, str, str]]:
        return {
            (member['vm'], member['leaf_peer'], member['agent_peer'])
            for member in members
        }

    return signature(one) == signature(other)


class ViewWriteTimer:
    """Whose turn it is to write a change: lower ranks first.

    Parameters
    ----------
    rng : random.Random
        Source of chance.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._due: float | None = None

    def due(self, differs: bool, rank: int, now: float) -> bool:
        """Return whether to write now.

        Parameters
        ----------
        differs : bool
            Whether the view is not as it should be.
        rank : int
            Place among those that may write.
        now : float
            Present time.
        """
        if not differs:
            self._due = None
            return False
        if self._due is None:
            wait = RANK_DELAY_S * min(rank, MAX_DELAY_RANK)
            self._due = now + wait + MAX_JITTER_S * self._rng.random()
        return now >= self._due

    def retry_after(self, now: float, pause: float) -> None:
        """Wait before the next attempt."""
        self._due = now + pause * (1 + self._rng.random())

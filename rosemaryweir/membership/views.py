"""Views of failure domains: their members, encoding, and write order."""

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

#: VMs of another failure domain that own the targets of a vacant one.
MAX_DELEGATES = 3

#: Lists of former members that a view carries at most.
MAX_FORMER_LISTS = 6

#: Delay per rank before a VM writes, in seconds; lower ranks write first.
RANK_DELAY_S = 0.15

#: Largest random delay before a write, in seconds.
MAX_JITTER_S = 0.05

#: Rank beyond which the delay does not grow.
MAX_DELAY_RANK = 6


def view_key(domain: str) -> str:
    """Return the key of a failure domain's view."""
    return f'{VIEW_PREFIX}{domain}'


def encode_view(
    domain: str,
    members: Iterable[Member],
    former: list[list[str]],
) -> bytes:
    """Encode a view for the store, where its version is the object's."""
    view = View(
        domain=domain,
        version=0,
        members=list(members),
        former=former[-MAX_FORMER_LISTS:],
    )
    return msgspec.json.encode(view)


def decode_view(obj: StoreObject) -> View:
    """Decode a view from a store object.

    Raises
    ------
    msgspec.ValidationError
        If the content is not a view.
    """
    view = msgspec.json.decode(obj.content, type=View)
    view['version'] = obj.version
    return view


def desired_members(present: Iterable[Member]) -> list[Member]:
    """Return the members that a view should list, as they are stored."""
    return [
        {**member, 'state': 'alive', 'load': 0.0}
        for member in present
        if member['state'] in PRESENT_STATES
    ]


def delegates(domain: str, present: Sequence[Member]) -> list[Member]:
    """Return the VMs that act for a failure domain without VMs.

    They are the lowest ranks of the next failure domain in alphabetical
    order that has VMs.
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
    """Return whether two lists hold the same VMs at the same addresses."""

    def signature(members: Iterable[Member]) -> set[tuple[str, str, str]]:
        return {
            (member['vm'], member['leaf_peer'], member['agent_peer'])
            for member in members
        }

    return signature(one) == signature(other)


class ViewWriteTimer:
    """Delay before this VM writes a changed view: lower ranks write first.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._due: float | None = None

    def due(self, differs: bool, rank: int, now: float) -> bool:
        """Return whether to write now.

        Parameters
        ----------
        differs : bool
            Whether the stored view differs from the desired one.
        rank : int
            Rank of this VM among those that may write the view.
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
        """Delay the next attempt by one to two times the pause."""
        self._due = now + pause * (1 + self._rng.random())

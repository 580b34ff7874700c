"""Tell peers which failure domains a note is about to withdraw."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.config.recent_members import RecentMembers
from rosemaryweir.node.state import NodeUid
from rosemaryweir.schema.generated.control import Intent, Member

__all__ = ['IntentAnnouncement']

#: Time that peers get to acknowledge an announcement, in seconds.
ANNOUNCE_S = 0.4

#: Peers that an announcement is sent to directly.
ANNOUNCED = 32


class IntentAnnouncement:
    """One intent after the other, and who has acknowledged the latest.

    Parameters
    ----------
    uid : NodeUid
        The agent that announces.
    rng : random.Random
        Source of chance.

    Attributes
    ----------
    intent : str
        Identifier of the intent that is not settled; empty without one.
    lately : Lately
        Who is asked.
    """

    def __init__(self, uid: NodeUid, rng: Random) -> None:
        self.intent = ''
        self.lately = RecentMembers()
        self._uid = uid
        self._rng = rng
        self._asked: set[str] = set()
        self._awaited: set[str] = set()
        self._since = 0.0
        self._rounds = 0

    @property
    def ends(self) -> float:
        """Time at which the round under way ends."""
        return self._since + ANNOUNCE_S

    @property
    def all_told(self) -> bool:
        """Whether everyone asked has acknowledged."""
        return not self._awaited

    @property
    def most_told(self) -> bool:
        """Whether most know of the intent, this VM among them.

        With fewer, the store could go down right after the write, and those
        who were not told would keep the failure domain in use.
        """
        told = 1 + len(self._asked) - len(self._awaited)
        return 2 * told > 1 + len(self._asked)

    def begin(self, generation: int, domains: list[str], now: float) -> Intent:
        """Return the intent of a new round."""
        self._rounds += 1
        self._since = now
        self.intent = f'{self._uid.vm}/{self._uid.incarnation}/{self._rounds}'
        return Intent(
            note=self.intent,
            generation=generation,
            domains=domains,
            age_ms=0.0,
        )

    def choose(self, now: float) -> Iterator[Member]:
        """Yield who is to be told in this round."""
        peers = [
            member
            for member in self.lately.members(now)
            if member['vm'] != self._uid.vm
        ]
        chosen = self._rng.sample(peers, min(ANNOUNCED, len(peers)))
        self._asked = {member['vm'] for member in chosen}
        self._awaited = set(self._asked)
        yield from chosen

    def acknowledge(self, note: str, vm: str) -> bool:
        """Note that a peer knows an intent; return whether it is the latest."""
        if note != self.intent:
            return False
        self._awaited.discard(vm)
        return True

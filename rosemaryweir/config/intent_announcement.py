"""Tell peers which failure domains a note is about to withdraw."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.config.recent_members import RecentMembers
from rosemaryweir.node.state import NodeUid
from rosemaryweir.schema.generated.control import Intent, Member

__all__ = ['IntentAnnouncement']

#: Time that peers get to acknowledge an announcement, in seconds.
ACK_TIMEOUT_S = 0.4

#: Peers that an announcement is sent to directly.
MAX_RECIPIENTS = 32


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
    intent_id : str
        Identifier of the intent that is not settled; empty without one.
    recent_members : Lately
        Who is asked.
    """

    def __init__(self, uid: NodeUid, rng: Random) -> None:
        self.intent_id = ''
        self.recent_members = RecentMembers()
        self._uid = uid
        self._rng = rng
        self._recipients: set[str] = set()
        self._unacknowledged: set[str] = set()
        self._started = 0.0
        self._rounds = 0

    @property
    def ack_deadline(self) -> float:
        """Time at which the round under way ends."""
        return self._started + ACK_TIMEOUT_S

    @property
    def all_acknowledged(self) -> bool:
        """Whether everyone asked has acknowledged."""
        return not self._unacknowledged

    @property
    def majority_acknowledged(self) -> bool:
        """Whether most know of the intent, this VM among them.

        With fewer, the store could go down right after the write, and those
        who were not informed would keep the failure domain in use.
        """
        informed = 1 + len(self._recipients) - len(self._unacknowledged)
        return 2 * informed > 1 + len(self._recipients)

    def begin(self, generation: int, domains: list[str], now: float) -> Intent:
        """Return the intent of a new round."""
        self._rounds += 1
        self._started = now
        self.intent_id = (
            f'{self._uid.vm}/{self._uid.incarnation}/{self._rounds}'
        )
        return Intent(
            note=self.intent_id,
            generation=generation,
            domains=domains,
            age_ms=0.0,
        )

    def choose_recipients(self, now: float) -> Iterator[Member]:
        """Yield who is to be informed in this round."""
        peers = [
            member
            for member in self.recent_members.members(now)
            if member['vm'] != self._uid.vm
        ]
        chosen = self._rng.sample(peers, min(MAX_RECIPIENTS, len(peers)))
        self._recipients = {member['vm'] for member in chosen}
        self._unacknowledged = set(self._recipients)
        yield from chosen

    def acknowledge(self, note: str, vm: str) -> bool:
        """Note that a peer knows an intent; return whether it is the latest."""
        if note != self.intent_id:
            return False
        self._unacknowledged.discard(vm)
        return True

"""Announce to peers which failure domains a note will withdraw."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.config.recent_members import RecentMembers
from rosemaryweir.node.state import NodeUid
from rosemaryweir.schema.generated.control import Intent, Member

__all__ = ['IntentAnnouncement']

#: Time that peers have to acknowledge an announcement, in seconds.
ACK_TIMEOUT_S = 0.4

#: Maximum number of peers that an announcement is sent to directly.
MAX_RECIPIENTS = 32


class IntentAnnouncement:
    """Announcement of one intent at a time and its acknowledgements.

    Parameters
    ----------
    uid : NodeUid
        Identity of the announcing agent.
    rng : random.Random
        Random source for the choice of recipients.

    Attributes
    ----------
    intent_id : str
        Identifier of the unsettled intent; empty if there is none.
    recent_members : RecentMembers
        Members that recipients are chosen from.
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
        """Time at which the current round ends."""
        return self._started + ACK_TIMEOUT_S

    @property
    def all_acknowledged(self) -> bool:
        """Whether all recipients have acknowledged the intent."""
        return not self._unacknowledged

    @property
    def majority_acknowledged(self) -> bool:
        """Whether a majority, this VM included, knows the intent.

        With fewer, the store could fail right after the write, and the VMs
        without the intent would keep the failure domain in use.
        """
        informed = 1 + len(self._recipients) - len(self._unacknowledged)
        return 2 * informed > 1 + len(self._recipients)

    def begin(self, generation: int, domains: list[str], now: float) -> Intent:
        """Start a new round and return its intent."""
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
        """Choose and yield the recipients of this round."""
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
        """Record an acknowledgement; return whether it is of this intent."""
        if note != self.intent_id:
            return False
        self._unacknowledged.discard(vm)
        return True

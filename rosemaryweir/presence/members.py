"""The VMs that are alive, by heartbeats that pass from VM to VM.

Every VM counts its own beats and tells others the counts that it knows; a VM
whose count no longer rises is gone.  A VM that leaves says so itself.
"""

from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

import msgspec

__all__ = ['BEAT_S', 'Beat', 'Members', 'Peer', 'PeerNews', 'pack', 'unpack']

#: Time between heartbeats, in seconds.
BEAT_S = 0.4
#: A VM that has been silent for this long gets no more callers, in seconds:
#: four beats, one of which may be lost.
SILENT_S = 1.7
#: A VM that has been silent for this long is forgotten, in seconds.
FORGOTTEN_S = 60.0
#: VMs that hear each beat.
FAN_OUT = 8
#: Other VMs that a beat tells of.
TOLD = 12


class PeerNews(msgspec.Struct, array_like=True, frozen=True):
    """What is known of a VM.

    Parameters
    ----------
    name, domain : str
        The VM and its failure domain.
    address, caller_address : str
        Where other VMs and callers reach it, ``ip:port``.
    incarnation : int
        Wall-clock time of its start in ms.
    beat : int
        Count of its heartbeats.
    ready, leaving : bool
        Whether it serves, and whether it is about to end.
    load : float
        Share of its processor that is in use.
    """

    name: str
    domain: str
    address: str
    caller_address: str
    incarnation: int
    beat: int
    ready: bool
    leaving: bool
    load: float


class Beat(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat.

    Parameters
    ----------
    sender : PeerNews
        Whose it is.
    newest : dict of str to int
        Revision of the newest change that it knows, by kind of object.
    others : list of PeerNews
        What it knows of other VMs.
    """

    sender: PeerNews
    newest: dict[str, int]
    others: list[PeerNews]


class Peer(NamedTuple):
    """A VM and when its count last rose."""

    news: PeerNews
    heard: float


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Beat)


def pack(beat: Beat) -> bytes:
    """Return the bytes of a heartbeat."""
    return _ENCODER.encode(beat)


def unpack(datagram: bytes) -> Beat | None:
    """Return a heartbeat, or None when the bytes are none.

    Examples
    --------
    >>> unpack(b'junk') is None
    True
    """
    try:
        return _DECODER.decode(datagram)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


class Members:
    """VMs as one VM sees them.

    Parameters
    ----------
    own : PeerNews
        This VM.
    rng : random.Random
        Chooses who hears a beat.
    """

    def __init__(self, own: PeerNews, rng: Random) -> None:
        self.own = own
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._leads: set[str] = set()

    def lead(self, addresses: Iterable[str]) -> None:
        """Take addresses where VMs may be found."""
        self._leads.update(addresses)
        self._leads.discard(self.own.address)

    def hear(self, beat: Beat, now: float) -> None:
        """Take a heartbeat."""
        for news in (beat.sender, *beat.others):
            self._take(news, now)

    def beat(
        self,
        ready: bool,
        leaving: bool,
        load: float,
        newest: dict[str, int],
        now: float,
    ) -> tuple[Beat, list[str]]:
        """Return the next heartbeat and the addresses it goes to."""
        self.own = msgspec.structs.replace(
            self.own,
            beat=self.own.beat + 1,
            ready=ready,
            leaving=leaving,
            load=round(load, 2),
        )
        others = [peer.news for peer in self._recent(now)]
        if len(others) > TOLD:
            others = self._rng.sample(others, TOLD)
        return Beat(self.own, newest, others), self._hearers(now)

    def alive(self, now: float) -> list[PeerNews]:
        """Return this VM and those heard of lately."""
        return [self.own, *(peer.news for peer in self._recent(now))]

    def serving(self, now: float) -> list[PeerNews]:
        """Return the VMs that callers may be sent to."""
        return [
            news
            for news in self.alive(now)
            if news.ready and not news.leaving
        ]

    def _take(self, news: PeerNews, now: float) -> None:
        if news.name == self.own.name:
            return
        known = self._peers.get(news.name)
        age = (news.incarnation, news.beat)
        if known and age <= (known.news.incarnation, known.news.beat):
            return
        self._peers[news.name] = Peer(news, now)

    def _recent(self, now: float) -> list[Peer]:
        return [
            peer
            for peer in self._peers.values()
            if now - peer.heard < SILENT_S
        ]

    def _hearers(self, now: float) -> list[str]:
        forgotten = [
            name
            for name, peer in self._peers.items()
            if now - peer.heard > FORGOTTEN_S
        ]
        for name in forgotten:
            self._peers.pop(name)
        known = {peer.news.address for peer in self._peers.values()}
        self._leads -= known
        return [
            *self._some(sorted(known), FAN_OUT),
            *self._some(sorted(self._leads), 2),
        ]

    def _some(self, addresses: Sequence[str], most: int) -> Sequence[str]:
        if len(addresses) <= most:
            return addresses
        return self._rng.sample(addresses, most)

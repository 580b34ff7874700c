"""The VMs that are alive, by heartbeats that pass from VM to VM.

Every VM counts its own beats and tells others the counts that it knows; a VM
whose count no longer rises is gone.  A VM that leaves says so itself.
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b
from itertools import chain
from math import log2
from random import Random
from typing import NamedTuple, TypeVar

import msgspec

__all__ = [
    'HEARTBEAT_INTERVAL_S',
    'VmHeartbeat',
    'PeerTable',
    'PeerRecord',
    'VmState',
    'abandoned',
    'encode_heartbeat',
    'silence',
    'decode_heartbeat',
]

#: Time between heartbeats, in seconds.
HEARTBEAT_INTERVAL_S = 0.5
#: A VM that has been silent for this long gets no more callers, in seconds:
#: four beats, one of which may be lost.
SILENT_S = 2.2
#: News passes on from VM to VM where not all hear each beat: it needs this
#: much longer each time that there are twice as many, in seconds.
SPREAD_S = 0.4
#: A VM that has been silent for this long is forgotten, in seconds.
FORGOTTEN_S = 60.0
#: A silent VM keeps its part in what all VMs may do together for this long, in
#: seconds: two windows of the allowance of extra sends.
SHARING_S = 20.0
#: VMs that hear each beat.
FAN_OUT = 8
#: The same in the own failure domain.
NEAR_FAN_OUT = 6
#: Beats that leave a failure domain in all, each time its VMs beat: any of
#: them tells what all know, and bytes between failure domains are dear.
FAR_BEATS = 6
#: Such beats of one VM at least, while VMs are still being found.
FAR_WHILE_NEW = 2
#: Other VMs that a beat tells of in full.
TOLD = 4
#: The same while VMs are still being found.
TOLD_WHILE_NEW = 20
#: How long after the last new one that is, in seconds.
NEW_S = 3.0
#: Leads that hear each beat: VMs that were named but never heard.
LEADS = 6
#: Other VMs whose counts a beat tells.
COUNTED = 200
#: VMs that follow one kind of object in the store; the others hear from them.
FOLLOWERS = 2


class VmState(msgspec.Struct, array_like=True, frozen=True):
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
    capacity : float
        Processor cores that it has, counted as cores of the usual speed.
    follows : tuple of str
        Kinds of objects that the store tells it of at the moment.
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
    capacity: float = 1.0
    follows: tuple[str, ...] = ()


class VmHeartbeat(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat.

    Parameters
    ----------
    sender : VmState
        Whose it is.
    newest : dict of str to int
        Revision of the newest change that it knows, by kind of object.
    others : list of VmState
        What it knows of some other VMs.
    counts : dict of int to int
        Counts of all other VMs, by their keys.
    slow : dict of str to float
        Targets that it saw to be slow, and how many times slower.
    """

    sender: VmState
    newest: dict[str, int]
    others: list[VmState]
    counts: dict[int, int]
    slow: dict[str, float] = {}


class PeerRecord(NamedTuple):
    """A VM, its highest count, and when that last rose."""

    news: VmState
    beat: int
    heard: float


def silence(vms: int) -> float:
    """Return how long a VM may be silent, in seconds.

    Examples
    --------
    >>> silence(9), round(silence(72), 1)
    (2.2, 3.4)
    """
    heard_by = FAN_OUT + 1
    return SILENT_S + SPREAD_S * max(0, log2(vms / heard_by))


def abandoned(listed: Iterable[str], heard: Iterable[str]) -> set[str]:
    """Return the VMs that are registered and gone for good.

    None where fewer than half of those registered were heard: then it may be
    this VM that the others can't reach.

    Parameters
    ----------
    listed : iterable of str
        Names of registered VMs.
    heard : iterable of str
        Names of VMs that were heard lately.

    Examples
    --------
    >>> abandoned(['a', 'b', 'c'], ['a', 'b'])
    {'c'}
    >>> abandoned(['a', 'b', 'c'], ['a'])
    set()
    """
    names = set(listed)
    silent = names.difference(heard)
    return silent if len(silent) * 2 < len(names) else set()


def _key(news: VmState) -> int:
    """Return a short name of one incarnation of a VM."""
    text = f'{news.name}/{news.incarnation}'.encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest())


def _rank(kind: str, name: str) -> bytes:
    return blake2b(f'{kind}/{name}'.encode(), digest_size=8).digest()


Item = TypeVar('Item')
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(VmHeartbeat)


def encode_heartbeat(beat: VmHeartbeat) -> bytes:
    """Return the bytes of a heartbeat."""
    return _ENCODER.encode(beat)


def decode_heartbeat(datagram: bytes) -> VmHeartbeat | None:
    """Return a heartbeat, or None when the bytes are none.

    Examples
    --------
    >>> decode_heartbeat(b'junk') is None
    True
    """
    try:
        return _DECODER.decode(datagram)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


class PeerTable:
    """VMs as one VM sees them.

    Parameters
    ----------
    own : VmState
        This VM.
    rng : random.Random
        Chooses who hears a beat.
    """

    def __init__(self, own: VmState, rng: Random) -> None:
        self.own = own
        self._rng = rng
        self._peers: dict[str, PeerRecord] = {}
        self._names: dict[int, str] = {}
        self._found = float('-inf')
        self._leads: set[str] = set()

    def lead(self, addresses: Iterable[str]) -> None:
        """Take addresses where VMs may be found."""
        self._leads.update(addresses)
        self._leads.discard(self.own.address)

    def hear(self, beat: VmHeartbeat, now: float) -> frozenset[str]:
        """Take a heartbeat; return the kinds that its news says are followed.

        A kind is followed while the store tells some VM of it.
        """
        told = (beat.sender, *beat.others)
        fresh = [news for news in told if self._take(news, now)]
        for key, count in beat.counts.items():
            self._count(key, count, now)
        return frozenset(chain.from_iterable(news.follows for news in fresh))

    def beat(
        self,
        ready: bool,
        leaving: bool,
        load: float,
        follows: tuple[str, ...],
        newest: dict[str, int],
        slow: dict[str, float],
        now: float,
    ) -> tuple[VmHeartbeat, list[str]]:
        """Return the next heartbeat and the addresses it goes to."""
        self.own = msgspec.structs.replace(
            self.own,
            beat=self.own.beat + 1,
            ready=ready,
            leaving=leaving,
            load=round(load, 2),
            follows=follows,
        )
        recent = self._recent(now)
        told = TOLD_WHILE_NEW if now - self._found < NEW_S else TOLD
        others = self._sample([peer.news for peer in recent], told)
        counts = {
            _key(peer.news): peer.beat for peer in self._sample(recent, COUNTED)
        }
        beat = VmHeartbeat(self.own, newest, list(others), counts, slow)
        return beat, self._hearers(now, everyone=leaving)

    def alive(self, now: float) -> list[VmState]:
        """Return this VM and those heard of lately."""
        return [self.own, *(peer.news for peer in self._recent(now))]

    def known(self, now: float) -> list[VmState]:
        """Return this VM and all that may share what targets bear.

        Those that fell silent lately are among them: they may be cut off
        from this VM only, and spend their part all the same.
        """
        return [
            self.own,
            *(
                peer.news
                for peer in self._peers.values()
                if now - peer.heard < SHARING_S and not peer.news.leaving
            ),
        ]

    def serving(self, now: float) -> list[VmState]:
        """Return the VMs that callers may be sent to."""
        return [
            news for news in self.alive(now) if news.ready and not news.leaving
        ]

    def should_follow(self, kind: str, now: float) -> bool:
        """Return whether this VM is to follow a kind of object in the store.

        The first few by rank do, of those that the store answers; each kind
        ranks the VMs in another order.
        """
        own = _rank(kind, self.own.name)
        before = [
            peer
            for peer in self._recent(now)
            if kind in peer.news.follows
            and not peer.news.leaving
            and _rank(kind, peer.news.name) < own
        ]
        return len(before) < FOLLOWERS

    def _take(self, news: VmState, now: float) -> bool:
        """Take what is told of a VM; return whether it is news."""
        if news.name == self.own.name:
            return False
        known = self._peers.get(news.name)
        if known is None or news.incarnation > known.news.incarnation:
            self._found = now
            self._names[_key(news)] = news.name
            self._peers[news.name] = PeerRecord(news, news.beat, now)
            return True
        if news.incarnation < known.news.incarnation:
            return False
        later = news.beat > known.news.beat
        if later:
            self._peers[news.name] = known._replace(news=news)
        self._count(_key(news), news.beat, now)
        return later

    def _count(self, key: int, count: int, now: float) -> None:
        known = self._peers.get(self._names.get(key, ''))
        if known and _key(known.news) == key and count > known.beat:
            self._peers[known.news.name] = known._replace(
                beat=count,
                heard=now,
            )

    def _recent(self, now: float) -> list[PeerRecord]:
        return [
            peer for peer in self._peers.values() if now - peer.heard < SILENT_S
        ]

    def _hearers(self, now: float, everyone: bool) -> list[str]:
        forgotten = [
            name
            for name, peer in self._peers.items()
            if now - peer.heard > FORGOTTEN_S
        ]
        for name in forgotten:
            self._names.pop(_key(self._peers.pop(name).news), None)
        peers = [peer.news for peer in self._peers.values()]
        self._leads.difference_update(news.address for news in peers)
        leads = self._sample(sorted(self._leads), LEADS)
        if everyone:
            return [*(news.address for news in peers), *leads]
        near = [vm.address for vm in peers if vm.domain == self.own.domain]
        far = [vm.address for vm in peers if vm.domain != self.own.domain]
        return [
            *self._sample(near, NEAR_FAN_OUT),
            *self._sample(far, self._far_beats(now)),
            *leads,
        ]

    def _far_beats(self, now: float) -> int:
        """Return this VM's part of the beats that leave its failure domain."""
        sharing = sum(vm.domain == self.own.domain for vm in self.alive(now))
        part = FAR_BEATS / sharing
        if now - self._found < NEW_S:
            part = max(part, FAR_WHILE_NEW)
        # Rounded by chance, so that the parts add up.
        return int(part + self._rng.random())

    def _sample(self, crowd: Sequence[Item], most: int) -> Sequence[Item]:
        if len(crowd) <= most:
            return crowd
        return self._rng.sample(crowd, most)

"""Detect which VMs are alive from gossiped heartbeats.

Every VM counts its own heartbeats and passes on the counters that it knows.
A VM whose counter no longer rises is considered gone.  A VM that shuts down
announces it in its heartbeats.
"""

import re
from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b
from itertools import chain
from math import isfinite, log2
from random import Random
from typing import NamedTuple, TypeVar

import msgspec

from rosemaryweir.catalog.table import TableSummary
from rosemaryweir.presence.news import NewsQueue

__all__ = [
    'HEARTBEAT_INTERVAL_S',
    'heartbeat_interval',
    'VmHeartbeat',
    'PeerTable',
    'PeerRecord',
    'VmState',
    'find_abandoned',
    'encode_heartbeat',
    'is_address',
    'is_valid_state',
    'silence_limit',
    'decode_heartbeat',
]

#: Time between heartbeats, in seconds.
HEARTBEAT_INTERVAL_S = 0.5
#: The same in the first `EARLY_S` seconds after the start of a VM, which has
#: to find the others.
EARLY_INTERVAL_S = 0.2
EARLY_S = 2.0
#: A VM of a small fleet that has been silent for this long gets no new
#: callers, in seconds: four heartbeats, one of which may be lost.
BASE_SILENCE_LIMIT_S = 2.2
#: Number of VMs of a fleet that counts as small: most heartbeats reach it
#: directly.
SMALL_FLEET = 9
#: Longer silence that is normal with each doubling of the number of VMs, in
#: seconds: beyond `SMALL_FLEET`, counters reach some VMs by relay only.
SILENCE_PER_DOUBLING_S = 0.4
#: A VM that has been silent for longer is dropped from the table, in seconds.
FORGET_AFTER_S = 60.0
#: A silent VM still counts in the division of the retry budget for this long,
#: in seconds: two windows of the budget.
POSSIBLY_ALIVE_S = 20.0
#: VMs of the sender's own failure domain that receive each heartbeat.
LOCAL_FAN_OUT = 5
#: Heartbeats that leave a failure domain per interval, from all its VMs
#: together: each carries what all of them know, and traffic between failure
#: domains is expensive.
REMOTE_FAN_OUT_PER_DOMAIN = 6
#: VMs that are answered with the next heartbeat because they have just
#: started, or have just been heard for the first time.
GREETINGS_PER_HEARTBEAT = 4
#: States of other VMs that have changed, in each heartbeat.
NEWS_PER_HEARTBEAT = 16
#: States of other VMs in each heartbeat if fewer have changed: loads that the
#: directory weighs.
STATES_PER_HEARTBEAT = 3
#: Addresses of unknown failure domain, such as seeds, that receive each
#: heartbeat.
CANDIDATES_PER_HEARTBEAT = 2
#: Counters of other VMs in each heartbeat: bounds its size in a large fleet.
COUNTERS_PER_HEARTBEAT = 64
#: Share of the counters of a heartbeat whose VMs are unknown above which this
#: VM asks the sender for all the states that it knows.
MAX_UNKNOWN_SHARE = 0.1
#: Least time between two such requests, in seconds.
REQUEST_INTERVAL_S = 0.6
#: VMs that watch one kind of object in the store; the others get its changes
#: from them.
WATCHERS_PER_KIND = 2


class VmState(msgspec.Struct, array_like=True, frozen=True):
    """State of a VM, as it describes itself.

    Sent as an array: the order of the fields is part of the protocol.

    Parameters
    ----------
    name, domain : str
        The VM and its failure domain.
    address, front_address : str
        Where it receives heartbeats and callers' requests, ``ip:port``.
    incarnation : int
        Wall-clock time of its start in ms.
    counter : int
        Number of heartbeats that it has sent.
    ready, leaving : bool
        Whether it serves, and whether it is shutting down.
    load : float
        Share of its processor that is in use.
    capacity : float
        Processor cores, in cores of standard speed.
    watched_kinds : tuple of str
        Kinds of objects that it watches, and about which the store answers
        it.
    """

    name: str
    domain: str
    address: str
    front_address: str
    incarnation: int
    counter: int
    ready: bool
    leaving: bool
    load: float
    capacity: float = 1.0
    watched_kinds: tuple[str, ...] = ()


class VmHeartbeat(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat.

    Sent as an array: the order of the fields is part of the protocol.

    Parameters
    ----------
    sender : VmState
        State of the sender.
    newest_revisions : dict of str to int
        Revision of the newest change that the sender knows, by kind of
        object.
    peer_states : list of VmState
        Newest known states of some other VMs.
    counters : dict of int to int
        Heartbeat counters of other VMs, by the keys of their incarnations.
    slow_targets : dict of str to float
        Targets that the sender observed to be slow, and by what factor.
    tables : dict of str to TableSummary
        The sender's tables, by kind of object; empty if it leaves.
    """

    sender: VmState
    newest_revisions: dict[str, int]
    peer_states: list[VmState]
    counters: dict[int, int]
    slow_targets: dict[str, float] = {}
    tables: dict[str, TableSummary] = {}


class PeerRecord(NamedTuple):
    """Newest known state and counter of a VM, and when the counter rose."""

    state: VmState
    counter: int
    heard_at: float


def heartbeat_interval(age: float) -> float:
    """Return the time until the next heartbeat of a VM, in seconds.

    Parameters
    ----------
    age : float
        Time since the start of the VM, in seconds.
    """
    return EARLY_INTERVAL_S if age < EARLY_S else HEARTBEAT_INTERVAL_S


def silence_limit(vms: int) -> float:
    """Return how long a live VM may be silent, in seconds.

    Parameters
    ----------
    vms : int
        Number of VMs.

    Examples
    --------
    >>> silence_limit(9), round(silence_limit(72), 1)
    (2.2, 3.4)
    """
    return BASE_SILENCE_LIMIT_S + SILENCE_PER_DOUBLING_S * max(
        0, log2(max(1, vms) / SMALL_FLEET)
    )


def find_abandoned(listed: Iterable[str], heard: Iterable[str]) -> set[str]:
    """Return the registered VMs that are gone for good.

    Empty unless more than half of the registered VMs were heard: otherwise
    it may be this VM that is cut off from the others.

    Parameters
    ----------
    listed : iterable of str
        Names of registered VMs.
    heard : iterable of str
        Names of VMs that were heard recently.

    Examples
    --------
    >>> find_abandoned(['a', 'b', 'c'], ['a', 'b'])
    {'c'}
    >>> find_abandoned(['a', 'b', 'c'], ['a'])
    set()
    """
    names = set(listed)
    silent = names.difference(heard)
    return silent if len(silent) * 2 < len(names) else set()


def _incarnation_key(state: VmState) -> int:
    """Return a short hash that identifies one incarnation of a VM."""
    text = f'{state.name}/{state.incarnation}'.encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest())


def _rank(kind: str, name: str) -> bytes:
    return blake2b(f'{kind}/{name}'.encode(), digest_size=8).digest()


Item = TypeVar('Item')
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(VmHeartbeat)
_OCTET = '(25[0-5]|2[0-4][0-9]|1?[0-9]{1,2})'
_ADDRESS = re.compile(rf'({_OCTET}[.]){{3}}{_OCTET}:(?P<port>[0-9]{{1,5}})')
MAX_PORT = 65535
#: Addresses whose check is remembered.
MAX_KNOWN_ADDRESSES = 2048


def encode_heartbeat(heartbeat: VmHeartbeat) -> bytes:
    """Return a heartbeat as a datagram."""
    return _ENCODER.encode(heartbeat)


def decode_heartbeat(datagram: bytes) -> VmHeartbeat | None:
    """Return the heartbeat in a datagram; None if it is malformed.

    Examples
    --------
    >>> decode_heartbeat(b'junk') is None
    True
    """
    try:
        heartbeat = _DECODER.decode(datagram)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    states = (heartbeat.sender, *heartbeat.peer_states)
    return heartbeat if all(map(is_valid_state, states)) else None


def is_valid_state(state: VmState) -> bool:
    """Return whether messages can be sent to the addresses of a state.

    A state with another address would fail each sender that it reaches.

    Examples
    --------
    >>> state = VmState('a', 'd', '10.0.0.1:7740', '', 1, 1, True, False, 0)
    >>> is_valid_state(state)
    True
    >>> is_valid_state(msgspec.structs.replace(state, address='10.0.0.1'))
    False
    """
    finite = isfinite(state.load) and isfinite(state.capacity)
    front_valid = not state.front_address or is_address(state.front_address)
    return finite and front_valid and is_address(state.address)


@lru_cache(MAX_KNOWN_ADDRESSES)
def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port, ``ip:port``.

    Examples
    --------
    >>> is_address('10.0.0.1:7740'), is_address('10.0.0.1:77400')
    (True, False)
    """
    found = _ADDRESS.fullmatch(text)
    return found is not None and int(found['port']) <= MAX_PORT


class PeerTable:
    """The VMs that one VM knows, with the newest state of each.

    Parameters
    ----------
    own : VmState
        State of this VM.
    rng : random.Random
        Chooses the recipients and contents of heartbeats.
    """

    def __init__(self, own: VmState, rng: Random) -> None:
        self.own = own
        self._rng = rng
        self._peers: dict[str, PeerRecord] = {}
        self._names_by_key: dict[int, str] = {}
        self._domains: dict[str, str] = {}
        #: Failure domains of addresses without a known VM; empty if unknown.
        self._candidates: dict[str, str] = {}
        self._news = NewsQueue()
        self._to_greet: dict[str, None] = {}
        self._requested_at = float('-inf')

    def add_candidates(
        self, addresses: Iterable[str], domain: str = ''
    ) -> None:
        """Add addresses where other VMs may be found.

        Parameters
        ----------
        addresses : iterable of str
            Where they receive heartbeats, ``ip:port``; any other text is
            ignored.
        domain : str
            Their failure domain; empty if unknown.
        """
        self._candidates.update(
            (address, domain)
            for address in addresses
            if address != self.own.address
            and address not in self._domains
            and is_address(address)
        )

    def domain_of(self, address: str) -> str:
        """Return the failure domain of a VM; empty if it is unknown."""
        return self._domains.get(address) or self._candidates.get(address, '')

    def receive(self, heartbeat: VmHeartbeat, now: float) -> frozenset[str]:
        """Merge a heartbeat; return the kinds watched by VMs with new states.

        A VM lists a kind only while the store answers its watch of it.
        """
        sender = heartbeat.sender
        known = self._peers.get(sender.name)
        if known is None or known.state.incarnation != sender.incarnation:
            self._to_greet[sender.address] = None
        if known is not None and sender.incarnation < known.state.incarnation:
            # Its wall clock went back before it restarted.
            self._news.add(sender.name)
        updated = self.merge_states((sender, *heartbeat.peer_states), now)
        for key, counter in heartbeat.counters.items():
            self._merge_counter(key, counter, now)
        return frozenset(
            chain.from_iterable(state.watched_kinds for state in updated)
        )

    def merge_states(
        self, states: Iterable[VmState], now: float
    ) -> list[VmState]:
        """Merge states of VMs; return those that were newer."""
        return [state for state in states if self._merge_state(state, now)]

    def merge_all_states(self, states: Iterable[VmState], now: float) -> None:
        """Merge all states that another VM knows.

        This VM does not pass them on: the other one has done so.
        """
        passing_on = self._news
        self._news = NewsQueue()
        self.merge_states(states, now)
        self._news = passing_on

    def next_heartbeat(
        self,
        ready: bool,
        leaving: bool,
        load: float,
        watched_kinds: tuple[str, ...],
        newest_revisions: dict[str, int],
        slow_targets: dict[str, float],
        now: float,
    ) -> tuple[VmHeartbeat, list[str]]:
        """Return the next heartbeat and the addresses of its recipients.

        The last heartbeat before this VM leaves goes to all VMs and is small.
        Others go to VMs of the own failure domain and to those that have just
        started; `remote_heartbeat` returns the one for other domains.
        """
        self.own = msgspec.structs.replace(
            self.own,
            counter=self.own.counter + 1,
            ready=ready,
            leaving=leaving,
            load=round(load, 2),
            watched_kinds=watched_kinds,
        )
        self._forget_silent(now)
        if leaving:
            heartbeat = VmHeartbeat(self.own, newest_revisions, [], {})
            return heartbeat, [*self._domains, *self._candidates]
        recent = self._recent_peers(now)
        heartbeat = VmHeartbeat(
            self.own,
            newest_revisions,
            self._states_to_send(recent),
            self._counters(recent),
            slow_targets,
        )
        return heartbeat, self._local_recipients()

    def remote_heartbeat(
        self, heartbeat: VmHeartbeat, now: float
    ) -> tuple[VmHeartbeat, Sequence[str]]:
        """Return a heartbeat as it goes to other failure domains.

        It tells of the VMs of the own failure domain, of which the recipients
        hear less, and goes to few VMs, mostly to none.
        """
        addresses = self._remote_recipients()
        if not addresses:
            return heartbeat, addresses
        near = [
            peer
            for peer in self._recent_peers(now)
            if peer.state.domain == self.own.domain
        ]
        remote = msgspec.structs.replace(
            heartbeat, counters=self._counters(near)
        )
        return remote, addresses

    def should_request_states(self, heartbeat: VmHeartbeat, now: float) -> bool:
        """Return whether to ask the sender for all states that it knows.

        A VM that has just started would take long to learn of a large fleet
        from the few states in each heartbeat.
        """
        if now - self._requested_at < REQUEST_INTERVAL_S:
            return False
        unknown = heartbeat.counters.keys() - self._names_by_key.keys()
        unknown.discard(_incarnation_key(self.own))
        due = len(unknown) > MAX_UNKNOWN_SHARE * len(heartbeat.counters)
        if due:
            self._requested_at = now
        return due

    def known_states(self, now: float) -> list[VmState]:
        """Return the states of all VMs alive, with their newest counters."""
        return [
            self.own,
            *(
                msgspec.structs.replace(peer.state, counter=peer.counter)
                for peer in self._recent_peers(now)
            ),
        ]

    def alive(self, now: float) -> list[VmState]:
        """Return this VM and those that were heard recently."""
        return [self.own, *(peer.state for peer in self._recent_peers(now))]

    def possibly_alive(self, now: float) -> list[VmState]:
        """Return this VM and all that may still send to targets.

        Includes VMs that fell silent a short time ago: they may be cut off
        from this VM only, and still spend their share of the retry budget.
        """
        return [
            self.own,
            *(
                peer.state
                for peer in self._peers.values()
                if now - peer.heard_at < POSSIBLY_ALIVE_S
                and not peer.state.leaving
            ),
        ]

    def serving(self, now: float) -> list[VmState]:
        """Return the VMs that callers may be sent to."""
        return [
            state
            for state in self.alive(now)
            if state.ready and not state.leaving
        ]

    def should_watch(self, kind: str, now: float) -> bool:
        """Return whether this VM is to watch a kind of object in the store.

        True unless `WATCHERS_PER_KIND` VMs of lower rank watch it.  The rank
        depends on the kind, so that different VMs watch different kinds.
        """
        own = _rank(kind, self.own.name)
        before = [
            peer
            for peer in self._recent_peers(now)
            if kind in peer.state.watched_kinds
            and not peer.state.leaving
            and _rank(kind, peer.state.name) < own
        ]
        return len(before) < WATCHERS_PER_KIND

    def _merge_state(self, state: VmState, now: float) -> bool:
        """Merge the state of a VM; return whether it was newer."""
        if state.name == self.own.name:
            self._outlive(state)
            return False
        known = self._peers.get(state.name)
        if known is None or state.incarnation > known.state.incarnation:
            self._names_by_key[_incarnation_key(state)] = state.name
            self._domains[state.address] = state.domain
            self._candidates.pop(state.address, None)
            self._peers[state.name] = PeerRecord(state, state.counter, now)
            self._news.add(state.name)
            return True
        if state.incarnation < known.state.incarnation:
            return False
        newer = state.counter > known.state.counter
        if newer:
            self._peers[state.name] = known._replace(state=state)
            if _changes_role(known.state, state):
                self._news.add(state.name)
        self._merge_counter(_incarnation_key(state), state.counter, now)
        return newer

    def _outlive(self, state: VmState) -> None:
        """Take a higher incarnation than other VMs know of this one.

        The incarnation is the wall-clock time of the start: if the clock was
        set back before a restart, others would ignore the new incarnation.
        """
        if state.incarnation > self.own.incarnation:
            self.own = msgspec.structs.replace(
                self.own, incarnation=state.incarnation + 1
            )

    def _merge_counter(self, key: int, received: int, now: float) -> None:
        known = self._peers.get(self._names_by_key.get(key, ''))
        if (
            known
            and _incarnation_key(known.state) == key
            and received > known.counter
        ):
            self._peers[known.state.name] = known._replace(
                counter=received,
                heard_at=now,
            )

    def _recent_peers(self, now: float) -> list[PeerRecord]:
        limit = silence_limit(len(self._peers) + 1)
        return [
            peer for peer in self._peers.values() if now - peer.heard_at < limit
        ]

    def _states_to_send(self, recent: Sequence[PeerRecord]) -> list[VmState]:
        """Return changed states, and some others to renew their loads."""
        changed = [
            self._peers[name].state
            for name in self._news.take(NEWS_PER_HEARTBEAT)
            if name in self._peers
        ]
        others = self._sample(
            recent, max(0, STATES_PER_HEARTBEAT - len(changed))
        )
        return [*changed, *(peer.state for peer in others)]

    def _counters(self, peers: Sequence[PeerRecord]) -> dict[int, int]:
        return {
            _incarnation_key(peer.state): peer.counter
            for peer in self._sample(peers, COUNTERS_PER_HEARTBEAT)
        }

    def _local_recipients(self) -> list[str]:
        local = [
            address
            for address, domain in self._all_addresses()
            if domain == self.own.domain
        ]
        unplaced = [
            address for address, domain in self._all_addresses() if not domain
        ]
        greeted = list(self._to_greet)[:GREETINGS_PER_HEARTBEAT]
        for address in greeted:
            self._to_greet.pop(address)
        chosen = chain(
            greeted,
            self._sample(local, LOCAL_FAN_OUT),
            self._sample(unplaced, CANDIDATES_PER_HEARTBEAT),
        )
        return list(dict.fromkeys(chosen))

    def _remote_recipients(self) -> Sequence[str]:
        """Return the recipients in other failure domains."""
        domains = dict(self._all_addresses())
        own = self.own.domain
        sharing = 1 + sum(domain == own for domain in domains.values())
        part = REMOTE_FAN_OUT_PER_DOMAIN / sharing
        # Random rounding: the sum over all VMs keeps its expected value.
        fan_out = int(part + self._rng.random())
        if not fan_out:
            return ()
        remote = [
            address
            for address, domain in domains.items()
            if domain not in {own, ''}
        ]
        return self._sample(remote, fan_out)

    def _all_addresses(self) -> Iterable[tuple[str, str]]:
        """Return addresses and failure domains, of candidates as well."""
        return chain(self._domains.items(), self._candidates.items())

    def _forget_silent(self, now: float) -> None:
        forgotten = [
            name
            for name, peer in self._peers.items()
            if now - peer.heard_at > FORGET_AFTER_S
        ]
        for name in forgotten:
            state = self._peers.pop(name).state
            self._names_by_key.pop(_incarnation_key(state), None)
            self._domains.pop(state.address, None)

    def _sample(self, items: Sequence[Item], limit: int) -> Sequence[Item]:
        if len(items) <= limit:
            return items
        return self._rng.sample(items, limit)


def _changes_role(known: VmState, state: VmState) -> bool:
    """Return whether other VMs are to treat a VM differently."""
    return (known.ready, known.leaving, known.watched_kinds) != (
        state.ready,
        state.leaving,
        state.watched_kinds,
    )

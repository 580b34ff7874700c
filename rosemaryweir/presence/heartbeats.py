"""Detect which VMs are alive from gossiped heartbeats.

Every VM counts its own heartbeats and passes on the counters that it knows.
A VM whose counter no longer rises is considered gone.  A VM that shuts down
announces it in its heartbeats.
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
    'find_abandoned',
    'encode_heartbeat',
    'silence_limit',
    'decode_heartbeat',
]

#: Time between heartbeats, in seconds.
HEARTBEAT_INTERVAL_S = 0.5
#: A VM that has been silent for this long gets no new callers, in seconds:
#: four heartbeats, one of which may be lost.
SILENCE_LIMIT_S = 2.2
#: Longer silence that is normal with each doubling of the number of VMs, in
#: seconds: beyond `HEARTBEAT_FAN_OUT`, counters reach some VMs by relay only.
SILENCE_PER_DOUBLING_S = 0.4
#: A VM that has been silent for longer is dropped from the table, in seconds.
FORGET_AFTER_S = 60.0
#: A silent VM still counts in the division of the retry budget for this long,
#: in seconds: two windows of the budget.
POSSIBLY_ALIVE_S = 20.0
#: VMs that receive each heartbeat.
HEARTBEAT_FAN_OUT = 8
#: Those of them in the sender's own failure domain.
LOCAL_FAN_OUT = 6
#: Heartbeats that leave a failure domain per interval, from all its VMs
#: together: each carries what all of them know, and traffic between failure
#: domains is expensive.
REMOTE_FAN_OUT_PER_DOMAIN = 6
#: Least number of these from each VM during discovery.
MIN_REMOTE_DURING_DISCOVERY = 2
#: States of other VMs in each heartbeat.
STATES_PER_HEARTBEAT = 4
#: States of other VMs in each heartbeat during discovery.
STATES_DURING_DISCOVERY = 20
#: Time that discovery lasts after the last new VM was found, in seconds.
DISCOVERY_S = 3.0
#: Addresses without a known VM, such as seeds, that receive each heartbeat.
CANDIDATES_PER_HEARTBEAT = 6
#: Counters of other VMs in each heartbeat.
COUNTERS_PER_HEARTBEAT = 200
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
    """

    sender: VmState
    newest_revisions: dict[str, int]
    peer_states: list[VmState]
    counters: dict[int, int]
    slow_targets: dict[str, float] = {}


class PeerRecord(NamedTuple):
    """Newest known state and counter of a VM, and when the counter rose."""

    state: VmState
    counter: int
    heard_at: float


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
    heard_by = HEARTBEAT_FAN_OUT + 1
    return SILENCE_LIMIT_S + SILENCE_PER_DOUBLING_S * max(
        0, log2(vms / heard_by)
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
        return _DECODER.decode(datagram)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


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
        self._last_discovery = float('-inf')
        self._candidates: set[str] = set()

    def add_candidates(self, addresses: Iterable[str]) -> None:
        """Add addresses where other VMs may be found."""
        self._candidates.update(addresses)
        self._candidates.discard(self.own.address)

    def receive(self, heartbeat: VmHeartbeat, now: float) -> frozenset[str]:
        """Merge a heartbeat; return the kinds watched by VMs with new states.

        A VM lists a kind only while the store answers its watch of it.
        """
        states = (heartbeat.sender, *heartbeat.peer_states)
        updated = [state for state in states if self._merge_state(state, now)]
        for key, counter in heartbeat.counters.items():
            self._merge_counter(key, counter, now)
        return frozenset(
            chain.from_iterable(state.watched_kinds for state in updated)
        )

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
        """Return the next heartbeat and the addresses of its recipients."""
        self.own = msgspec.structs.replace(
            self.own,
            counter=self.own.counter + 1,
            ready=ready,
            leaving=leaving,
            load=round(load, 2),
            watched_kinds=watched_kinds,
        )
        recent = self._recent_peers(now)
        state_count = (
            STATES_DURING_DISCOVERY
            if now - self._last_discovery < DISCOVERY_S
            else STATES_PER_HEARTBEAT
        )
        states = self._sample([peer.state for peer in recent], state_count)
        counters = {
            _incarnation_key(peer.state): peer.counter
            for peer in self._sample(recent, COUNTERS_PER_HEARTBEAT)
        }
        heartbeat = VmHeartbeat(
            self.own,
            newest_revisions,
            list(states),
            counters,
            slow_targets,
        )
        return heartbeat, self._recipients(now, everyone=leaving)

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
            return False
        known = self._peers.get(state.name)
        if known is None or state.incarnation > known.state.incarnation:
            self._last_discovery = now
            self._names_by_key[_incarnation_key(state)] = state.name
            self._peers[state.name] = PeerRecord(state, state.counter, now)
            return True
        if state.incarnation < known.state.incarnation:
            return False
        newer = state.counter > known.state.counter
        if newer:
            self._peers[state.name] = known._replace(state=state)
        self._merge_counter(_incarnation_key(state), state.counter, now)
        return newer

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
        return [
            peer
            for peer in self._peers.values()
            if now - peer.heard_at < SILENCE_LIMIT_S
        ]

    def _recipients(self, now: float, everyone: bool) -> list[str]:
        forgotten = [
            name
            for name, peer in self._peers.items()
            if now - peer.heard_at > FORGET_AFTER_S
        ]
        for name in forgotten:
            self._names_by_key.pop(
                _incarnation_key(self._peers.pop(name).state),
                None,
            )
        peers = [peer.state for peer in self._peers.values()]
        self._candidates.difference_update(state.address for state in peers)
        candidates = self._sample(
            sorted(self._candidates),
            CANDIDATES_PER_HEARTBEAT,
        )
        if everyone:
            return [*(state.address for state in peers), *candidates]
        local = [vm.address for vm in peers if vm.domain == self.own.domain]
        remote = [vm.address for vm in peers if vm.domain != self.own.domain]
        return [
            *self._sample(local, LOCAL_FAN_OUT),
            *self._sample(remote, self._remote_fan_out(now)),
            *candidates,
        ]

    def _remote_fan_out(self, now: float) -> int:
        """Return how many heartbeats this VM sends to other domains."""
        sharing = sum(vm.domain == self.own.domain for vm in self.alive(now))
        part = REMOTE_FAN_OUT_PER_DOMAIN / sharing
        if now - self._last_discovery < DISCOVERY_S:
            part = max(part, MIN_REMOTE_DURING_DISCOVERY)
        # Random rounding: the sum over all VMs keeps its expected value.
        return int(part + self._rng.random())

    def _sample(self, items: Sequence[Item], limit: int) -> Sequence[Item]:
        if len(items) <= limit:
            return items
        return self._rng.sample(items, limit)

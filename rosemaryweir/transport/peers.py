"""The Peer port over zmq: one socket in, one socket out per peer.

Nothing queues for a peer that is not there: sockets take a message only for
a standing connection, and what can't leave waits here, bounded, until its
deadline.  A message that arrives stale, malformed, of an unknown kind or from
an earlier incarnation of its sender is counted and dropped.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import Any

import zmq
from returns.pipeline import is_successful

from rosemaryweir.node.action import SendPeer
from rosemaryweir.node.event import Event, PeerMessage
from rosemaryweir.node.ports import Clock
from rosemaryweir.node.state import NodeUid
from rosemaryweir.transport.age import AgeGauge
from rosemaryweir.transport.envelope import Envelope, open_envelope, seal

__all__ = ['PeerPort']

#: Messages that zmq holds for one peer.
HIGH_WATER = 1000
#: Messages that wait here for one peer.
MAX_WAITING = 256
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
HEARTBEAT_MS = 500
HEARTBEAT_TIMEOUT_MS = 1500
RECONNECT_MS = 50
MAX_RECONNECT_MS = 1000
#: Time between tries to send what waits, in seconds.
RETRY_SECONDS = 0.01
#: Time without a message after which the socket to a peer is closed.
IDLE_SECONDS = 60.0
#: Messages taken in one turn of the loop.
RECEIVE_BATCH = 64
MS_PER_SECOND = 1000
_REMAINING = 'remaining_ms'


class _Outlet:
    """The socket to one peer and what waits for it."""

    def __init__(self, context: zmq.Context[Any], address: str) -> None:
        self.socket = context.socket(zmq.DEALER)
        self.waiting: deque[SendPeer] = deque()
        self.used = 0.0
        _configure(self.socket)
        self.socket.connect(f'tcp://{address}')


class PeerPort:
    """Sends and receives the messages of one process.

    Parameters
    ----------
    uid : NodeUid
        Identity of this process.
    post : callable
        Takes each event.
    clock : Clock
        The time.

    Attributes
    ----------
    counts : Counter
        Messages sent, taken and dropped, by what became of them.
    """

    def __init__(
        self,
        uid: NodeUid,
        post: Callable[[Event], None],
        clock: Clock,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._uid = uid
        self._post = post
        self._clock = clock
        self._context: zmq.Context[Any] = zmq.Context()
        self._inlet = self._context.socket(zmq.ROUTER)
        self._outlets: dict[str, _Outlet] = {}
        self._gauges: dict[tuple[str, int], AgeGauge] = {}
        self._incarnations: dict[str, int] = {}
        self._retry: asyncio.TimerHandle | None = None
        self._tidy: asyncio.TimerHandle | None = None

    def start(self, address: str) -> str:
        """Listen on ``ip:port``; return the address in use."""
        _configure(self._inlet)
        self._inlet.bind(f'tcp://{address}')
        loop = asyncio.get_running_loop()
        loop.add_reader(self._inlet.fileno(), self._receive)
        loop.call_soon(self._receive)
        self._tidy = loop.call_later(IDLE_SECONDS, self._close_idle)
        endpoint = self._inlet.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix('tcp://')

    def send(self, action: SendPeer) -> None:
        """Send a message, or drop it when it can't leave in time."""
        outlet = self._outlets.get(action.address)
        if outlet is None:
            outlet = _Outlet(self._context, action.address)
            self._outlets[action.address] = outlet
        outlet.used = self._clock.monotonic()
        if outlet.waiting or not self._try(outlet, action):
            self._hold(outlet, action)

    def close(self) -> None:
        """Close every socket; nothing lingers."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._inlet.fileno())
        for timer in (self._retry, self._tidy):
            if timer is not None:
                timer.cancel()
        self._inlet.close(linger=0)
        for outlet in self._outlets.values():
            outlet.socket.close(linger=0)
        self._outlets.clear()
        self._context.term()

    def _try(self, outlet: _Outlet, action: SendPeer) -> bool:
        now = self._clock.monotonic()
        if now >= action.deadline:
            self.counts['stale_unsent'] += 1
            return True
        remaining = action.deadline - now
        message = _with_remaining(action.message, remaining)
        frame = seal(self._uid, now, remaining, message)
        try:
            outlet.socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self.counts['sent'] += 1
        return True

    def _hold(self, outlet: _Outlet, action: SendPeer) -> None:
        if len(outlet.waiting) >= MAX_WAITING:
            self.counts['overflow'] += 1
            return
        outlet.waiting.append(action)
        self._arm_retry()

    def _arm_retry(self) -> None:
        if self._retry is None:
            loop = asyncio.get_running_loop()
            self._retry = loop.call_later(RETRY_SECONDS, self._flush)

    def _flush(self) -> None:
        self._retry = None
        for outlet in self._outlets.values():
            self._flush_one(outlet)
        if any(waiter.waiting for waiter in self._outlets.values()):
            self._arm_retry()

    def _flush_one(self, outlet: _Outlet) -> None:
        while outlet.waiting and self._try(outlet, outlet.waiting[0]):
            outlet.waiting.popleft()
        # The first may have long to live; those behind it may not.
        now = self._clock.monotonic()
        live = [action for action in outlet.waiting if action.deadline > now]
        self.counts['stale_unsent'] += len(outlet.waiting) - len(live)
        outlet.waiting = deque(live)

    def _receive(self) -> None:
        # The descriptor of a zmq socket signals changes only: read until
        # there is nothing, and come back by the loop when there is more.
        for _ in range(RECEIVE_BATCH):
            try:
                frames = self._inlet.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            self._take(frames[-1])
        asyncio.get_running_loop().call_soon(self._receive)

    def _take(self, frame: bytes) -> None:
        opened = open_envelope(frame)
        if not is_successful(opened):
            self.counts['malformed'] += 1
            return
        envelope = opened.unwrap()
        if self._is_old(envelope):
            self.counts['old_incarnation'] += 1
            return
        age = self._age(envelope)
        if age >= envelope.remaining:
            self.counts['stale'] += 1
            return
        self.counts['taken'] += 1
        message = _with_remaining(envelope.message, envelope.remaining - age)
        sender = envelope.sender
        self._post(PeerMessage(sender, envelope.incarnation, message))

    def _is_old(self, envelope: Envelope) -> bool:
        known = self._incarnations.get(envelope.sender, 0)
        if envelope.incarnation > known:
            self._incarnations[envelope.sender] = envelope.incarnation
            self._gauges.pop((envelope.sender, known), None)
        return envelope.incarnation < known

    def _age(self, envelope: Envelope) -> float:
        now = self._clock.monotonic()
        source = (envelope.sender, envelope.incarnation)
        gauge = self._gauges.get(source)
        if gauge is None:
            gauge = AgeGauge(now)
            self._gauges[source] = gauge
        return gauge.age(envelope.sent, now)

    def _close_idle(self) -> None:
        horizon = self._clock.monotonic() - IDLE_SECONDS
        idle = [
            address
            for address, outlet in self._outlets.items()
            if outlet.used < horizon and not outlet.waiting
        ]
        for address in idle:
            self._outlets.pop(address).socket.close(linger=0)
        loop = asyncio.get_running_loop()
        self._tidy = loop.call_later(IDLE_SECONDS, self._close_idle)


def _with_remaining(
    message: Mapping[str, Any],
    remaining: float,
) -> Mapping[str, Any]:
    # A deadline that travels in the message shrinks by the time under way.
    if _REMAINING not in message:
        return message
    left = min(message[_REMAINING], remaining * MS_PER_SECOND)
    return {**message, _REMAINING: left}


def _configure(socket: zmq.Socket[Any]) -> None:
    options = {
        zmq.LINGER: 0,
        zmq.SNDHWM: HIGH_WATER,
        zmq.RCVHWM: HIGH_WATER,
        zmq.MAXMSGSIZE: MAX_MESSAGE_BYTES,
        zmq.HEARTBEAT_IVL: HEARTBEAT_MS,
        zmq.HEARTBEAT_TIMEOUT: HEARTBEAT_TIMEOUT_MS,
        zmq.HEARTBEAT_TTL: HEARTBEAT_TIMEOUT_MS,
        zmq.RECONNECT_IVL: RECONNECT_MS,
        zmq.RECONNECT_IVL_MAX: MAX_RECONNECT_MS,
    }
    if socket.type == zmq.DEALER:
        options[zmq.IMMEDIATE] = 1
    for option, amount in options.items():
        socket.setsockopt(option, amount)

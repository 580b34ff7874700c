"""The Peer port over ZeroMQ: one receiving socket, one sending socket a peer.

ZeroMQ must not queue messages for an unreachable peer: a socket accepts a
message only while its connection is established, and a message that can't be
sent waits in a bounded queue until its deadline.  A message that arrives after
its deadline, is malformed, is of an unknown kind or comes from an earlier
incarnation of its sender is counted and dropped.
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
from rosemaryweir.transport.envelope import (
    Envelope,
    decode_envelope,
    encode_envelope,
)
from rosemaryweir.transport.message_age import MessageAgeEstimator

__all__ = ['ZmqPeerPort']

#: Maximum messages in the ZeroMQ buffers of one connection.
HIGH_WATER_MARK = 1000
#: Maximum messages queued for one peer that its socket doesn't accept.
MAX_QUEUED_MESSAGES = 256
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 1500
RECONNECT_INTERVAL_MS = 50
MAX_RECONNECT_INTERVAL_MS = 1000
#: Interval between attempts to send queued messages, in seconds.
RETRY_INTERVAL_S = 0.01
#: Idle time after which the sending socket of a peer is closed, in seconds;
#: also the interval between the checks.
IDLE_TIMEOUT_S = 60.0
#: Maximum messages received in one iteration of the event loop.
MAX_RECEIVE_BATCH = 64
MS_PER_SECOND = 1000
_REMAINING_FIELD = 'remaining_ms'


class _PeerConnection:
    """Sending socket of one peer and the messages queued for it."""

    def __init__(self, context: zmq.Context[Any], address: str) -> None:
        self.socket = context.socket(zmq.DEALER)
        self.queue: deque[SendPeer] = deque()
        self.last_used = 0.0
        _configure(self.socket)
        self.socket.connect(f'tcp://{address}')


class ZmqPeerPort:
    """Sends and receives the peer messages of one process.

    Parameters
    ----------
    uid : NodeUid
        Identity of this process.
    post : callable
        Called with each event.
    clock : Clock
        Source of the monotonic time.

    Attributes
    ----------
    counts : Counter
        Number of messages by outcome: sent, taken (received) or the reason
        for which they were dropped.
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
        self._listen_socket = self._context.socket(zmq.ROUTER)
        self._connections: dict[str, _PeerConnection] = {}
        self._age_estimators: dict[tuple[str, int], MessageAgeEstimator] = {}
        self._incarnations: dict[str, int] = {}
        self._retry_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    def start(self, address: str) -> str:
        """Listen on ``ip:port`` and return the bound address."""
        _configure(self._listen_socket)
        self._listen_socket.bind(f'tcp://{address}')
        loop = asyncio.get_running_loop()
        loop.add_reader(self._listen_socket.fileno(), self._receive)
        loop.call_soon(self._receive)
        self._idle_timer = loop.call_later(IDLE_TIMEOUT_S, self._close_idle)
        endpoint = self._listen_socket.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix('tcp://')

    def send(self, action: SendPeer) -> None:
        """Send a message, or drop it if it can't be sent by its deadline."""
        conn = self._connections.get(action.address)
        if conn is None:
            conn = _PeerConnection(self._context, action.address)
            self._connections[action.address] = conn
        conn.last_used = self._clock.monotonic()
        if conn.queue or not self._try_send(conn, action):
            self._enqueue(conn, action)

    def close(self) -> None:
        """Close every socket and discard unsent messages."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listen_socket.fileno())
        for timer in (self._retry_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        self._listen_socket.close(linger=0)
        for conn in self._connections.values():
            conn.socket.close(linger=0)
        self._connections.clear()
        self._context.term()

    def _try_send(self, conn: _PeerConnection, action: SendPeer) -> bool:
        now = self._clock.monotonic()
        if now >= action.deadline:
            self.counts['stale_unsent'] += 1
            return True
        remaining = action.deadline - now
        message = _with_remaining(action.message, remaining)
        frame = encode_envelope(self._uid, now, remaining, message)
        try:
            conn.socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self.counts['sent'] += 1
        return True

    def _enqueue(self, conn: _PeerConnection, action: SendPeer) -> None:
        if len(conn.queue) >= MAX_QUEUED_MESSAGES:
            self.counts['overflow'] += 1
            return
        conn.queue.append(action)
        self._schedule_retry()

    def _schedule_retry(self) -> None:
        if self._retry_timer is None:
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(
                RETRY_INTERVAL_S, self._send_queued
            )

    def _send_queued(self) -> None:
        self._retry_timer = None
        for conn in self._connections.values():
            self._send_queue(conn)
        if any(peer.queue for peer in self._connections.values()):
            self._schedule_retry()

    def _send_queue(self, conn: _PeerConnection) -> None:
        while conn.queue and self._try_send(conn, conn.queue[0]):
            conn.queue.popleft()
        # Messages further back in the queue may expire before the first one.
        now = self._clock.monotonic()
        live = [action for action in conn.queue if action.deadline > now]
        self.counts['stale_unsent'] += len(conn.queue) - len(live)
        conn.queue = deque(live)

    def _receive(self) -> None:
        # The descriptor of a ZeroMQ socket is edge-triggered: read until the
        # socket is empty.  After a full batch, yield to the event loop first.
        for _ in range(MAX_RECEIVE_BATCH):
            try:
                frames = self._listen_socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            self._handle_frame(frames[-1])
        asyncio.get_running_loop().call_soon(self._receive)

    def _handle_frame(self, frame: bytes) -> None:
        opened = decode_envelope(frame)
        if not is_successful(opened):
            self.counts['malformed'] += 1
            return
        envelope = opened.unwrap()
        if self._is_old_incarnation(envelope):
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

    def _is_old_incarnation(self, envelope: Envelope) -> bool:
        known = self._incarnations.get(envelope.sender, 0)
        if envelope.incarnation > known:
            self._incarnations[envelope.sender] = envelope.incarnation
            self._age_estimators.pop((envelope.sender, known), None)
        return envelope.incarnation < known

    def _age(self, envelope: Envelope) -> float:
        now = self._clock.monotonic()
        source = (envelope.sender, envelope.incarnation)
        estimator = self._age_estimators.get(source)
        if estimator is None:
            estimator = MessageAgeEstimator(now)
            self._age_estimators[source] = estimator
        return estimator.age(envelope.sent, now)

    def _close_idle(self) -> None:
        used_before = self._clock.monotonic() - IDLE_TIMEOUT_S
        idle = [
            address
            for address, conn in self._connections.items()
            if conn.last_used < used_before and not conn.queue
        ]
        for address in idle:
            self._connections.pop(address).socket.close(linger=0)
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(IDLE_TIMEOUT_S, self._close_idle)


def _with_remaining(
    message: Mapping[str, Any],
    remaining: float,
) -> Mapping[str, Any]:
    # The time left in the message is reduced by its transit time.
    if _REMAINING_FIELD not in message:
        return message
    left = min(message[_REMAINING_FIELD], remaining * MS_PER_SECOND)
    return {**message, _REMAINING_FIELD: left}


def _configure(socket: zmq.Socket[Any]) -> None:
    options = {
        zmq.LINGER: 0,
        zmq.SNDHWM: HIGH_WATER_MARK,
        zmq.RCVHWM: HIGH_WATER_MARK,
        zmq.MAXMSGSIZE: MAX_MESSAGE_BYTES,
        zmq.HEARTBEAT_IVL: HEARTBEAT_INTERVAL_MS,
        zmq.HEARTBEAT_TIMEOUT: HEARTBEAT_TIMEOUT_MS,
        zmq.HEARTBEAT_TTL: HEARTBEAT_TIMEOUT_MS,
        zmq.RECONNECT_IVL: RECONNECT_INTERVAL_MS,
        zmq.RECONNECT_IVL_MAX: MAX_RECONNECT_INTERVAL_MS,
    }
    if socket.type == zmq.DEALER:
        # Queue messages only for established connections.
        options[zmq.IMMEDIATE] = 1
    for option, amount in options.items():
        socket.setsockopt(option, amount)

"""The Target port over HTTP.

Work goes over the connections that the node opens, one request at a time.
Cancellations and probes go over one control connection per target, beside
them.  A reply that is cut, malformed, crossed or unasked is never delivered:
its connection is closed.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from rosemaryweir.node.action import (
    CancelAttempt,
    CloseConnection,
    OpenConnection,
    ProbeTarget,
    SendTarget,
)
from rosemaryweir.node.event import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    Event,
    TargetReply,
)
from rosemaryweir.node.ports import Clock, TargetCall
from rosemaryweir.schema.generated.target import TargetAnswer
from rosemaryweir.transport.control_connections import ControlConnections
from rosemaryweir.transport.exchange import encode_json
from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel

__all__ = ['TargetPort', 'target_reply']

MS_PER_SECOND = 1000
ATTEMPT_HEADER = 'x-attempt'
DEADLINE_HEADER = 'x-deadline-ms'
_PATHS = {'query': '/v1/search', 'order': '/v1/orders'}
_ANSWERS = msgspec.json.Decoder(TargetAnswer)


class _Link:
    """A connection to a target, in the node's terms."""

    def __init__(self, port: 'TargetPort', action: OpenConnection) -> None:
        self.port = port
        self.conn = action.conn
        self.target = action.target
        self.attempt = ''
        self.channel: Channel | None = None
        self.task: asyncio.Task[None] | None = None

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Deliver the reply if it is the one asked for."""
        event = target_reply(self.conn, self.target, self.attempt, reply)
        if event is None:
            self.port.end(self, 'crossed or malformed reply', idle=False)
            channel.drop()
            return
        self.attempt = ''
        self.port.post(event)

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Take nothing: replies to work don't stream."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Report the end."""
        self.port.end(self, reason, idle=not self.attempt)


class TargetPort:
    """Carries out the node's calls to targets.

    Parameters
    ----------
    post : callable
        Takes each event.
    clock : Clock
        The time.
    """

    def __init__(self, post: Callable[[Event], None], clock: Clock) -> None:
        self.post = post
        self._clock = clock
        self._links: dict[int, _Link] = {}
        self._control = ControlConnections(post, clock)
        self._calls: dict[type[TargetCall], Callable[[Any], None]] = {
            OpenConnection: self._open,
            CloseConnection: self._close,
            SendTarget: self._send,
            CancelAttempt: self._control.cancel,
            ProbeTarget: self._control.probe,
        }

    def call(self, action: TargetCall) -> None:
        """Start a call; its answer comes as an event."""
        self._calls[type(action)](action)

    def end(self, link: _Link, reason: str, idle: bool) -> None:
        """Forget a connection and report its end."""
        if self._links.pop(link.conn, None) is None:
            return
        if link.channel is None:
            self.post(ConnectionFailed(link.conn, link.target, reason))
        else:
            self.post(ConnectionClosed(link.conn, link.target, reason, idle))

    def close(self) -> None:
        """Drop every connection without a word."""
        for conn in tuple(self._links):
            self._close(CloseConnection(conn, 'exit'))
        self._control.close()

    def _open(self, action: OpenConnection) -> None:
        link = _Link(self, action)
        self._links[action.conn] = link
        link.task = asyncio.create_task(self._connect(link, action))

    async def _connect(self, link: _Link, action: OpenConnection) -> None:
        seconds = action.deadline - self._clock.monotonic()
        try:
            channel = await open_channel(action.address, link, max(seconds, 0))
        except OSError as exc:
            self._links.pop(link.conn, None)
            self.post(ConnectionFailed(link.conn, link.target, repr(exc)))
            return
        link.task = None
        if channel.open:
            link.channel = channel
            self.post(ConnectionOpened(link.conn, link.target))

    def _close(self, action: CloseConnection) -> None:
        link = self._links.pop(action.conn, None)
        if link is None:
            return
        if link.task is not None:
            link.task.cancel()
        if link.channel is not None:
            link.channel.drop()

    def _send(self, action: SendTarget) -> None:
        link = self._links.get(action.conn)
        if link is None or link.channel is None:
            # The node was or will be told of the close.
            return
        link.attempt = action.attempt
        left = (action.deadline - self._clock.monotonic()) * MS_PER_SECOND
        if link.channel.reusable and not link.channel.busy:
            link.channel.send(
                'POST',
                _PATHS[action.work],
                (
                    (ATTEMPT_HEADER, action.attempt),
                    (DEADLINE_HEADER, str(max(int(left), 1))),
                    ('content-type', 'application/json'),
                ),
                encode_json(action.body),
            )


def target_reply(
    conn: int,
    target: str,
    attempt: str,
    reply: HttpReply,
) -> TargetReply | None:
    """Return the event of a reply, or None if it isn't the one asked for."""
    if reply.headers.get(ATTEMPT_HEADER) != attempt:
        return None
    answer = _answer(reply.body)
    if answer is None:
        return None
    return TargetReply(
        conn=conn,
        target=target,
        attempt=attempt,
        status=answer['status'],
        layout=answer.get('layout', 0),
        version=answer.get('version', 0),
        rows=tuple((row[0], row[1]) for row in answer.get('rows', ())),
        reply=answer.get('reply', ''),
        incarnation=answer['incarnation'],
    )


def _answer(body: bytes) -> TargetAnswer | None:
    # Typed decoding, not the schema: this runs for every sub-request.
    try:
        answer = _ANSWERS.decode(body)
    except (msgspec.MsgspecError, ValueError):
        return None
    numbers = (
        answer['incarnation'],
        answer.get('layout', 0),
        answer.get('version', 0),
    )
    pairs = all(len(row) == 2 for row in answer.get('rows', ()))
    return answer if pairs and min(numbers) >= 0 else None

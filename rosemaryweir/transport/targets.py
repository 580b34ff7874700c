"""The Target port over HTTP.

Queries and orders are sent on connections that the node opens, one request at
a time.  Cancellations and probes use a separate control connection per target.
A reply that is truncated, malformed, unsolicited or that belongs to another
attempt is never delivered; its connection is closed.
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

__all__ = ['HttpTargetPort', 'build_reply_event']

MS_PER_SECOND = 1000
ATTEMPT_HEADER = 'x-attempt'
DEADLINE_HEADER = 'x-deadline-ms'
_PATHS = {'query': '/v1/search', 'order': '/v1/orders'}
_ANSWER_DECODER = msgspec.json.Decoder(TargetAnswer)


class _TargetConnection:
    """A connection that the node opened to a target.

    ``attempt`` is the attempt in flight; empty if the connection is idle.
    """

    def __init__(self, port: 'HttpTargetPort', action: OpenConnection) -> None:
        self.port = port
        self.conn_id = action.conn
        self.target = action.target
        self.attempt = ''
        self.channel: Channel | None = None
        self.task: asyncio.Task[None] | None = None

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Post the reply if it belongs to the attempt; else disconnect."""
        event = build_reply_event(
            self.conn_id, self.target, self.attempt, reply
        )
        if event is None:
            self.port.end_connection(
                self, 'crossed or malformed reply', idle=False
            )
            channel.drop()
            return
        self.attempt = ''
        self.port.post(event)

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Do nothing: replies to attempts are not streamed."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Report the end of the connection."""
        self.port.end_connection(self, reason, idle=not self.attempt)


class HttpTargetPort:
    """Executes the actions of the node that concern targets.

    Parameters
    ----------
    post : callable
        Called with each event.
    clock : Clock
        Source of the monotonic time.
    """

    def __init__(self, post: Callable[[Event], None], clock: Clock) -> None:
        self.post = post
        self._clock = clock
        self._connections: dict[int, _TargetConnection] = {}
        self._control = ControlConnections(post, clock)
        self._handlers: dict[type[TargetCall], Callable[[Any], None]] = {
            OpenConnection: self._open,
            CloseConnection: self._close,
            SendTarget: self._send,
            CancelAttempt: self._control.cancel,
            ProbeTarget: self._control.probe,
        }

    def call(self, action: TargetCall) -> None:
        """Start an action; its result is posted as an event."""
        self._handlers[type(action)](action)

    def end_connection(
        self, connection: _TargetConnection, reason: str, idle: bool
    ) -> None:
        """Remove a connection and report its end."""
        if self._connections.pop(connection.conn_id, None) is None:
            return
        if connection.channel is None:
            self.post(
                ConnectionFailed(connection.conn_id, connection.target, reason)
            )
        else:
            self.post(
                ConnectionClosed(
                    connection.conn_id, connection.target, reason, idle
                )
            )

    def close(self) -> None:
        """Abort every connection without posting events."""
        for conn in tuple(self._connections):
            self._close(CloseConnection(conn, 'exit'))
        self._control.close()

    def _open(self, action: OpenConnection) -> None:
        connection = _TargetConnection(self, action)
        self._connections[action.conn] = connection
        connection.task = asyncio.create_task(self._connect(connection, action))

    async def _connect(
        self, connection: _TargetConnection, action: OpenConnection
    ) -> None:
        timeout_s = action.deadline - self._clock.monotonic()
        try:
            channel = await open_channel(
                action.address, connection, max(timeout_s, 0)
            )
        except OSError as exc:
            self._connections.pop(connection.conn_id, None)
            self.post(
                ConnectionFailed(
                    connection.conn_id, connection.target, repr(exc)
                )
            )
            return
        connection.task = None
        if channel.open:
            connection.channel = channel
            self.post(ConnectionOpened(connection.conn_id, connection.target))

    def _close(self, action: CloseConnection) -> None:
        connection = self._connections.pop(action.conn, None)
        if connection is None:
            return
        if connection.task is not None:
            connection.task.cancel()
        if connection.channel is not None:
            connection.channel.drop()

    def _send(self, action: SendTarget) -> None:
        connection = self._connections.get(action.conn)
        if connection is None or connection.channel is None:
            # The connection is closed; an event reports that to the node.
            return
        connection.attempt = action.attempt
        remaining_ms = (
            action.deadline - self._clock.monotonic()
        ) * MS_PER_SECOND
        if connection.channel.reusable and not connection.channel.busy:
            connection.channel.send(
                'POST',
                _PATHS[action.work],
                (
                    (ATTEMPT_HEADER, action.attempt),
                    (DEADLINE_HEADER, str(max(int(remaining_ms), 1))),
                    ('content-type', 'application/json'),
                ),
                encode_json(action.body),
            )


def build_reply_event(
    conn: int,
    target: str,
    attempt: str,
    reply: HttpReply,
) -> TargetReply | None:
    """Return the event of a reply, or None if it isn't valid.

    A reply is valid if its header names the attempt and its body is well
    formed.
    """
    if reply.headers.get(ATTEMPT_HEADER) != attempt:
        return None
    answer = _decode_answer(reply.body)
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


def _decode_answer(body: bytes) -> TargetAnswer | None:
    # Decodes a typed record instead of validating against the schema, to save
    # time: this runs for every sub-request.
    try:
        answer = _ANSWER_DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError):
        return None
    numbers = (
        answer['incarnation'],
        answer.get('layout', 0),
        answer.get('version', 0),
    )
    rows_are_pairs = all(len(row) == 2 for row in answer.get('rows', ()))
    return answer if rows_are_pairs and min(numbers) >= 0 else None

"""Connections to targets: send requests, decode replies."""

import asyncio
from collections.abc import Callable, Iterator, Sequence

from rosemaryweir.gateway.action import (
    CloseTargetConnection,
    DecodedReply,
    InboundRequest,
    OpenTargetConnection,
    SendAttempt,
)
from rosemaryweir.platform import protocol
from rosemaryweir.telemetry.traffic import TrafficMeter
from rosemaryweir.transport.framing import parse_count, parse_decimal
from rosemaryweir.transport.http_client import (
    Channel,
    HttpReply,
    encode_request_head,
    open_channel,
)
from rosemaryweir.transport.reply_buffers import ReplyBuffers

__all__ = ['TargetConnections', 'forwardable_headers']

HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
#: Characters of a malformed value that are logged.
MAX_QUOTED = 40
MS_PER_SECOND = 1000
#: Methods that require a content-length header even without a body.
_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))


class _NumberedConnection:
    """A connection to a target, known to the gateway by its number."""

    def __init__(
        self, number: int, domain: str, owner: 'TargetConnections'
    ) -> None:
        self.number = number
        self._domain = domain
        self.channel: Channel | None = None
        self._owner = owner

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Report a complete reply."""
        self._count_bytes(channel)
        if not channel.reusable:
            self._owner.remove(self.number)
        self._owner.on_reply(
            self.number,
            decode_reply(reply),
            channel.reusable,
            _keep_alive_timeout(reply),
        )

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Ignore a part of a body: targets don't stream."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Report the end of the connection, unless it was closed here."""
        self._count_bytes(channel)
        if self._owner.remove(self.number):
            self._owner.on_failure(self.number, reason)

    def _count_bytes(self, channel: Channel) -> None:
        size = channel.take_byte_count()
        self._owner.traffic.record('targets', self._domain, size)


class TargetConnections:
    """Performs the gateway's actions on connections to targets.

    Parameters
    ----------
    on_open, on_reply, on_failure : callable
        Called with the number of the connection when it is open, when a
        reply has arrived, and when it has failed.
    traffic : TrafficMeter
        Counts the bytes exchanged.
    buffers : ReplyBuffers
        Limits the bytes of incomplete replies of all connections together.
    """

    def __init__(
        self,
        on_open: Callable[[int], None],
        on_reply: Callable[[int, DecodedReply, bool, float | None], None],
        on_failure: Callable[[int, str], None],
        traffic: TrafficMeter,
        buffers: ReplyBuffers,
    ) -> None:
        self.traffic = traffic
        self._buffers = buffers
        self.on_reply = on_reply
        self.on_failure = on_failure
        self._on_open = on_open
        self._connections: dict[int, _NumberedConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._head_cache: tuple[InboundRequest | None, bytes] = (None, b'')

    def open(self, action: OpenTargetConnection) -> None:
        """Open a connection."""
        connection = _NumberedConnection(action.conn, action.domain, self)
        self._connections[action.conn] = connection
        task = asyncio.create_task(self._open(connection, action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send(self, action: SendAttempt) -> None:
        """Send a request."""
        connection = self._connections.get(action.conn)
        if (
            connection is None
            or connection.channel is None
            or not connection.channel.open
        ):
            # Deferred: the gateway is not to be called from within its action.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._report_closed, action.conn)
            return
        inbound = action.request
        left_ms = max(1, int(action.time_left * MS_PER_SECOND))
        own = (
            f'{protocol.DEADLINE_HEADER}: {left_ms}\r\n'
            f'{protocol.EXPECTED_INCARNATION_HEADER}: {action.incarnation}\r\n'
        )
        head = self._shared_head(inbound) + own.encode('latin-1')
        connection.channel.send_encoded(inbound.method, head, inbound.body)

    def close(self, action: CloseTargetConnection) -> None:
        """Close a connection without reporting its end."""
        connection = self._connections.pop(action.conn, None)
        if connection is not None and connection.channel is not None:
            connection.channel.drop()

    def remove(self, number: int) -> bool:
        """Remove a connection; return whether it was known."""
        return self._connections.pop(number, None) is not None

    def _shared_head(self, request: InboundRequest) -> bytes:
        """Return the part of the head that all attempts of a request share."""
        known, head = self._head_cache
        if known is request:
            return head
        headers = list(request.headers)
        if request.body or request.method in _METHODS_WITH_BODY:
            headers.append((b'content-length', str(len(request.body)).encode()))
        head = encode_request_head(request.method, request.target, headers)
        self._head_cache = (request, head)
        return head

    def _report_closed(self, number: int) -> None:
        self.remove(number)
        self.on_failure(number, 'closed before the request')

    async def _open(
        self, connection: _NumberedConnection, action: OpenTargetConnection
    ) -> None:
        try:
            channel = await open_channel(
                action.address, connection, action.timeout, self._buffers
            )
        except (OSError, ValueError) as exc:
            # ValueError: the host of the address is no valid name.
            if self.remove(action.conn):
                self.on_failure(action.conn, f'not connected: {exc!r}')
            return
        if self._connections.get(action.conn) is not connection:
            channel.drop()
            return
        connection.channel = channel
        if channel.open:
            self._on_open(action.conn)


def decode_reply(reply: HttpReply) -> DecodedReply:
    """Return a target's reply with its protocol headers decoded."""
    headers = reply.headers
    cold_ms = parse_count(headers.get(protocol.COLD_REMAINING_HEADER, ''))
    encoded = headers.get('content-encoding', 'identity') != 'identity'
    rest_seconds, malformed_rest = _decode_rest(reply)
    return DecodedReply(
        status=reply.status,
        headers=reply.raw_headers,
        body=reply.body,
        request_id=headers.get(protocol.REQUEST_ID_HEADER, ''),
        # An encoded body is not the one that the target signed.
        signature='' if encoded else headers.get(protocol.SIGNATURE_HEADER, ''),
        not_run=protocol.NOT_RUN_HEADER in headers,
        misdirected=reply.status == HTTP_MISDIRECTED,
        cold_seconds=None if cold_ms is None else cold_ms / MS_PER_SECOND,
        # The protocol defines no other value, which might mean the opposite.
        leaving=b'1' in _read_all(reply, protocol.LEAVING_HEADER),
        rest_seconds=rest_seconds,
        malformed_rest=malformed_rest,
    )


def _read_all(reply: HttpReply, name: str) -> list[bytes]:
    """Return the values of a header, which may appear more than once."""
    key = name.encode()
    return [text for found, text in reply.raw_headers if found == key]


def _decode_rest(reply: HttpReply) -> tuple[float, str]:
    """Return for how long a target wants no requests, and what is malformed.

    Of several values the longest holds.
    """
    if reply.status != HTTP_UNAVAILABLE:
        return 0, ''
    texts = [
        text.decode('latin-1')
        for text in _read_all(reply, protocol.RETRY_AFTER_HEADER)
    ]
    numbers = [parse_decimal(text) for text in texts]
    malformed = [
        text[:MAX_QUOTED]
        for text, number in zip(texts, numbers, strict=True)
        if number is None
    ]
    found = [number for number in numbers if number is not None]
    return max(found, default=0), ' '.join(malformed)


def forwardable_headers(
    headers: Sequence[tuple[bytes, bytes]],
) -> Iterator[tuple[bytes, bytes]]:
    """Yield the headers that may be forwarded to another connection."""
    named = {
        name.strip().lower()
        for key, content in headers
        if key == b'connection'
        for name in content.split(b',')
    }
    dropped = protocol.NOT_FORWARDED_HEADERS | named
    yield from (
        (key, content) for key, content in headers if key not in dropped
    )


def _keep_alive_timeout(reply: HttpReply) -> float | None:
    text = reply.headers.get('keep-alive', '')
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        seconds = parse_count(value)
        if name == 'timeout' and seconds is not None:
            return float(seconds)
    return None

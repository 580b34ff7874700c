"""HTTP/1.1 client connection that carries one request at a time.

Unsolicited bytes close the connection, and so does a reply that is truncated,
malformed or larger than the limit.
"""

import asyncio
from collections.abc import Iterable
from typing import Any, Protocol

from rosemaryweir.transport.reply_buffers import ReplyBuffers
from rosemaryweir.transport.reply_parser import (
    HttpReply,
    MalformedReply,
    ReplyParser,
)

__all__ = [
    'Channel',
    'ChannelListener',
    'HttpReply',
    'encode_request_head',
    'open_channel',
]


class ChannelListener(Protocol):
    """Receiver of the replies on a channel."""

    def replied(self, channel: 'Channel', reply: HttpReply) -> None:
        """Handle a complete reply; the channel is no longer busy."""

    def streamed(self, channel: 'Channel', chunk: bytes) -> None:
        """Handle a chunk of a streamed reply."""

    def closed(self, channel: 'Channel', reason: str, idle: bool) -> None:
        """Handle the end of the channel; called at most once.

        ``idle`` is set if no request was in flight.
        """


class Channel(asyncio.Protocol):
    """An HTTP/1.1 client connection.

    Parameters
    ----------
    listener : ChannelListener
        Notified of replies and of the end of the connection.
    buffers : ReplyBuffers, optional
        Limits the bytes of incomplete replies of all channels together.

    Attributes
    ----------
    busy : bool
        Whether a request is in flight.
    open : bool
        Whether the connection is established.
    reusable : bool
        Whether another request may be sent after the reply.
    byte_count : int
        Bytes sent and received.
    """

    transport: asyncio.Transport

    def __init__(
        self, listener: ChannelListener, buffers: ReplyBuffers | None = None
    ) -> None:
        self._listener = listener
        self._buffers = buffers
        self._parser = ReplyParser(self._stream)
        self._host = ''
        self.busy = False
        self.open = False
        self.reusable = True
        self.byte_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Mark the channel as open."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self.transport = transport
        peer = transport.get_extra_info('peername')
        self._host = ':'.join(map(str, peer))
        self.open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the listener."""
        self._report_end(repr(exc) if exc else 'closed by the peer')

    def eof_received(self) -> bool | None:
        """Handle the end of input, which ends a reply without a length."""
        reply = self._parser.end() if self.busy else None
        if reply is not None:
            self._deliver(reply)
        return None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.byte_count += len(data)
        if not self.busy:
            self.fail('unasked bytes')
            return
        try:
            reply = self._parser.feed(data)
        except MalformedReply as exc:
            self.fail(f'malformed reply: {exc}')
            return
        if reply is not None and self.busy:
            self._deliver(reply)
        elif self._buffers is not None and self.busy:
            size = self._parser.buffered_bytes
            self._buffers.hold(self, size, self._cut_reply)

    def send(
        self,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        streaming: bool = False,
    ) -> None:
        """Send a request; the channel must be open and not busy."""
        defaults = (('host', self._host), ('content-length', str(len(body))))
        self.send_encoded(
            method,
            encode_request_head(method, path, (*defaults, *headers)),
            body,
            streaming,
        )

    def send_encoded(
        self,
        method: str,
        head: bytes,
        body: bytes,
        streaming: bool = False,
    ) -> None:
        """Send a request with an encoded head without its final empty line."""
        self.busy = True
        self._parser.expect(method, streaming)
        message = b'%b\r\n%b' % (head, body)
        self.byte_count += len(message)
        self.transport.write(message)

    def fail(self, reason: str) -> None:
        """Abort the connection and report its end to the listener."""
        self.transport.abort()
        self._report_end(reason)

    def drop(self) -> None:
        """Abort the connection without notifying the listener."""
        self.open = False
        self.busy = False
        self._release_buffers()
        self.transport.abort()

    def take_byte_count(self) -> int:
        """Return the bytes exchanged since the last call."""
        taken = self.byte_count
        self.byte_count = 0
        return taken

    def _stream(self, chunk: bytes) -> None:
        self._listener.streamed(self, chunk)

    def _cut_reply(self) -> None:
        self.fail('incomplete replies exceed the memory for them')

    def _release_buffers(self) -> None:
        if self._buffers is not None:
            self._buffers.release(self)

    def _deliver(self, reply: HttpReply) -> None:
        self.busy = False
        self._release_buffers()
        self.reusable = self._parser.reusable
        self._listener.replied(self, reply)
        if not self.reusable:
            unsolicited = self._parser.unsolicited
            self.fail('unasked bytes' if unsolicited else 'closed by the peer')

    def _report_end(self, reason: str) -> None:
        self._release_buffers()
        if self.open:
            self.open = False
            idle = not self.busy
            self.busy = False
            self._listener.closed(self, reason, idle)


def encode_request_head(
    method: str,
    path: str,
    headers: Iterable[tuple[Any, Any]],
) -> bytes:
    r"""Return the head of a request without its final empty line.

    Parameters
    ----------
    method, path : str
        Method and target of the request line.
    headers : iterable of (str or bytes, str or bytes)
        Names and values, both without line breaks.

    Examples
    --------
    >>> encode_request_head('GET', '/a', [('host', 'x'), (b'b', b'c')])
    b'GET /a HTTP/1.1\r\nhost: x\r\nb: c\r\n'
    """
    lines = [
        b'%b: %b\r\n' % (_encode(name), _encode(text)) for name, text in headers
    ]
    request_line = f'{method} {path} HTTP/1.1\r\n'.encode('latin-1')
    return request_line + b''.join(lines)


def _encode(text: str | bytes) -> bytes:
    return text if isinstance(text, bytes) else text.encode('latin-1')


async def open_channel(
    address: str,
    listener: ChannelListener,
    seconds: float,
    buffers: ReplyBuffers | None = None,
) -> Channel:
    """Connect to ``ip:port``.

    Raises
    ------
    OSError
        If the connection isn't established within the time, in seconds.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(seconds):
        _, channel = await loop.create_connection(
            lambda: Channel(listener, buffers),
            host,
            int(port),
        )
    return channel

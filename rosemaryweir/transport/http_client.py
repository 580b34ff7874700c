"""One client connection: one request at a time.

Bytes that nobody asked for end the connection, and so does any reply that is
cut, malformed or larger than the limit.
"""

import asyncio
from collections.abc import Iterable
from typing import Any, Protocol

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
    """Whoever uses a channel."""

    def replied(self, channel: 'Channel', reply: HttpReply) -> None:
        """Take a whole reply; the channel is free again."""

    def streamed(self, channel: 'Channel', chunk: bytes) -> None:
        """Take a part of a streamed reply."""

    def closed(self, channel: 'Channel', reason: str, idle: bool) -> None:
        """Note the end of the channel; called once."""


class Channel(asyncio.Protocol):
    """A client connection.

    Parameters
    ----------
    listener : ChannelListener
        Told of replies and of the end.

    Attributes
    ----------
    busy : bool
        Whether a request is in flight.
    open : bool
        Whether the connection stands.
    reusable : bool
        Whether another request may be sent after the reply.
    """

    transport: asyncio.Transport

    def __init__(self, listener: ChannelListener) -> None:
        self._listener = listener
        self._parser = ReplyParser(self._stream)
        self._host = ''
        self.busy = False
        self.open = False
        self.reusable = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection stands."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self.transport = transport
        peer = transport.get_extra_info('peername')
        self._host = ':'.join(map(str, peer))
        self.open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end."""
        self._end(repr(exc) if exc else 'closed by the peer')

    def eof_received(self) -> bool | None:
        """Take the end of input; a reply without length ends here."""
        reply = self._parser.end() if self.busy else None
        if reply is not None:
            self._finish(reply)
        return None

    def data_received(self, data: bytes) -> None:
        """Take bytes of the server."""
        if not self.busy:
            self.fail('unasked bytes')
            return
        try:
            reply = self._parser.feed(data)
        except MalformedReply as exc:
            self.fail(f'malformed reply: {exc}')
            return
        if reply is not None and self.busy:
            self._finish(reply)

    def send(
        self,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        streaming: bool = False,
    ) -> None:
        """Send a request; the channel must be open and free."""
        own = (('host', self._host), ('content-length', str(len(body))))
        self.send_encoded(
            method,
            encode_request_head(method, path, (*own, *headers)),
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
        """Send a request whose head is given whole but for its empty line."""
        self.busy = True
        self._parser.expect(method, streaming)
        self.transport.write(b'%b\r\n%b' % (head, body))

    def fail(self, reason: str) -> None:
        """End the connection at once and report it."""
        self.transport.abort()
        self._end(reason)

    def drop(self) -> None:
        """End the connection at once without a report."""
        self.open = False
        self.busy = False
        self.transport.abort()

    def _stream(self, chunk: bytes) -> None:
        self._listener.streamed(self, chunk)

    def _finish(self, reply: HttpReply) -> None:
        self.busy = False
        self.reusable = self._parser.reusable
        self._listener.replied(self, reply)
        if not self.reusable:
            unsolicited = self._parser.unsolicited
            self.fail('unasked bytes' if unsolicited else 'closed by the peer')

    def _end(self, reason: str) -> None:
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
    r"""Return the head of a request without its closing empty line.

    Parameters
    ----------
    method, path : str
        Request line.
    headers : iterable of (str or bytes, str or bytes)
        Names and texts, both without line breaks.

    Examples
    --------
    >>> encode_request_head('GET', '/a', [('host', 'x'), (b'b', b'c')])
    b'GET /a HTTP/1.1\r\nhost: x\r\nb: c\r\n'
    """
    lines = [
        b'%b: %b\r\n' % (_latin(name), _latin(text)) for name, text in headers
    ]
    first = f'{method} {path} HTTP/1.1\r\n'.encode('latin-1')
    return first + b''.join(lines)


def _latin(text: str | bytes) -> bytes:
    return text if isinstance(text, bytes) else text.encode('latin-1')


async def open_channel(
    address: str,
    listener: ChannelListener,
    seconds: float,
) -> Channel:
    """Connect to ``ip:port`` within a time.

    Raises
    ------
    OSError
        If the connection can't be opened; ``TimeoutError`` is one.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(seconds):
        _, channel = await loop.create_connection(
            lambda: Channel(listener),
            host,
            int(port),
        )
    return channel

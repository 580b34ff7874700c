"""One client connection over h11: one request at a time.

Bytes that nobody asked for end the connection, and so does any reply that is
cut, malformed or larger than the limit.
"""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

import h11

__all__ = ['Channel', 'ChannelListener', 'HttpReply', 'open_channel']

#: Largest body of a reply, in bytes.
MAX_REPLY_BYTES = 4 * 1024 * 1024


class HttpReply(NamedTuple):
    """A whole reply; names of headers are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    raw_headers: Sequence[tuple[bytes, bytes]] = ()


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
        self._http = h11.Connection(h11.CLIENT)
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._streaming = False
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
        if self.busy:
            self._receive(b'')
        return None

    def data_received(self, data: bytes) -> None:
        """Take bytes of the server."""
        if self.busy:
            self._receive(data)
        else:
            self.fail('unasked bytes')

    def send(
        self,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        streaming: bool = False,
    ) -> None:
        """Send a request; the channel must be open and free."""
        self._streaming = streaming
        own = (('host', self._host), ('content-length', str(len(body))))
        self.forward(method, path, (*own, *headers), body)

    def forward(
        self,
        method: str,
        path: str,
        headers: Iterable[tuple[Any, Any]],
        body: bytes,
    ) -> None:
        """Send a request whose headers are given whole."""
        self.busy = True
        request = h11.Request(
            method=method,
            target=path,
            headers=list(headers),
        )
        self.transport.write(
            b''.join(
                (
                    self._http.send(request),
                    self._http.send(h11.Data(data=body)),
                    self._http.send(h11.EndOfMessage()),
                ),
            ),
        )

    def fail(self, reason: str) -> None:
        """End the connection at once and report it."""
        self.transport.abort()
        self._end(reason)

    def drop(self) -> None:
        """End the connection at once without a report."""
        self.open = False
        self.busy = False
        self.transport.abort()

    def _receive(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as exc:
            self.fail(f'malformed reply: {exc}')

    def _advance(self) -> None:
        while self.busy:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._take(event)

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Response):
            self._head = event
            self._body.clear()
        elif isinstance(event, h11.Data):
            self._take_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
        elif isinstance(event, h11.ConnectionClosed):
            self.fail('closed by the peer')

    def _take_data(self, data: bytes) -> None:
        if self._streaming:
            self._listener.streamed(self, data)
            return
        self._body.extend(data)
        if len(self._body) > MAX_REPLY_BYTES:
            self.fail('reply too large')

    def _finish(self) -> None:
        head = self._head
        assert head is not None  # noqa: S101
        self.busy = False
        reply = HttpReply(
            head.status_code,
            {
                key.decode('latin-1'): value.decode('latin-1')
                for key, value in head.headers
            },
            bytes(self._body),
            list(head.headers),
        )
        states = {self._http.our_state, self._http.their_state}
        unasked = bool(self._http.trailing_data[0])
        self.reusable = states == {h11.DONE} and not unasked
        if self.reusable:
            self._http.start_next_cycle()
        self._listener.replied(self, reply)
        if not self.reusable:
            self.fail('unasked bytes' if unasked else 'closed by the peer')

    def _end(self, reason: str) -> None:
        if self.open:
            self.open = False
            idle = not self.busy
            self.busy = False
            self._listener.closed(self, reason, idle)


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

"""An HTTP server on the asyncio loop, over h11.

Each connection carries one request at a time.  Requests that a peer sends
ahead wait unparsed until the one before is answered, so that a faulty one
can't disturb it.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import h11

from rosemaryweir.transport.exchange import (
    Exchange,
    HttpRequest,
    encode_json,
    refusal_body,
)
from rosemaryweir.transport.limits import HttpLimits

__all__ = ['HttpServer', 'ServerConnection']

Handler = Callable[[Exchange], None]

HTTP_BAD_REQUEST = 400
HTTP_TIMEOUT = 408
HTTP_TOO_LARGE = 413
HTTP_HEADERS_TOO_LARGE = 431
HTTP_UNAVAILABLE = 503
#: Time that a refused peer may take to read its refusal, in seconds.
LINGER_SECONDS = 1.0
_BODY_FAULTS = frozenset((HTTP_TOO_LARGE, HTTP_HEADERS_TOO_LARGE))


class ServerConnection(asyncio.Protocol):
    """One connection of a peer.

    Parameters
    ----------
    server : HttpServer
        The server, with limits and handler.
    """

    transport: asyncio.Transport

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self.request_count = 0
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )
        self._exchange: Exchange | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._armed_at = float(0)
        self._ahead = 0
        self._writable = True
        self._refused = False

    @property
    def _limits(self) -> HttpLimits:
        # The server's limits may change while the connection stands.
        return self._server.limits

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self.transport = transport
        if self._server.admit(self):
            self._arm(self._limits.read_seconds, self._slow)
        else:
            self._fail(HTTP_UNAVAILABLE, 'overloaded', 'too many connections')

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever works on a request that the peer is gone."""
        self._disarm()
        self._server.forget(self)
        if self._exchange is not None:
            self._exchange.disconnected()
            self._exchange = None

    def data_received(self, data: bytes) -> None:
        """Take bytes of the peer."""
        if self._refused:
            return
        if self._exchange is not None:
            self._hold_ahead(len(data))
        elif self._request is None and self._http.trailing_data[0] == b'':
            self._arm(self._limits.read_seconds, self._slow)
        self._receive(data)

    def eof_received(self) -> bool | None:
        """Take the end of input: a cut request, or a peer that hung up."""
        if self._exchange is None and not self._refused:
            self._receive(b'')
        return None

    def pause_writing(self) -> None:
        """Stop answering until the peer reads."""
        self._writable = False
        self._arm(self._limits.write_seconds, self.transport.abort)

    def resume_writing(self) -> None:
        """Go on with requests that were sent ahead."""
        self._writable = True
        self._disarm()
        if self._exchange is None:
            self._next_cycle()

    def answer(
        self,
        status: int,
        headers: Iterable[tuple[Any, Any]],
        body: bytes,
    ) -> None:
        """Write a whole answer and take the next request."""
        ending = [('connection', 'close')] if self._server.closing else []
        head = h11.Response(
            status_code=status,
            headers=[*headers, ('content-length', str(len(body))), *ending],
        )
        self._exchange = None
        self.transport.write(
            b''.join(
                (
                    self._http.send(head),
                    self._http.send(h11.Data(data=body)),
                    self._http.send(h11.EndOfMessage()),
                ),
            ),
        )
        if self._writable:
            self._next_cycle()

    def start_stream(self, status: int) -> None:
        """Write the head of an answer of unknown length."""
        head = h11.Response(
            status_code=status,
            headers=[('transfer-encoding', 'chunked')],
        )
        self.transport.write(self._http.send(head))

    def stream(self, chunk: bytes) -> None:
        """Write a part of a streamed answer."""
        if not self.transport.is_closing():
            self.transport.write(self._http.send(h11.Data(data=chunk)))

    def end_stream(self) -> None:
        """End a streamed answer and the connection."""
        if not self.transport.is_closing():
            self.transport.write(self._http.send(h11.EndOfMessage()))
            self.transport.close()

    @property
    def idle(self) -> bool:
        """Whether no request is under way, nor a part of one has come."""
        begun = self._request is not None or self._http.trailing_data[0]
        return self._exchange is None and not begun

    def _receive(self, data: bytes | None) -> None:
        try:
            if data is not None:
                self._http.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            reason = 'too_large' if status in _BODY_FAULTS else 'malformed'
            self._fail(status, reason, str(exc))

    def _advance(self) -> None:
        while self._exchange is None and not self._ended():
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._expect_more()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                self.transport.close()
                return
            self._take(event)

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._begin(event)
        elif isinstance(event, h11.Data):
            self._body.extend(event.data)
            if len(self._body) > self._limits.body_bytes:
                self._too_large()
        elif isinstance(event, h11.EndOfMessage):
            self._finish()

    def _begin(self, request: h11.Request) -> None:
        self._request = request
        self._body.clear()
        # h11 bounds only what is incomplete; headers that came in one piece
        # are measured here.
        if _head_bytes(request) > self._limits.header_bytes:
            detail = f'headers have at most {self._limits.header_bytes} bytes'
            self._fail(HTTP_HEADERS_TOO_LARGE, 'too_large', detail)
            return
        declared = _header(request, b'content-length')
        if declared and int(declared) > self._limits.body_bytes:
            self._too_large()

    def _finish(self) -> None:
        request = self._request
        assert request is not None  # noqa: S101
        self._request = None
        self._ahead = 0
        self.request_count += 1
        self._disarm()
        self._exchange = Exchange(_whole(request, bytes(self._body)), self)
        self._server.handler(self._exchange)

    def _expect_more(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self._http.send(go_on))

    def _next_cycle(self) -> None:
        if self._ended():
            return
        if self._http.our_state is not h11.DONE or self._server.closing:
            self.transport.close()
            return
        self.transport.resume_reading()
        self._http.start_next_cycle()
        waiting = self._http.trailing_data[0] != b''
        seconds = (
            self._limits.read_seconds if waiting else self._limits.idle_seconds
        )
        self._arm(seconds, self._slow)
        if waiting:
            # Through the loop: a long run of requests sent ahead must not
            # nest calls or keep other peers waiting.
            asyncio.get_running_loop().call_soon(self._receive_ahead)

    def _receive_ahead(self) -> None:
        if self._exchange is None and not self._ended():
            self._receive(None)

    def _hold_ahead(self, size: int) -> None:
        self._ahead += size
        if self._ahead > self._limits.header_bytes + self._limits.body_bytes:
            self.transport.pause_reading()

    def _too_large(self) -> None:
        detail = f'a body has at most {self._limits.body_bytes} bytes'
        self._fail(HTTP_TOO_LARGE, 'too_large', detail)

    def _slow(self) -> None:
        begun = self._request is not None or self._http.trailing_data[0]
        if begun:
            self._fail(HTTP_TIMEOUT, 'deadline', 'the request came too slowly')
        elif self._idle_longer():
            self._arm(self._limits.idle_seconds, self._slow)
        else:
            self.transport.close()

    def _idle_longer(self) -> bool:
        """Return whether the limit on idle time was raised meanwhile."""
        waited = asyncio.get_running_loop().time() - self._armed_at
        return waited < self._limits.idle_seconds and self.request_count > 0

    def _fail(self, status: int, reason: str, detail: str) -> None:
        self._disarm()
        body = encode_json(refusal_body(reason, detail))
        head = h11.Response(
            status_code=status,
            headers=[
                ('content-type', 'application/json'),
                ('content-length', str(len(body))),
                ('connection', 'close'),
            ],
        )
        if self._http.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            self.transport.write(self._http.send(head))
            self.transport.write(self._http.send(h11.Data(data=body)))
        self._linger()

    def _linger(self) -> None:
        # A close with input unread would reset the connection, and the peer
        # could lose the refusal: end our side, discard what still comes.
        self._refused = True
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._arm(LINGER_SECONDS, self.transport.abort)

    def _ended(self) -> bool:
        return self._refused or self.transport.is_closing()

    def _arm(self, seconds: float, call: Callable[[], None]) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._armed_at = loop.time()
        self._timer = loop.call_later(seconds, call)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class HttpServer:
    """Listens on an address and hands whole requests to a handler.

    Parameters
    ----------
    handler : callable
        Takes an `Exchange`; answers it now or later.
    limits : HttpLimits, optional
        What a connection may cost.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits or HttpLimits()
        self.closing = False
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> str:
        """Listen on ``ip:port`` and return the address in use."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            int(port),
        )
        name = self._server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    def admit(self, conn: ServerConnection) -> bool:
        """Count a new connection; return whether it may stay."""
        self.connections.add(conn)
        return len(self.connections) <= self.limits.connections

    def forget(self, conn: ServerConnection) -> None:
        """Drop a closed connection."""
        self.connections.discard(conn)

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for conn in tuple(self.connections):
            if conn.idle:
                conn.transport.close()

    def abort_all(self) -> None:
        """Drop every connection without a word."""
        for conn in tuple(self.connections):
            conn.transport.abort()

    def stop_listening(self) -> None:
        """Take no new connections; each open one ends with its next answer."""
        self.closing = True
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Stop listening, drop what is open."""
        self.stop_listening()
        for conn in tuple(self.connections):
            conn.transport.close()


def _header(request: h11.Request, name: bytes) -> str:
    return next(
        (
            value.decode('latin-1')
            for key, value in request.headers
            if key == name
        ),
        '',
    )


def _head_bytes(request: h11.Request) -> int:
    sizes = (len(key) + len(text) for key, text in request.headers)
    return len(request.target) + sum(sizes)


def _whole(request: h11.Request, body: bytes) -> HttpRequest:
    return HttpRequest(
        request.method.decode('latin-1'),
        request.target.decode('latin-1'),
        {
            key.decode('latin-1'): value.decode('latin-1')
            for key, value in request.headers
        },
        body,
        list(request.headers),
    )

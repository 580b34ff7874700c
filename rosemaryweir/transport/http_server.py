"""HTTP/1.1 server on asyncio that parses requests with h11.

Each connection handles one request at a time.  Pipelined requests stay
unparsed until the previous one is answered, so that a malformed one can't
affect its answer.
"""

import asyncio
import re
from collections.abc import Callable, Iterable
from typing import Any

import h11

from rosemaryweir.transport.exchange import (
    Exchange,
    HttpRequest,
    encode_json,
    refusal_body,
)
from rosemaryweir.transport.framing import (
    find_framing_defect,
    find_head_defect,
)
from rosemaryweir.transport.limits import HttpLimits

__all__ = ['HttpServer', 'ServerConnection']

Handler = Callable[[Exchange], None]

HTTP_BAD_REQUEST = 400
HTTP_TIMEOUT = 408
HTTP_TOO_LARGE = 413
HTTP_HEADERS_TOO_LARGE = 431
HTTP_INTERNAL_ERROR = 500
HTTP_UNAVAILABLE = 503
HTTP_CONTINUE = 100
#: Time for which a connection stays open after a refusal, so that the client
#: can read it, in seconds.
LINGER_S = 1.0
#: Interval of interim responses to a client that has shut down its sending
#: side, in seconds.  A client that has closed its socket resets the connection
#: on the first, which the second write then reports.
PROBE_INTERVAL_S = 0.1
#: How `h11` quotes received bytes in its error messages.
_QUOTED_BYTES = re.compile(
    r"[:,]? ?(?:bytearray\()?b(['\"]).*\1\)?$", re.DOTALL
)
_TOO_LARGE_STATUSES = frozenset((HTTP_TOO_LARGE, HTTP_HEADERS_TOO_LARGE))


class ServerConnection(asyncio.Protocol):
    """One connection of a client.

    Parameters
    ----------
    server : HttpServer
        Provides the limits and the handler.

    Attributes
    ----------
    request_count : int
        Number of complete requests received.
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
        self._timer_set_at = float(0)
        self._pipelined_bytes = 0
        self._writable = True
        self._refused = False
        self._input_ended = False

    @property
    def _limits(self) -> HttpLimits:
        # The limits of the server may change while the connection is open.
        return self._server.limits

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request, or refuse the connection."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self.transport = transport
        if self._server.admit(self):
            self._set_timer(self._limits.read_seconds, self._on_timeout)
        else:
            self._refuse(HTTP_UNAVAILABLE, 'overloaded', 'too many connections')

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler of the pending request of the disconnect."""
        self._cancel_timer()
        self._server.forget(self)
        if self._exchange is not None:
            self._exchange.disconnected()
            self._exchange = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._refused:
            return
        if self._exchange is not None:
            self._limit_pipelined(len(data))
        elif self._request is None and self._http.trailing_data[0] == b'':
            self._set_timer(self._limits.read_seconds, self._on_timeout)
        self._receive(data)

    def eof_received(self) -> bool | None:
        """Handle the end of input: an incomplete request or a disconnect.

        A client may have shut down only its sending side.  It is sent interim
        responses, which a closed socket answers with a reset.
        """
        self._input_ended = True
        if self._refused:
            return None
        if self._exchange is None:
            self._receive(b'')
            return None
        self._http.receive_data(b'')
        return self._probe()

    def pause_writing(self) -> None:
        """Handle no further requests until the client reads its answers."""
        self._writable = False
        self._set_timer(self._limits.write_seconds, self.transport.abort)

    def resume_writing(self) -> None:
        """Continue with pipelined requests."""
        self._writable = True
        self._cancel_timer()
        if self._exchange is None:
            self._start_next_cycle()

    def write_response(
        self,
        status: int,
        headers: Iterable[tuple[Any, Any]],
        body: bytes,
    ) -> None:
        """Write a complete response and handle the next request."""
        close_header = (
            [(b'connection', b'close')] if self._server.closing else []
        )
        head = h11.Response(
            status_code=status,
            headers=[
                *((_encode(name), _encode(text)) for name, text in headers),
                (b'content-length', b'%d' % len(body)),
                *close_header,
            ],
        )
        self._exchange = None
        self._cancel_timer()
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
            self._start_next_cycle()

    def start_stream(self, status: int) -> None:
        """Write the head of a chunked response."""
        head = h11.Response(
            status_code=status,
            headers=[('transfer-encoding', 'chunked')],
        )
        self.transport.write(self._http.send(head))

    def stream(self, chunk: bytes) -> None:
        """Write a chunk of a streamed response."""
        if not self.transport.is_closing():
            self.transport.write(self._http.send(h11.Data(data=chunk)))

    def end_stream(self) -> None:
        """Finish a streamed response and close the connection."""
        if not self.transport.is_closing():
            self.transport.write(self._http.send(h11.EndOfMessage()))
            self.transport.close()

    @property
    def idle(self) -> bool:
        """Whether no request is pending or partly received."""
        started = self._request is not None or self._http.trailing_data[0]
        return self._exchange is None and not started

    def _receive(self, data: bytes | None) -> None:
        try:
            if data is not None:
                self._http.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            reason = (
                'too_large' if status in _TOO_LARGE_STATUSES else 'malformed'
            )
            self._refuse(status, reason, _QUOTED_BYTES.sub('', str(exc)))

    def _parse(self) -> None:
        while self._exchange is None and not self._is_closing():
            if self._http.their_state is h11.IDLE:
                defect = find_head_defect(self._http.trailing_data[0])
                if defect:
                    self._refuse(HTTP_BAD_REQUEST, 'malformed', defect)
                    return
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._continue_if_expected()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                self.transport.close()
                return
            self._handle_event(event)

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._start_request(event)
        elif isinstance(event, h11.Data):
            self._body.extend(event.data)
            if len(self._body) > self._limits.body_bytes:
                self._refuse_body()
        elif isinstance(event, h11.EndOfMessage):
            self._finish_request()

    def _start_request(self, request: h11.Request) -> None:
        self._request = request
        self._body.clear()
        defect = find_framing_defect(request)
        if defect:
            self._refuse(HTTP_BAD_REQUEST, 'malformed', defect)
            return
        # h11 limits only incomplete heads; the size of a head that arrives
        # complete in one read is checked here.
        if _head_size(request) > self._limits.header_bytes:
            detail = f'headers exceed {self._limits.header_bytes} bytes'
            self._refuse(HTTP_HEADERS_TOO_LARGE, 'too_large', detail)
            return
        content_length = _header(request, b'content-length')
        if content_length and int(content_length) > self._limits.body_bytes:
            self._refuse_body()

    def _finish_request(self) -> None:
        request = self._request
        assert request is not None  # noqa: S101
        self._request = None
        self._pipelined_bytes = 0
        self.request_count += 1
        self._cancel_timer()
        self._exchange = Exchange(
            _to_http_request(request, bytes(self._body)), self
        )
        self._server.handle(self._exchange)

    def _continue_if_expected(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._send_interim()

    def _start_next_cycle(self) -> None:
        if self._is_closing():
            return
        if self._http.our_state is not h11.DONE or self._server.closing:
            self.transport.close()
            return
        self.transport.resume_reading()
        self._http.start_next_cycle()
        pipelined = self._input_ended or self._http.trailing_data[0] != b''
        seconds = (
            self._limits.read_seconds
            if pipelined
            else self._limits.idle_seconds
        )
        self._set_timer(seconds, self._on_timeout)
        if pipelined:
            # Scheduled on the event loop: a long series of pipelined requests
            # must neither nest calls nor block other connections.
            asyncio.get_running_loop().call_soon(self._receive_pipelined)

    def _receive_pipelined(self) -> None:
        if self._exchange is None and not self._is_closing():
            self._receive(None)

    def _limit_pipelined(self, size: int) -> None:
        self._pipelined_bytes += size
        if (
            self._pipelined_bytes
            > self._limits.header_bytes + self._limits.body_bytes
        ):
            self.transport.pause_reading()

    def _probe(self) -> bool:
        """Send an interim response; return whether the connection stays open.

        HTTP/1.0 has no interim responses, and a response that has begun can't
        be preceded by one: the client then counts as disconnected.
        """
        can_probe = (
            self._exchange is not None
            and self._http.their_http_version == b'1.1'
            and self._http.our_state is h11.SEND_RESPONSE
        )
        if can_probe and not self.transport.is_closing():
            self._send_interim()
            self._set_timer(PROBE_INTERVAL_S, self._probe)
        return can_probe

    def _send_interim(self) -> None:
        informational = h11.InformationalResponse(
            status_code=HTTP_CONTINUE, headers=[]
        )
        self.transport.write(self._http.send(informational))

    def _refuse_body(self) -> None:
        detail = f'request body exceeds {self._limits.body_bytes} bytes'
        self._refuse(HTTP_TOO_LARGE, 'too_large', detail)

    def _on_timeout(self) -> None:
        started = self._request is not None or self._http.trailing_data[0]
        if started:
            self._refuse(
                HTTP_TIMEOUT, 'deadline', 'request not complete in time'
            )
        elif self._idle_limit_raised():
            self._set_timer(self._limits.idle_seconds, self._on_timeout)
        else:
            self.transport.close()

    def _idle_limit_raised(self) -> bool:
        """Return whether the idle time limit was raised in the meantime."""
        elapsed = asyncio.get_running_loop().time() - self._timer_set_at
        return elapsed < self._limits.idle_seconds and self.request_count > 0

    def _refuse(self, status: int, reason: str, detail: str) -> None:
        self._cancel_timer()
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
        # Closing a socket with unread input resets the connection, and the
        # client could lose the refusal: close only the sending side, and
        # discard further input.
        self._refused = True
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._set_timer(LINGER_S, self.transport.abort)

    def _is_closing(self) -> bool:
        return self._refused or self.transport.is_closing()

    def _set_timer(self, seconds: float, call: Callable[[], object]) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer_set_at = loop.time()
        self._timer = loop.call_later(seconds, call)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class HttpServer:
    """Listens on an address and passes complete requests to a handler.

    Parameters
    ----------
    handler : callable
        Called with an `Exchange`, which it answers now or later.
    limits : HttpLimits, optional
        Limits of sizes, times and the number of connections.

    Attributes
    ----------
    closing : bool
        Whether each connection is closed with its next response.
    connections : set of ServerConnection
        The open connections.
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
        """Listen on ``ip:port`` and return the bound address."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            int(port),
        )
        name = self._server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    def handle(self, exchange: Exchange) -> None:
        """Pass a request to the handler.

        A handler that fails costs its request, and is reported to the event
        loop's exception handler; the process goes on.
        """
        try:
            self.handler(exchange)
        except Exception as exc:  # noqa: BLE001
            asyncio.get_running_loop().call_exception_handler(
                {
                    'message': f'handler of {exchange.request.path} failed',
                    'exception': exc,
                },
            )
            body = {**refusal_body('internal', repr(exc)), 'ran': 'unknown'}
            exchange.reply_json(HTTP_INTERNAL_ERROR, body)

    def admit(self, conn: ServerConnection) -> bool:
        """Register a new connection; return whether the limit allows it."""
        self.connections.add(conn)
        return len(self.connections) <= self.limits.connections

    def forget(self, conn: ServerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(conn)

    def close_idle(self) -> None:
        """Close the connections without a pending request."""
        for conn in tuple(self.connections):
            if conn.idle:
                conn.transport.close()

    @property
    def busy(self) -> bool:
        """Whether any connection has a request or unsent response bytes."""
        return any(
            not conn.idle or conn.transport.get_write_buffer_size()
            for conn in self.connections
        )

    def abort_all(self) -> None:
        """Abort every connection without an answer."""
        for conn in tuple(self.connections):
            conn.transport.abort()

    def stop_listening(self) -> None:
        """Accept no new connections; close open ones after the next answer."""
        self.closing = True
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for conn in tuple(self.connections):
            conn.transport.close()


def _encode(text: str | bytes) -> bytes:
    # Bytes above 127 are opaque, and passed on as they were received.
    return text if isinstance(text, bytes) else text.encode('latin-1')


def _header(request: h11.Request, name: bytes) -> str:
    return next(
        (
            value.decode('latin-1')
            for key, value in request.headers
            if key == name
        ),
        '',
    )


def _head_size(request: h11.Request) -> int:
    sizes = (len(key) + len(text) for key, text in request.headers)
    return len(request.target) + sum(sizes)


def _to_http_request(request: h11.Request, body: bytes) -> HttpRequest:
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

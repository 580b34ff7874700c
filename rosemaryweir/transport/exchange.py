"""HTTP requests on a server and the means to answer them."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

import msgspec

__all__ = [
    'Exchange',
    'HttpRequest',
    'ResponseWriter',
    'encode_json',
    'refusal_body',
]

JSON_TYPE = 'application/json'
_ENCODER = msgspec.json.Encoder()


class HttpRequest(NamedTuple):
    """A complete HTTP request; header names are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    raw_headers: Sequence[tuple[bytes, bytes]] = ()


class ResponseWriter(Protocol):
    """Connection on which the response to a request is written.

    Attributes
    ----------
    request_count : int
        Number of requests received on the connection.
    """

    transport: asyncio.Transport
    request_count: int

    def write_response(
        self,
        status: int,
        headers: Iterable[tuple[Any, Any]],
        body: bytes,
    ) -> None:
        """Write a complete response."""

    def start_stream(self, status: int) -> None:
        """Write the head of a response of unknown length."""

    def stream(self, chunk: bytes) -> None:
        """Write a chunk of a streamed response."""

    def end_stream(self) -> None:
        """Finish a streamed response."""


class Exchange:
    """A request and its response.

    Parameters
    ----------
    request : HttpRequest
        The complete request.
    writer : ResponseWriter
        The connection on which it arrived.

    Attributes
    ----------
    on_disconnect : callable or None
        Called once if the client disconnects before the response.
    done : bool
        Whether the response was written or can no longer be written.
    """

    def __init__(self, request: HttpRequest, writer: ResponseWriter) -> None:
        self.request = request
        self.on_disconnect: Callable[[], None] | None = None
        self.done = False
        self.writer = writer

    def reply(
        self,
        status: int,
        body: bytes,
        headers: Iterable[tuple[Any, Any]] = (),
    ) -> None:
        """Send a response, unless the exchange is done."""
        if not self.done:
            self.done = True
            self.writer.write_response(status, headers, body)

    def reply_json(
        self,
        status: int,
        content: Any,
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Send a JSON response."""
        self.reply(
            status,
            encode_json(content),
            (('content-type', JSON_TYPE), *headers),
        )

    def refuse(self, status: int, reason: str, detail: str) -> None:
        """Send a refusal with its reason and detail."""
        self.reply_json(status, refusal_body(reason, detail))

    def abort(self) -> None:
        """Abort the connection without a response."""
        self.done = True
        self.writer.transport.abort()

    def disconnected(self) -> None:
        """Handle the disconnect of the client."""
        if not self.done:
            self.done = True
            if self.on_disconnect is not None:
                self.on_disconnect()


def encode_json(content: Any) -> bytes:
    """Return the compact JSON encoding of content.

    Examples
    --------
    >>> encode_json({'key': 'clé'}).decode()
    '{"key":"clé"}'
    """
    return _ENCODER.encode(content)


def refusal_body(reason: str, detail: str) -> dict[str, str]:
    """Return the body of a refusal of a request that was not run."""
    return {'reason': reason, 'ran': 'not_run', 'detail': detail}

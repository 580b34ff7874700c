"""One HTTP request on a server and the means to answer it."""

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
    """A whole HTTP request; names of headers are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    raw_headers: Sequence[tuple[bytes, bytes]] = ()


class ResponseWriter(Protocol):
    """The connection that an exchange answers on."""

    transport: asyncio.Transport
    request_count: int

    def answer(
        self,
        status: int,
        headers: Iterable[tuple[Any, Any]],
        body: bytes,
    ) -> None:
        """Write a whole answer."""

    def start_stream(self, status: int) -> None:
        """Write the head of an answer of unknown length."""

    def stream(self, chunk: bytes) -> None:
        """Write a part of a streamed answer."""

    def end_stream(self) -> None:
        """End a streamed answer."""


class Exchange:
    """A request and its answer.

    Parameters
    ----------
    request : HttpRequest
        The request, whole.
    writer : ResponseWriter
        The connection it came on.

    Attributes
    ----------
    on_disconnect : callable or None
        Called once when the peer hangs up before the answer.
    done : bool
        Whether the answer was written or can't be any more.
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
        """Answer, unless the peer is gone or was answered."""
        if not self.done:
            self.done = True
            self.writer.answer(status, headers, body)

    def reply_json(
        self,
        status: int,
        content: Any,
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Answer with JSON content."""
        self.reply(
            status,
            encode_json(content),
            (('content-type', JSON_TYPE), *headers),
        )

    def refuse(self, status: int, reason: str, detail: str) -> None:
        """Answer with a typed refusal."""
        self.reply_json(status, refusal_body(reason, detail))

    def abort(self) -> None:
        """Drop the connection without an answer."""
        self.done = True
        self.writer.transport.abort()

    def disconnected(self) -> None:
        """Note that the peer hung up."""
        if not self.done:
            self.done = True
            if self.on_disconnect is not None:
                self.on_disconnect()


def encode_json(content: Any) -> bytes:
    """Return compact JSON.

    Examples
    --------
    >>> encode_json({'key': 'clé'}).decode()
    '{"key":"clé"}'
    """
    return _ENCODER.encode(content)


def refusal_body(reason: str, detail: str) -> dict[str, str]:
    """Return the body of a refusal before any work ran."""
    return {'reason': reason, 'ran': 'not_run', 'detail': detail}

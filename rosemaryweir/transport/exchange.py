"""One HTTP request on a server and the means to answer it."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

import msgspec

__all__ = [
    'Exchange',
    'HttpRequest',
    'Replier',
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


class Replier(Protocol):
    """The connection that an exchange answers on."""

    transport: asyncio.Transport
    requests: int

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
    replier : Replier
        The connection it came on.

    Attributes
    ----------
    on_gone : callable or None
        Called once when the peer hangs up before the answer.
    done : bool
        Whether the answer was written or can't be any more.
    """

    def __init__(self, request: HttpRequest, replier: Replier) -> None:
        self.request = request
        self.on_gone: Callable[[], None] | None = None
        self.done = False
        self.replier = replier

    def reply(
        self,
        status: int,
        body: bytes,
        headers: Iterable[tuple[Any, Any]] = (),
    ) -> None:
        """Answer, unless the peer is gone or was answered."""
        if not self.done:
            self.done = True
            self.replier.answer(status, headers, body)

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
        self.replier.transport.abort()

    def gone(self) -> None:
        """Note that the peer hung up."""
        if not self.done:
            self.done = True
            if self.on_gone is not None:
                self.on_gone()


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

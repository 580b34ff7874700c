"""One request of the command line to a VM, over h11."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from rosemaryweir.transport.http_client import (
    Channel,
    HttpReply,
    open_channel,
)

__all__ = ['Answer', 'CallFailed', 'attempt', 'call']

CONNECT_S = 2.0
ANSWER_S = 15.0


class Answer(NamedTuple):
    """A reply: HTTP status and decoded JSON body."""

    status: int
    body: Any


class CallFailed(NamedTuple):
    """A request without an answer, and why."""

    address: str
    reason: str

    def __str__(self) -> str:
        """Return one line for people."""
        return f'no answer from {self.address}: {self.reason}'


class _Waiter:
    """Listen for the one reply of a channel."""

    def __init__(self) -> None:
        self.fut: asyncio.Future[HttpReply] = (
            asyncio.get_running_loop().create_future()
        )

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Take the reply."""
        if not self.fut.done():
            self.fut.set_result(reply)

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Ignore parts: no streamed reply is asked for."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Fail when the reply can't come any more."""
        if not self.fut.done():
            self.fut.set_exception(ConnectionError(reason))


async def _exchange(
    address: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None,
) -> HttpReply:
    waiter = _Waiter()
    channel = await open_channel(address, waiter, CONNECT_S)
    content = b'' if body is None else json.dumps(body).encode()
    headers = (('content-type', 'application/json'),)
    channel.send(method, path, headers, content)
    async with asyncio.timeout(ANSWER_S):
        reply = await waiter.fut
    channel.drop()
    return reply


def call(
    address: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> Result[Answer, CallFailed]:
    """Send one request and wait for its answer.

    Parameters
    ----------
    address : str
        ``ip:port`` of an entry or of an agent.
    method, path : str
        Method and path of the HTTP interface.
    body : mapping, optional
        Body, sent as JSON.
    """
    outcome = asyncio.run(attempt(address, method, path, body))
    if isinstance(outcome, CallFailed):
        return Failure(outcome)
    return Success(outcome)


async def attempt(
    address: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> Answer | CallFailed:
    """Do what `call` does, inside a running loop."""
    try:
        reply = await _exchange(address, method, path, body)
    except (OSError, ValueError) as exc:
        return CallFailed(address, str(exc) or type(exc).__name__)
    return Answer(reply.status, json.loads(reply.body or b'null'))

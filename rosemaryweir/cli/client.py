"""One request of the command line to a VM, over h11."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from rosemaryweir.transport.fetch import fetch

__all__ = [
    'CallFailure',
    'CallResponse',
    'call',
    'call_async',
]

RESPONSE_TIMEOUT_S = 15.0
JSON_HEADERS = (('content-type', 'application/json'),)


class CallResponse(NamedTuple):
    """A reply: HTTP status and decoded JSON body."""

    status: int
    body: Any


class CallFailure(NamedTuple):
    """A request without an answer, and why."""

    address: str
    reason: str

    def __str__(self) -> str:
        """Return one line for people."""
        return f'no answer from {self.address}: {self.reason}'


def call(
    address: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> Result[CallResponse, CallFailure]:
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
    outcome = asyncio.run(call_async(address, method, path, body))
    if isinstance(outcome, CallFailure):
        return Failure(outcome)
    return Success(outcome)


async def call_async(
    address: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> CallResponse | CallFailure:
    """Do what `call` does, inside a running loop."""
    content = b'' if body is None else json.dumps(body).encode()
    try:
        reply = await fetch(
            address, method, path, JSON_HEADERS, content, RESPONSE_TIMEOUT_S
        )
    except OSError as exc:
        return CallFailure(address, str(exc) or type(exc).__name__)
    return CallResponse(reply.status, json.loads(reply.body or b'null'))

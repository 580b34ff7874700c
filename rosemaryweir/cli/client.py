"""HTTP requests of the command line to a VM."""

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
    """A response: HTTP status and decoded JSON body."""

    status: int
    body: Any


class CallFailure(NamedTuple):
    """A request without a response, and the reason."""

    address: str
    reason: str

    def __str__(self) -> str:
        """Return a message of one line for the user."""
        return f'no answer from {self.address}: {self.reason}'


def call(
    address: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> Result[CallResponse, CallFailure]:
    """Send a request and wait for the response.

    Parameters
    ----------
    address : str
        Address (``ip:port``) of an entry or an agent.
    method, path : str
        Method and path of the HTTP interface.
    body : mapping, optional
        Body, which is sent as JSON.
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
    """Send a request from a running event loop; see `call`."""
    content = b'' if body is None else json.dumps(body).encode()
    try:
        reply = await fetch(
            address, method, path, JSON_HEADERS, content, RESPONSE_TIMEOUT_S
        )
    except OSError as exc:
        return CallFailure(address, str(exc) or type(exc).__name__)
    return CallResponse(reply.status, json.loads(reply.body or b'null'))

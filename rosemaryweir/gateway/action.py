"""Inputs of the gateway, and the actions that it returns."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    'Action',
    'CallerResponse',
    'CloseTargetConnection',
    'DecodedReply',
    'InboundRequest',
    'LogEntry',
    'OpenTargetConnection',
    'SendAttempt',
]

Headers = Sequence[tuple[bytes, bytes]]


class InboundRequest(NamedTuple):
    """A caller's complete request.

    Parameters
    ----------
    exchange_id : int
        Identifies the exchange on this VM.
    request_id : str
        Identifier that the caller gave to this attempt.
    method, target, host : str
        Method, request target and host.
    headers : sequence of (bytes, bytes)
        Headers to pass on.
    body : bytes
        Complete body.
    time_left : float or None
        Seconds until the caller's deadline; None if not stated.
    first_on_connection : bool
        Whether it is the first request of its connection, so that the caller
        also waited for the connection.
    defect : str
        What is wrong with the request; empty if nothing is.
    """

    exchange_id: int
    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    time_left: float | None
    first_on_connection: bool = False
    defect: str = ''


class DecodedReply(NamedTuple):
    """A target's complete reply, with the meaning of its headers.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : sequence of (bytes, bytes)
        All headers.
    body : bytes
        Complete body.
    request_id : str
        Identifier of the request that it replies to; empty if not stated.
    signature : str
        Proof that the target made this reply; empty without one.
    not_run : bool
        Whether the target states that it did not run the request.
    misdirected : bool
        Whether another incarnation is at this address.
    cold_seconds : float or None
        Seconds until the target is warm, if stated.
    leaving : bool
        Whether the target states that it is about to end.
    rest_seconds : float
        Seconds for which the target wants no requests; 0 for none.
    malformed_rest : str
        What it states instead of a number of seconds; empty if it does not.
    """

    status: int
    headers: Headers
    body: bytes
    request_id: str
    signature: str
    not_run: bool = False
    misdirected: bool = False
    cold_seconds: float | None = None
    leaving: bool = False
    rest_seconds: float = 0.0
    malformed_rest: str = ''


class OpenTargetConnection(NamedTuple):
    """Open a connection to a target."""

    conn: int
    address: str
    timeout: float
    domain: str = ''


class CloseTargetConnection(NamedTuple):
    """Close a connection, aborting the attempt in flight on it."""

    conn: int


class SendAttempt(NamedTuple):
    """Send a request on an idle connection."""

    conn: int
    attempt: int
    request: InboundRequest
    incarnation: str
    time_left: float


class CallerResponse(NamedTuple):
    """Send the final response to a caller.

    Parameters
    ----------
    exchange_id : int
        The exchange.
    status : int
        HTTP status.
    headers : sequence of (bytes, bytes)
        Headers of the relayed reply.
    body : bytes
        Complete body.
    signatures : tuple of str or None
        Signatures of the partial replies that a merged response is made of.
    missing_shards : int
        Number of shards that a merged response leaves out.
    retry_after : float or None
        Seconds after which the caller should retry.
    reason : str
        Reason of a failure; empty on success.
    route : str
        Name of the route; empty without one.
    duration : float
        Seconds since the request was received.
    relayed : bool
        Whether status, headers and body are a target's.
    """

    exchange_id: int
    status: int
    headers: Headers = ()
    body: bytes = b''
    signatures: tuple[str, ...] | None = None
    missing_shards: int = 0
    retry_after: float | None = None
    reason: str = ''
    route: str = ''
    duration: float = 0.0
    relayed: bool = False


class LogEntry(NamedTuple):
    """Write a log entry: number of its event and values of its fields."""

    number: int
    fields: dict[str, object]


Action = (
    OpenTargetConnection
    | CloseTargetConnection
    | SendAttempt
    | CallerResponse
    | LogEntry
)

"""What the gateway asks its ports to do, and what they tell it."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    'Action',
    'CallerResponse',
    'InboundRequest',
    'CloseTargetConnection',
    'LogEntry',
    'OpenTargetConnection',
    'SendAttempt',
    'DecodedReply',
]

Headers = Sequence[tuple[bytes, bytes]]


class InboundRequest(NamedTuple):
    """A caller's whole request.

    Parameters
    ----------
    exchange_id : int
        Identifies the exchange on this VM.
    request_id : str
        Name that the caller gave this attempt.
    method, target, host : str
        Request line and host.
    headers : sequence of (bytes, bytes)
        Headers to pass on.
    body : bytes
        Body, whole.
    time_left : float or None
        Seconds that the caller waits, if it says so.
    first_on_connection : bool
        Whether it is the first request of its connection, which the caller
        waited for as well.
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


class DecodedReply(NamedTuple):
    """A target's whole reply.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : sequence of (bytes, bytes)
        All its headers.
    body : bytes
        Body, whole.
    request_id : str
        Request that it says it answers; empty when it doesn't say.
    signature : str
        Proof that the target made this reply; empty without one.
    not_run : bool
        Whether the target states that it did not run the request.
    misdirected : bool
        Whether another incarnation is at this address.
    cold_seconds : float or None
        Seconds that the target says it stays cold, if it does.
    """

    status: int
    headers: Headers
    body: bytes
    request_id: str
    signature: str
    not_run: bool = False
    misdirected: bool = False
    cold_seconds: float | None = None


class OpenTargetConnection(NamedTuple):
    """Open a connection to a target."""

    conn: int
    address: str
    timeout: float


class CloseTargetConnection(NamedTuple):
    """Drop a connection, with what is in flight on it."""

    conn: int


class SendAttempt(NamedTuple):
    """Send a request on a free connection."""

    conn: int
    attempt: int
    request: InboundRequest
    incarnation: str
    time_left: float


class CallerResponse(NamedTuple):
    """Answer a caller.

    Parameters
    ----------
    exchange_id : int
        The exchange.
    status : int
        HTTP status.
    headers : sequence of (bytes, bytes)
        Headers of the target whose reply is passed on.
    body : bytes
        Body, whole.
    signatures : tuple of str or None
        Signatures of the partials that a merged answer is made of.
    missing_shards : int
        Shards that a merged answer leaves out.
    retry_after : float or None
        Seconds after which the caller should come back.
    reason : str
        Why there is no success; empty for one.
    route : str
        Name of the route; empty without one.
    duration : float
        Seconds since the request came.
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


class LogEntry(NamedTuple):
    """Log a decision: number and fields of an event of the catalogue."""

    number: int
    fields: dict[str, object]


Action = (
    OpenTargetConnection
    | CloseTargetConnection
    | SendAttempt
    | CallerResponse
    | LogEntry
)

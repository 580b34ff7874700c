"""What the gateway asks its ports to do, and what they tell it."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    'Action',
    'Answer',
    'Ask',
    'CloseConnection',
    'Note',
    'OpenConnection',
    'SendAttempt',
    'TargetReply',
]

Headers = Sequence[tuple[bytes, bytes]]


class Ask(NamedTuple):
    """A caller's whole request.

    Parameters
    ----------
    req : int
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
    first : bool
        Whether it is the first request of its connection, which the caller
        waited for as well.
    """

    req: int
    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    time_left: float | None
    first: bool = False


class TargetReply(NamedTuple):
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
    cold_for : float or None
        Seconds that the target says it stays cold, if it does.
    """

    status: int
    headers: Headers
    body: bytes
    request_id: str
    signature: str
    not_run: bool = False
    misdirected: bool = False
    cold_for: float | None = None


class OpenConnection(NamedTuple):
    """Open a connection to a target."""

    conn: int
    address: str
    timeout: float


class CloseConnection(NamedTuple):
    """Drop a connection, with what is in flight on it."""

    conn: int


class SendAttempt(NamedTuple):
    """Send a request on a free connection."""

    conn: int
    attempt: int
    ask: Ask
    incarnation: str
    time_left: float


class Answer(NamedTuple):
    """Answer a caller.

    Parameters
    ----------
    req : int
        The exchange.
    status : int
        HTTP status.
    headers : sequence of (bytes, bytes)
        Headers of the target whose reply is passed on.
    body : bytes
        Body, whole.
    signatures : tuple of str or None
        Signatures of the partials that a merged answer is made of.
    missing : int
        Shards that a merged answer leaves out.
    retry_after : float or None
        Seconds after which the caller should come back.
    reason : str
        Why there is no success; empty for one.
    route : str
        Name of the route; empty without one.
    took : float
        Seconds since the request came.
    """

    req: int
    status: int
    headers: Headers = ()
    body: bytes = b''
    signatures: tuple[str, ...] | None = None
    missing: int = 0
    retry_after: float | None = None
    reason: str = ''
    route: str = ''
    took: float = 0.0


class Note(NamedTuple):
    """Log a decision: number and fields of an event of the catalogue."""

    number: int
    fields: dict[str, object]


Action = OpenConnection | CloseConnection | SendAttempt | Answer | Note

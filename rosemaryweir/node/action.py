"""Actions that a node returns for its driver to carry out.

The driver carries actions out in order and reports some results as events:
``ConnectionOpened`` or ``ConnectionFailed`` for `OpenConnection`,
``TargetReply`` or ``ConnectionClosed`` for `SendTarget`, ``StoreReply`` or
``StoreFailed`` for calls of the store.  `SendPeer` has no result; the message
may be lost.

Times are monotonic seconds on the clock of the node.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, TypeAlias

__all__ = [
    'Action',
    'CancelAttempt',
    'CloseConnection',
    'Exit',
    'ListPlatform',
    'LogEvent',
    'Metric',
    'OpenConnection',
    'ProbeTarget',
    'ReplyCaller',
    'SendPeer',
    'SendTarget',
    'StopListening',
    'StoreDelete',
    'StoreGet',
    'StoreList',
    'StorePut',
    'StoreUnwatch',
    'StoreWatch',
]


class ReplyCaller(NamedTuple):
    """Reply to a caller.

    ``status`` is the HTTP status; ``body`` has a type of
    ``schema/http.json``.
    """

    req: int
    status: int
    body: Mapping[str, Any]


class OpenConnection(NamedTuple):
    """Open a connection to a target; fail it at the deadline."""

    conn: int
    target: str
    address: str
    deadline: float


class CloseConnection(NamedTuple):
    """Close a connection at once, even with a request in flight."""

    conn: int
    reason: str


class SendTarget(NamedTuple):
    """Send a request on an open, idle connection.

    Parameters
    ----------
    conn : int
        The connection.
    attempt : str
        Identifier that the target must echo.
    work : str
        ``query`` or ``order``.
    body : mapping
        For a query ``shard``, ``layout``, ``version`` and ``text``; for an
        order ``order_key`` and ``body``.
    deadline : float
        Time after which the reply is of no use.  The target receives the
        remaining time.
    """

    conn: int
    attempt: str
    work: str
    body: Mapping[str, Any]
    deadline: float


class CancelAttempt(NamedTuple):
    """Cancel an attempt at a target, outside of its connections.

    The attempt still holds its slot until the target replies or the
    connection closes.
    """

    target: str
    address: str
    attempt: str


class ProbeTarget(NamedTuple):
    """Request the health and load of a target."""

    target: str
    address: str
    deadline: float


class SendPeer(NamedTuple):
    """Send a message to another process of the system.

    The message is dropped if it cannot be sent by the deadline.  ``to`` is
    ``vm/role``; ``address`` is ``ip:port``.
    """

    to: str
    address: str
    message: Mapping[str, Any]
    deadline: float


class StoreGet(NamedTuple):
    """Get an object."""

    call: str
    key: str


class StoreList(NamedTuple):
    """List the objects whose keys begin with a prefix."""

    call: str
    prefix: str


class StorePut(NamedTuple):
    """Write an object if it has the expected version; 0 for a new one."""

    call: str
    key: str
    expected: int
    content: bytes


class StoreDelete(NamedTuple):
    """Delete an object if it has the expected version."""

    call: str
    key: str
    expected: int


class StoreWatch(NamedTuple):
    """Watch a prefix for changes after a revision."""

    call: str
    prefix: str
    revision: int


class StoreUnwatch(NamedTuple):
    """End a watch."""

    call: str


class ListPlatform(NamedTuple):
    """Request the platform's list of VMs."""


class LogEvent(NamedTuple):
    """Log an event whose kind `rosemaryweir.telemetry.log_events` registers."""

    number: int
    fields: Mapping[str, Any]


class Metric(NamedTuple):
    """Record a measurement.

    ``kind`` is ``count``, ``gauge`` or ``time`` (in ms).
    """

    kind: str
    name: str
    amount: float
    tags: Mapping[str, str]


class StopListening(NamedTuple):
    """Accept no new connections of callers; serve the open ones."""


class Exit(NamedTuple):
    """End the process: the node has no work left."""

    code: int = 0


Action: TypeAlias = (
    ReplyCaller
    | OpenConnection
    | CloseConnection
    | SendTarget
    | CancelAttempt
    | ProbeTarget
    | SendPeer
    | StoreGet
    | StoreList
    | StorePut
    | StoreDelete
    | StoreWatch
    | StoreUnwatch
    | ListPlatform
    | LogEvent
    | Metric
    | StopListening
    | Exit
)

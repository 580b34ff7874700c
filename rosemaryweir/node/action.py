"""Actions: everything that a node can ask of its driver.

The driver carries actions out in order.  It answers those that have a
counterpart among the events: `OpenConnection` by ``ConnectionOpened`` or
``ConnectionFailed``, `SendTarget` by ``TargetReply`` or ``ConnectionClosed``,
store calls by ``StoreReply`` or ``StoreFailed``.  `SendPeer` promises nothing.

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
    """Answer a caller.

    ``status`` is the HTTP status, ``body`` of a type of
    ``schema/http.json``.
    """

    req: int
    status: int
    body: Mapping[str, Any]


class OpenConnection(NamedTuple):
    """Open a connection to a target; give up at the deadline."""

    conn: int
    target: str
    address: str
    deadline: float


class CloseConnection(NamedTuple):
    """Close a connection at once, whatever is in flight on it."""

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
        Time at which the answer is worth nothing; the target is told the
        time left.
    """

    conn: int
    attempt: str
    work: str
    body: Mapping[str, Any]
    deadline: float


class CancelAttempt(NamedTuple):
    """Tell a target, beside its connections, to drop an attempt.

    The attempt still holds its slot until the target answers or the
    connection closes.
    """

    target: str
    address: str
    attempt: str


class ProbeTarget(NamedTuple):
    """Ask a target for its health and load."""

    target: str
    address: str
    deadline: float


class SendPeer(NamedTuple):
    """Send a message to a process of the system.

    It is dropped when it can't leave by the deadline.  ``to`` is
    ``vm/role``, ``address`` is ``ip:port``.
    """

    to: str
    address: str
    message: Mapping[str, Any]
    deadline: float


class StoreGet(NamedTuple):
    """Get one object."""

    call: str
    key: str


class StoreList(NamedTuple):
    """List the objects whose keys begin with a prefix."""

    call: str
    prefix: str


class StorePut(NamedTuple):
    """Write one object if its version is as expected; 0 stands for none."""

    call: str
    key: str
    expected: int
    content: bytes


class StoreDelete(NamedTuple):
    """Delete one object if its version is as expected."""

    call: str
    key: str
    expected: int


class StoreWatch(NamedTuple):
    """Watch a prefix for changes after a revision, until it ends."""

    call: str
    prefix: str
    revision: int


class StoreUnwatch(NamedTuple):
    """End a watch."""

    call: str


class ListPlatform(NamedTuple):
    """Ask the platform for its list of VMs."""


class LogEvent(NamedTuple):
    """Log a numbered event of the catalogue `rosemaryweir.telemetry`."""

    number: int
    fields: Mapping[str, Any]


class Metric(NamedTuple):
    """A measurement.

    ``form`` is ``count``, ``gauge`` or ``time`` (in ms).
    """

    form: str
    name: str
    amount: float
    tags: Mapping[str, str]


class StopListening(NamedTuple):
    """Take no new connections of callers; serve those that are open."""


class Exit(NamedTuple):
    """The node has nothing left to do: end the process."""

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

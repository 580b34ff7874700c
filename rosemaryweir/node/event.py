"""Events: everything that a node can be told.

A node is a state machine: drivers turn input into the events below and carry
out the actions of `rosemaryweir.node.action`.  Each event carries the
identifier that ties it to its cause.  ``topic`` narrows the dispatch within a
type of event: the kind of a message, the path of a request, the part of the
node that made a store call.

Times are monotonic seconds unless a name says otherwise.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, TypeAlias

__all__ = [
    'CallerGone',
    'CallerRequest',
    'ConnectionClosed',
    'ConnectionFailed',
    'ConnectionOpened',
    'Event',
    'PeerMessage',
    'PlatformList',
    'ShutdownAsked',
    'StoreFailed',
    'StoreObject',
    'StoreReply',
    'TargetHealth',
    'TargetReply',
    'Wake',
    'WatchEnded',
    'WatchEvent',
]


class CallerRequest(NamedTuple):
    """A request of a caller or an operator, decoded and checked.

    Parameters
    ----------
    req : int
        Identifier that the reply must carry; unique in this process.
    topic : str
        What is asked: ``query``, ``order``, ``directory``, ``health``,
        ``status``, ``note``, ``plan``, ``drain`` or ``config``.
    body : mapping
        The body, of the type that ``schema/http.json`` gives the topic.
    wall : float
        Wall-clock time of arrival, in seconds since the epoch.
    """

    req: int
    topic: str
    body: Mapping[str, Any]
    wall: float = 0.0


class CallerGone(NamedTuple):
    """The caller hung up before its reply."""

    req: int
    topic: str = ''


class ConnectionOpened(NamedTuple):
    """A connection to a target stands."""

    conn: int
    target: str
    topic: str = ''


class ConnectionFailed(NamedTuple):
    """A connection to a target could not be opened."""

    conn: int
    target: str
    reason: str
    topic: str = ''


class ConnectionClosed(NamedTuple):
    """A connection closed; `idle` when no request was in flight on it."""

    conn: int
    target: str
    reason: str
    idle: bool
    topic: str = ''


class TargetReply(NamedTuple):
    """A whole, well-formed reply of a target on a connection.

    Parameters
    ----------
    conn : int
        Connection that it arrived on.
    target : str
        Target that the connection leads to.
    attempt : str
        Identifier that the reply echoes; empty when it echoes none.
    status : str
        ``ok``, ``wrong_version``, ``shed``, ``draining``, ``cancelled`` or
        ``failed``.  ``shed``, ``draining`` and ``wrong_version`` are said
        before running.
    layout, version : int
        Shard layout and index version that were served, or the newest that
        the target has.
    rows : tuple of tuple of str
        For a query: (key, text) of each record.
    reply : str
        For an order: the reply of the target.
    incarnation : int
        Grows each time the target starts.
    """

    conn: int
    target: str
    attempt: str
    status: str
    layout: int = 0
    version: int = 0
    rows: tuple[tuple[str, str], ...] = ()
    reply: str = ''
    incarnation: int = 0
    topic: str = ''


class TargetHealth(NamedTuple):
    """What a target says of itself; it lags and may mislead.

    ``state`` is ``ready``, ``cold``, ``draining`` or ``unreachable``;
    ``load`` is the share of its slots in use.
    """

    target: str
    state: str
    load: float
    incarnation: int
    topic: str = ''


class PeerMessage(NamedTuple):
    """A message of another process of the system.

    Parameters
    ----------
    sender : str
        ``vm/role`` of the sender.
    incarnation : int
        Wall-clock start time of the sender, in ms: a restarted process is
        another peer.
    message : mapping
        One of the typed messages of `rosemaryweir.schema`; its ``kind`` is
        the topic.
    """

    sender: str
    incarnation: int
    message: Mapping[str, Any]

    @property
    def topic(self) -> str:
        """The kind of the message."""
        return str(self.message.get('kind', ''))


class StoreObject(NamedTuple):
    """An object of the store; version 0 stands for none."""

    key: str
    version: int
    content: bytes


class StoreReply(NamedTuple):
    """The store's answer to one call.

    Parameters
    ----------
    call : str
        Identifier of the call, ``topic:number``.
    status : str
        ``ok``, ``missing`` or ``conflict``; a conflict carries the object as
        it is.
    objects : tuple of StoreObject
        The object got or put, or those listed.
    revision : int
        Revision of the store that the answer reflects.
    """

    call: str
    status: str
    objects: tuple[StoreObject, ...] = ()
    revision: int = 0

    @property
    def topic(self) -> str:
        """The part of the node that made the call."""
        return self.call.partition(':')[0]


class StoreFailed(NamedTuple):
    """A call without an answer.

    ``reason`` is ``unavailable`` (the store refused it, or no byte of it
    left) or ``unknown`` (a write may have taken effect).
    """

    call: str
    reason: str

    @property
    def topic(self) -> str:
        """The part of the node that made the call."""
        return self.call.partition(':')[0]


class WatchEvent(NamedTuple):
    """Objects changed under a watch, or (none) a sign that it is alive."""

    call: str
    objects: tuple[StoreObject, ...]
    revision: int = 0

    @property
    def topic(self) -> str:
        """The part of the node that made the call."""
        return self.call.partition(':')[0]


class WatchEnded(NamedTuple):
    """A watch ended; changes since may have been missed."""

    call: str
    reason: str

    @property
    def topic(self) -> str:
        """The part of the node that made the call."""
        return self.call.partition(':')[0]


class PlatformList(NamedTuple):
    """The platform's list of VMs and targets; it lags.

    ``live`` and ``leaving`` hold names of VMs and of targets.
    """

    live: tuple[str, ...]
    leaving: tuple[str, ...]
    topic: str = ''


class Wake(NamedTuple):
    """The time that `Node.next_wake` named has come."""

    topic: str = ''


class ShutdownAsked(NamedTuple):
    """The process was asked to end gracefully."""

    topic: str = ''


Event: TypeAlias = (
    CallerRequest
    | CallerGone
    | ConnectionOpened
    | ConnectionFailed
    | ConnectionClosed
    | TargetReply
    | TargetHealth
    | PeerMessage
    | StoreReply
    | StoreFailed
    | WatchEvent
    | WatchEnded
    | PlatformList
    | Wake
    | ShutdownAsked
)

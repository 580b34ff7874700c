"""Events that a driver passes to a node.

A node is a state machine: drivers turn input into the events below and carry
out the actions of `rosemaryweir.node.action`.  Each event carries the
identifier of the request, connection or call that it belongs to.  ``topic``
selects the handlers within a type of event: the kind of a message, the path
of a request, or the part of the node that made a store call.

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
    """A request of a caller or an operator, decoded and validated.

    Parameters
    ----------
    req : int
        Identifier for the reply; unique in this process.
    topic : str
        Subject of the request: ``query``, ``order``, ``directory``, ``health``,
        ``status``, ``note``, ``plan``, ``drain`` or ``config``.
    body : mapping
        Body, of the type that ``schema/http.json`` defines for the topic.
    wall : float
        Wall-clock time of arrival, in seconds since the epoch.
    """

    req: int
    topic: str
    body: Mapping[str, Any]
    wall: float = 0.0


class CallerGone(NamedTuple):
    """The caller disconnected before the reply was sent."""

    req: int
    topic: str = ''


class ConnectionOpened(NamedTuple):
    """A connection to a target is open."""

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
    """A connection closed; ``idle`` if no request was in flight on it."""

    conn: int
    target: str
    reason: str
    idle: bool
    topic: str = ''


class TargetReply(NamedTuple):
    """A complete, well-formed reply of a target.

    Parameters
    ----------
    conn : int
        Connection on which it arrived.
    target : str
        Target of the connection.
    attempt : str
        Identifier that the reply echoes; empty if it echoes none.
    status : str
        ``ok``, ``wrong_version``, ``shed``, ``draining``, ``cancelled`` or
        ``failed``.  With ``shed``, ``draining`` and ``wrong_version`` the
        request did not run.
    layout, version : int
        Shard layout and index version served, or the newest that the target
        has.
    rows : tuple of tuple of str
        For a query: (key, text) of each record.
    reply : str
        For an order: reply of the target.
    incarnation : int
        Number that increases each time the target starts.
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
    """Health reported by a target; may be outdated or wrong.

    ``state`` is ``ready``, ``cold``, ``draining`` or ``unreachable``;
    ``load`` is the share of its slots in use.
    """

    target: str
    state: str
    load: float
    incarnation: int
    topic: str = ''


class PeerMessage(NamedTuple):
    """A message from another process of the system.

    Parameters
    ----------
    sender : str
        ``vm/role`` of the sender.
    incarnation : int
        Wall-clock start time of the sender, in ms; tells a restarted process
        from the one before.
    message : mapping
        One of the typed messages of `rosemaryweir.schema`; its ``kind`` is
        the topic.
    """

    sender: str
    incarnation: int
    message: Mapping[str, Any]

    @property
    def topic(self) -> str:
        """Kind of the message."""
        return str(self.message.get('kind', ''))


class StoreObject(NamedTuple):
    """An object of the store; version 0 if it does not exist."""

    key: str
    version: int
    content: bytes


class StoreReply(NamedTuple):
    """The reply of the store to a call.

    Parameters
    ----------
    call : str
        Identifier of the call, ``topic:number``.
    status : str
        ``ok``, ``missing`` or ``conflict``; with a conflict, `objects` holds
        the present object.
    objects : tuple of StoreObject
        The object read or written, or the objects listed.
    revision : int
        Revision of the store that the reply reflects.
    """

    call: str
    status: str
    objects: tuple[StoreObject, ...] = ()
    revision: int = 0

    @property
    def topic(self) -> str:
        """Part of the node that made the call."""
        return self.call.partition(':')[0]


class StoreFailed(NamedTuple):
    """A call of the store that got no reply.

    ``reason`` is ``unavailable`` (the store refused the call, or no byte of
    it was sent) or ``unknown`` (a write may have taken effect).
    """

    call: str
    reason: str

    @property
    def topic(self) -> str:
        """Part of the node that made the call."""
        return self.call.partition(':')[0]


class WatchEvent(NamedTuple):
    """Objects changed under a watch; none in a keep-alive."""

    call: str
    objects: tuple[StoreObject, ...]
    revision: int = 0

    @property
    def topic(self) -> str:
        """Part of the node that made the call."""
        return self.call.partition(':')[0]


class WatchEnded(NamedTuple):
    """A watch ended; changes since may have been missed."""

    call: str
    reason: str

    @property
    def topic(self) -> str:
        """Part of the node that made the call."""
        return self.call.partition(':')[0]


class PlatformList(NamedTuple):
    """The platform's list of VMs and targets; may be outdated.

    ``live`` and ``leaving`` hold names of VMs and of targets.
    """

    live: tuple[str, ...]
    leaving: tuple[str, ...]
    topic: str = ''


class Wake(NamedTuple):
    """The time returned by `Node.next_wake` has come."""

    topic: str = ''


class ShutdownAsked(NamedTuple):
    """The process was asked to shut down gracefully."""

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

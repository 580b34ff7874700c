"""Ports: the four things that a driver supplies to run a node.

Whoever supplies a `Store`, a `Target`, a `Peer` and a `Clock` can run a whole
node, in real or in virtual time.  Every port answers by events, later.
"""

from typing import Protocol

from rosemaryweir.node.action import (
    CancelAttempt,
    CloseConnection,
    ListPlatform,
    OpenConnection,
    ProbeTarget,
    SendPeer,
    SendTarget,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
    StoreUnwatch,
    StoreWatch,
)

__all__ = ['Clock', 'Peer', 'Store', 'StoreCall', 'Target', 'TargetCall']

StoreCall = (
    StoreGet
    | StoreList
    | StorePut
    | StoreDelete
    | StoreWatch
    | StoreUnwatch
    | ListPlatform
)
TargetCall = (
    OpenConnection | CloseConnection | SendTarget | CancelAttempt | ProbeTarget
)


class Store(Protocol):
    """The platform's object API."""

    def call(self, action: StoreCall) -> None:
        """Start a call; its answer comes as an event."""


class Target(Protocol):
    """The back ends."""

    def call(self, action: TargetCall) -> None:
        """Start a call; its answer comes as an event."""


class Peer(Protocol):
    """The other processes of the system."""

    def send(self, action: SendPeer) -> None:
        """Send a message, or drop it when it can't leave in time."""


class Clock(Protocol):
    """The time."""

    def monotonic(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since the epoch."""

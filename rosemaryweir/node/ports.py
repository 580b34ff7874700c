"""Interfaces that a driver implements to run a node.

A driver with a `StorePort`, a `TargetPort`, a `PeerPort` and a `Clock` can run
a whole node in real or in virtual time.  The ports never return a result:
replies arrive later, as events.
"""

from typing import Protocol, get_args

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

__all__ = [
    'STORE_CALLS',
    'TARGET_CALLS',
    'Clock',
    'PeerPort',
    'StoreCall',
    'StorePort',
    'TargetCall',
    'TargetPort',
]

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

#: Action types that each port carries out.
STORE_CALLS: tuple[type, ...] = get_args(StoreCall)
TARGET_CALLS: tuple[type, ...] = get_args(TargetCall)


class StorePort(Protocol):
    """The platform's object API."""

    def call(self, action: StoreCall) -> None:
        """Start a call; its result arrives as an event."""


class TargetPort(Protocol):
    """Connections to the targets."""

    def call(self, action: TargetCall) -> None:
        """Start a call; its result arrives as an event."""


class PeerPort(Protocol):
    """Connections to the other processes of the system."""

    def send(self, action: SendPeer) -> None:
        """Send a message, or drop it if it cannot be sent in time."""


class Clock(Protocol):
    """Clock of the node."""

    def monotonic(self) -> float:
        """Return the monotonic time, in seconds."""

    def wall(self) -> float:
        """Return the wall-clock time, in seconds since the epoch."""

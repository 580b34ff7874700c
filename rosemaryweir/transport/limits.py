"""Limits of the HTTP servers and clients."""

from typing import NamedTuple

__all__ = ['HttpLimits']

KIB = 1024


class HttpLimits(NamedTuple):
    """What an HTTP connection may cost.

    Parameters
    ----------
    header_bytes : int
        Largest request line and headers together.
    body_bytes : int
        Largest body.
    read_seconds : float
        Time from the first byte of a request until its last.
    idle_seconds : float
        Time that an idle connection is kept.
    write_seconds : float
        Time that a peer may leave its answer unread.
    connections : int
        Connections open at once.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 64 * KIB
    read_seconds: float = 5.0
    idle_seconds: float = 75.0
    write_seconds: float = 10.0
    connections: int = 4096

"""Limits of the HTTP servers."""

from typing import NamedTuple

__all__ = ['HttpLimits']

KIB = 1024


class HttpLimits(NamedTuple):
    """Limits of an HTTP server and of each of its connections.

    Parameters
    ----------
    header_bytes : int
        Maximum size of the request line and the headers together.
    body_bytes : int
        Maximum size of a request body.
    read_seconds : float
        Maximum time from the first byte of a request to its last.
    idle_seconds : float
        Time after which an idle connection is closed.
    write_seconds : float
        Time after which a connection is aborted if its client doesn't read
        the response.
    connections : int
        Maximum number of open connections.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 64 * KIB
    read_seconds: float = 5.0
    idle_seconds: float = 75.0
    write_seconds: float = 10.0
    connections: int = 4096

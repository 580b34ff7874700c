"""Free loopback ports for trials and tests."""

import socket
from collections.abc import Iterator
from itertools import count, islice

__all__ = ['free_addresses']

HOST = '127.0.0.1'
#: Below the ports that the kernel gives to outgoing connections.
FIRST_PORT = 13000
LAST_PORT = 31000


def free_addresses(number: int, start: int = FIRST_PORT) -> list[str]:
    """Return addresses on which nothing listens.

    Parameters
    ----------
    number : int
        How many.
    start : int
        Port to begin the search at; tests that run at once begin apart.

    Examples
    --------
    >>> len(set(free_addresses(3)))
    3
    """
    return [f'{HOST}:{port}' for port in islice(_free(start), number)]


def _free(start: int) -> Iterator[int]:
    span = LAST_PORT - FIRST_PORT
    for step in count():
        port = FIRST_PORT + (start - FIRST_PORT + step) % span
        with socket.socket() as probe:
            if probe.connect_ex((HOST, port)) != 0 and _binds(port):
                yield port


def _binds(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True

"""Finds free loopback ports for trials and tests."""

import socket
from collections.abc import Iterator
from itertools import count, islice

__all__ = ['free_addresses']

HOST = '127.0.0.1'
# The range ends below the kernel's ports for outgoing connections (32768 up
# on Linux), which could otherwise take a port before it is used.
FIRST_PORT = 13000
LAST_PORT = 31000


def free_addresses(number: int, start: int = FIRST_PORT) -> list[str]:
    """Return loopback addresses with ports that are free now.

    Parameters
    ----------
    number : int
        Number of addresses.
    start : int
        First port to try; tests that run in parallel start at different
        ports.

    Examples
    --------
    >>> len(set(free_addresses(3)))
    3
    """
    return [f'{HOST}:{port}' for port in islice(_free_ports(start), number)]


def _free_ports(start: int) -> Iterator[int]:
    span = LAST_PORT - FIRST_PORT
    for step in count():
        port = FIRST_PORT + (start - FIRST_PORT + step) % span
        with socket.socket() as probe:
            if probe.connect_ex((HOST, port)) != 0 and _can_bind(port):
                yield port


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True

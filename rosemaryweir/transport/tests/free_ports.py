"""Free ports for tests: other runs on the same machine hold some."""

import itertools
import random
import socket

#: Below the ports that the system gives to outgoing connections.
PORTS = range(10_000, 32_000)


def find_free_ports(count):
    """Return the first of consecutive ports that nobody listens on."""
    rng = random.SystemRandom()
    candidates = (rng.choice(PORTS[:-count]) for _ in itertools.count())
    return next(
        first
        for first in candidates
        if all(map(_is_free, range(first, first + count)))
    )


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True

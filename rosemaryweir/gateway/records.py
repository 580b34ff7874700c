"""Records of fixed size: the content of partials and of answers."""

from collections.abc import Iterable
from heapq import nlargest
from itertools import chain

__all__ = ['RECORD_BYTES', 'greatest', 'split_records']

#: Size of one record.
RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the whole records of a body; a shorter rest is none.

    Examples
    --------
    >>> len(split_records(bytes(40)))
    2
    """
    whole = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, whole, RECORD_BYTES)
    ]


def greatest(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of bodies, greatest first.

    Examples
    --------
    >>> low, high = b'a' * 16, b'b' * 16
    >>> greatest([low + high, high], 2) == high + high
    True
    """
    records = chain.from_iterable(map(split_records, bodies))
    return b''.join(nlargest(count, records))

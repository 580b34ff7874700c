"""Fixed-size records: the body of partial replies and of merged responses."""

from collections.abc import Iterable
from heapq import nlargest
from itertools import chain

__all__ = ['RECORD_BYTES', 'split_records', 'top_records']

#: Size of one record.
RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the records of a body; an incomplete last record is ignored.

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


def top_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all bodies in descending order.

    Examples
    --------
    >>> low, high = b'a' * 16, b'b' * 16
    >>> top_records([low + high, high], 2) == high + high
    True
    """
    records = chain.from_iterable(map(split_records, bodies))
    return b''.join(nlargest(count, records))

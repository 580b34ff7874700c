"""Hashes of order keys, store keys of buckets, and digests of orders."""

import xxhash

__all__ = [
    'BUCKET_COUNT',
    'bucket_of',
    'bucket_prefix',
    'content_digest',
    'key_hash',
    'segment_key',
    'segment_number',
]

#: Fixed, because every VM must map an order key to the same bucket.
BUCKET_COUNT = 8


def key_hash(order_key: str) -> int:
    """Return the 64-bit hash of an order key."""
    return xxhash.xxh3_64_intdigest(order_key.encode('utf-8', 'replace'))


def bucket_of(order_key: str) -> int:
    """Return the number of the bucket of an order key."""
    return key_hash(order_key) % BUCKET_COUNT


def bucket_prefix(bucket: int) -> str:
    """Return the prefix of the store keys of a bucket.

    Examples
    --------
    >>> bucket_prefix(3)
    'orders/0003/'
    """
    return f'orders/{bucket:04d}/'


def segment_key(bucket: int, segment: int) -> str:
    """Return the store key of a segment of a bucket.

    Examples
    --------
    >>> segment_key(3, 12)
    'orders/0003/00000012'
    """
    return f'{bucket_prefix(bucket)}{segment:08d}'


def segment_number(name: str) -> int:
    """Return the segment number of a store key.

    Examples
    --------
    >>> segment_number('orders/0003/00000012')
    12
    """
    return int(name.rpartition('/')[2])


def content_digest(service: str, body: str) -> str:
    """Return the digest of the service and body of an order.

    A request that has a known key but another digest is a different order
    under the same key, and is refused.
    """
    content = f'{service}\n{body}'
    return xxhash.xxh3_128_hexdigest(content.encode('utf-8', 'replace'))

"""Encode, hash and split the content of a configuration."""

from collections.abc import Iterable

import msgspec
import xxhash

from rosemaryweir.schema.generated.config import Config

__all__ = [
    'CHUNK_BYTES',
    'chunk_key',
    'decode_config',
    'digest_of',
    'encode_config',
    'join_chunks',
    'split_chunks',
]

#: Maximum size of a stored chunk; the store accepts values up to one megabyte.
CHUNK_BYTES = 512 * 1024

CONTENT_PREFIX = 'config/content'


def encode_config(config: Config) -> bytes:
    """Return the canonical encoding of a configuration.

    Examples
    --------
    >>> from rosemaryweir.node.state import empty_config
    >>> first = encode_config(empty_config())
    >>> encode_config(dict(reversed(empty_config().items()))) == first
    True
    """
    return msgspec.json.encode(config, order='sorted')


def decode_config(content: bytes | str) -> Config:
    """Decode the canonical encoding of a configuration.

    Raises
    ------
    msgspec.ValidationError
        If the content is not a valid configuration.
    """
    return msgspec.json.decode(content, type=Config)


def digest_of(content: bytes) -> str:
    """Return the digest that identifies a content."""
    return xxhash.xxh3_128_hexdigest(content)


def chunk_key(digest: str, index: int) -> str:
    """Return the store key of a chunk of a content."""
    return f'{CONTENT_PREFIX}/{digest}/{index:04}'


def split_chunks(content: bytes, size: int = CHUNK_BYTES) -> list[bytes]:
    """Split a content into chunks of at most `size` bytes.

    Examples
    --------
    >>> split_chunks(b'abcde', 2)
    [b'ab', b'cd', b'e']
    """
    return [
        content[start : start + size] for start in range(0, len(content), size)
    ]


def join_chunks(chunks: Iterable[bytes], digest: str) -> bytes | None:
    """Join chunks; return None if the result has another digest."""
    content = b''.join(chunks)
    return content if digest_of(content) == digest else None

"""Assemble a configuration from its chunks."""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from rosemaryweir.config.content import decode_config, join_chunks
from rosemaryweir.config.delta import HashedConfig, hash_config
from rosemaryweir.schema.generated.control import Delta

__all__ = ['ChunkAssembler', 'ConfigUpdate']


class ConfigUpdate(NamedTuple):
    """A configuration and its deltas; none if it came as full content."""

    hashed: HashedConfig
    deltas: tuple[Delta, ...] = ()

    @property
    def generation(self) -> int:
        """Generation of the configuration."""
        return self.hashed.config['generation']


class ChunkAssembler:
    """Collect the chunks of the newest generation that is being fetched.

    Chunks of older generations are ignored; if the joined content has another
    digest than expected, all its chunks are dropped.
    """

    def __init__(self) -> None:
        self._generation = 0
        self._digest = ''
        self._count = 0
        self._chunks: dict[int, bytes] = {}

    def expect(self, generation: int, digest: str, count: int) -> bool:
        """Start to collect a generation; return whether it is a newer one."""
        if generation <= self._generation:
            return False
        self._generation = generation
        self._digest = digest
        self._count = count
        self._chunks = {}
        return True

    def missing_chunks(self) -> Iterator[int]:
        """Yield the indices of the chunks that have not arrived."""
        return (
            index for index in range(self._count) if index not in self._chunks
        )

    def add(
        self,
        digest: str,
        index: int,
        content: bytes,
    ) -> ConfigUpdate | None:
        """Add a chunk; return the configuration once it is complete."""
        if digest != self._digest or index >= self._count:
            return None
        self._chunks[index] = content
        if len(self._chunks) < self._count:
            return None
        parts = (self._chunks[number] for number in range(self._count))
        joined = join_chunks(parts, digest)
        generation = self._generation
        self.reset()
        if joined is None:
            return None
        try:
            config = decode_config(joined)
        except msgspec.MsgspecError:
            return None
        matches = config['generation'] == generation
        return ConfigUpdate(hash_config(config)) if matches else None

    def reset(self) -> None:
        """Drop the chunks, so that the generation can be fetched again."""
        self._generation = 0
        self._digest = ''
        self._count = 0
        self._chunks = {}

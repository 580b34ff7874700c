"""Hold the configuration in force at an agent and encode it for others."""

from collections.abc import Sequence

from returns.result import Result

from rosemaryweir.config.chunk_assembly import ConfigUpdate
from rosemaryweir.config.content import digest_of, encode_config
from rosemaryweir.config.delta import HashedConfig, apply_deltas, hash_config
from rosemaryweir.config.delta_chain import DeltaChain
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.schema.generated.control import Content, Delta
from rosemaryweir.telemetry.log_events import register_event

__all__ = ['DELTA_REFUSED', 'ConfigInForce']

DELTA_REFUSED = register_event(
    502,
    'config.delta_refused',
    'warning',
    'A configuration delta was refused: it was unreadable, did not follow the '
    'generation in force or gave another digest than it states; nothing of '
    'it was applied, full content is fetched.',
)

#: Maximum length of the chunk of JSON text in one message.
MAX_CHUNK_CHARS = 64 * 1024


class ConfigInForce:
    """The configuration in force, its latest deltas and its JSON text."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._chain = DeltaChain()
        self._hashed = hash_config(state.config)
        self._encoded: Config | None = None
        self._digest = ''
        self._chunks: list[str] = []

    def hashed(self) -> HashedConfig:
        """Return the configuration in force with the sum of its hashes."""
        if self._hashed.config is not self._state.config:
            self._hashed = hash_config(self._state.config)
        return self._hashed

    def try_deltas(self, deltas: Sequence[Delta]) -> Result[ConfigUpdate, str]:
        """Apply deltas to a copy of the configuration in force."""
        generation = self._state.config['generation']
        newer = tuple(
            delta for delta in deltas if delta['generation'] > generation
        )
        return apply_deltas(newer, self.hashed()).map(
            lambda result: ConfigUpdate(result, newer),
        )

    def replace(self, update: ConfigUpdate) -> bool:
        """Put a configuration in force; return whether it was newer."""
        if update.generation <= self._state.config['generation']:
            return False
        self._state.take_config(update.hashed.config)
        self._hashed = update.hashed
        if not update.deltas:
            self._chain.clear()
        self._chain.add(update.deltas)
        return True

    def deltas_after(self, generation: int) -> list[Delta]:
        """Return the deltas after a generation; empty if they are not kept."""
        return self._chain.deltas_after(generation)

    def json_text(self) -> str:
        """Return the whole configuration as JSON."""
        self._encode()
        return ''.join(self._chunks)

    def content(self, chunk: int) -> Content | None:
        """Return the message with one chunk; None past the last chunk."""
        self._encode()
        if chunk >= len(self._chunks):
            return None
        config = self._state.config
        return Content(
            kind='content',
            generation=config['generation'],
            digest=self._digest,
            note=config['note'],
            chunk=chunk,
            chunks=len(self._chunks),
            content=self._chunks[chunk],
        )

    def _encode(self) -> None:
        config = self._state.config
        if self._encoded is config:
            return
        content = encode_config(config)
        text = content.decode()
        self._encoded = config
        self._digest = digest_of(content)
        self._chunks = [
            text[start : start + MAX_CHUNK_CHARS]
            for start in range(0, len(text), MAX_CHUNK_CHARS)
        ]

"""Chains of consecutive deltas: the recent ones kept, others fetched."""

from collections import deque
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from rosemaryweir.config.delta import HashedConfig, make_delta
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.schema.generated.control import Applied, Delta, Head

__all__ = [
    'DeltaChain',
    'DeltaChainFetch',
    'delta_key',
    'make_bounded_delta',
    'notes_after',
]

#: Maximum number of deltas kept; a node further behind gets full content.
MAX_CHAIN_LENGTH = 32

#: Maximum encoded size of a delta, and of all deltas in one message.
MAX_DELTA_BYTES = 64 * 1024

DELTA_PREFIX = 'config/delta'


def delta_key(digest: str) -> str:
    """Return the store key of the delta with a digest."""
    return f'{DELTA_PREFIX}/{digest}'


def make_bounded_delta(before: Config, after: HashedConfig) -> Delta | None:
    """Return the delta between two generations; None if it is too large."""
    delta = make_delta(before, after)
    return delta if _encoded_size(delta) <= MAX_DELTA_BYTES else None


def notes_after(head: Head, generation: int) -> list[Applied] | None:
    """Return the notes applied after a generation, oldest first.

    Return None if the head does not name a delta for each of them.

    Examples
    --------
    >>> def applied(generation):
    ...     digest = str(generation)
    ...     return {'generation': generation, 'digest': digest}
    >>> head = {'generation': 3, 'recent': [applied(3), applied(2)]}
    >>> [applied['generation'] for applied in notes_after(head, 1)]
    [2, 3]
    >>> notes_after(head, 0) is None
    True
    """
    notes = [
        applied
        for applied in reversed(head.get('recent', ()))
        if applied['generation'] > generation and 'digest' in applied
    ]
    generations = range(generation + 1, head['generation'] + 1)
    found = [applied['generation'] for applied in notes]
    return notes if found == list(generations) else None


class DeltaChain:
    """The latest consecutive deltas up to the generation in force."""

    def __init__(self) -> None:
        self._deltas: deque[Delta] = deque(maxlen=MAX_CHAIN_LENGTH)

    def add(self, deltas: Iterable[Delta]) -> None:
        """Add deltas that were put in force; drop older ones at a gap."""
        for delta in deltas:
            generation = delta['generation']
            if self._newest() not in {0, generation - 1}:
                self._deltas.clear()
            self._deltas.append(delta)

    def clear(self) -> None:
        """Drop all deltas, because full content was put in force."""
        self._deltas.clear()

    def deltas_after(self, generation: int) -> list[Delta]:
        """Return the deltas after a generation that fit into one message.

        The list is empty if the chain does not reach back that far.
        """
        later = [
            delta for delta in self._deltas if delta['generation'] > generation
        ]
        if not later or later[0]['generation'] != generation + 1:
            return []
        return list(_within_size_limit(later))

    def _newest(self) -> int:
        return self._deltas[-1]['generation'] if self._deltas else 0


class DeltaChainFetch:
    """Assemble a chain of deltas that are being read from the store."""

    def __init__(self) -> None:
        self._notes: tuple[Applied, ...] = ()
        self._found: dict[str, Delta] = {}

    def expect(self, notes: Sequence[Applied]) -> list[str]:
        """Start to fetch a chain; return the digests of the deltas to read.

        Deltas already requested for a shorter chain are not requested again.
        """
        before = {applied['digest'] for applied in self._notes}
        self._notes = tuple(notes)
        digests = [applied['digest'] for applied in notes]
        self._found = {
            digest: delta
            for digest, delta in self._found.items()
            if digest in digests
        }
        return [digest for digest in digests if digest not in before]

    def add(self, digest: str, content: bytes) -> bool:
        """Add a stored delta; return whether it has the requested digest."""
        try:
            delta = msgspec.json.decode(content, type=Delta)
        except msgspec.MsgspecError:
            return False
        if delta['digest'] != digest:
            return False
        self._found[digest] = delta
        return True

    def complete(self) -> list[Delta]:
        """Return the chain once all its deltas have arrived, else empty."""
        digests = [applied['digest'] for applied in self._notes]
        if not all(digest in self._found for digest in digests):
            return []
        return [self._found[digest] for digest in digests]

    def reset(self) -> None:
        """Drop the deltas received, so that the chain can be fetched again."""
        self._notes = ()
        self._found = {}


def _within_size_limit(deltas: Iterable[Delta]) -> Iterator[Delta]:
    room = MAX_DELTA_BYTES
    for delta in deltas:
        room -= _encoded_size(delta)
        if room < 0:
            return
        yield delta


def _encoded_size(delta: Delta) -> int:
    return len(msgspec.json.encode(delta))

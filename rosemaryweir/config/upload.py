"""The objects that one attempt to apply a note stores, and their record.

The record is written before them, so that whatever an attempt leaves behind
can be found, and once more after them, with the versions that deleting needs.
Attempts of one note on one generation share their content: it holds both.
"""

import msgspec

from rosemaryweir.config.content import chunk_key, digest_of, split_chunks
from rosemaryweir.config.delta_chain import delta_key
from rosemaryweir.node.action import StorePut
from rosemaryweir.node.event import StoreReply
from rosemaryweir.schema.generated.control import Attempt, Delta

__all__ = ['ATTEMPT_PREFIX', 'Upload', 'attempt_key', 'attempt_objects']

ATTEMPT_PREFIX = 'config/attempt/'


def attempt_key(attempt: Attempt) -> str:
    """Return the key of the record of an attempt; older ones sort first."""
    record_name = f'{attempt["generation"]:012}-{attempt["name"]}'
    return f'{ATTEMPT_PREFIX}{record_name}'


def attempt_objects(attempt: Attempt) -> list[str]:
    """Return the keys of what an attempt stores, its record left out.

    Examples
    --------
    >>> attempt_objects(
    ...     {
    ...         'generation': 7,
    ...         'name': 'vm-1-0-3',
    ...         'digest': 'abc',
    ...         'chunks': 1,
    ...         'delta': 'def',
    ...         'versions': [],
    ...     }
    ... )
    ['config/content/abc/0000', 'config/delta/def']
    """
    keys = [
        chunk_key(attempt['digest'], index)
        for index in range(attempt['chunks'])
    ]
    if 'delta' in attempt:
        keys.append(delta_key(attempt['delta']))
    return keys


class Upload:
    """What is to be put for an attempt, one object after another.

    Parameters
    ----------
    generation : int
        Generation that the attempt would make.
    name : str
        Name of the attempt, used once.
    content : bytes
        The configuration as stored.
    delta : Delta or None
        How it differs from the generation before, where that is stored.
    """

    def __init__(
        self,
        generation: int,
        name: str,
        content: bytes,
        delta: Delta | None,
    ) -> None:
        objects = split_chunks(content)
        self.attempt = Attempt(
            generation=generation,
            name=name,
            digest=digest_of(content),
            chunks=len(objects),
            versions=[],
        )
        if delta is not None:
            self.attempt['delta'] = delta['digest']
            objects.append(msgspec.json.encode(delta))
        keys = attempt_objects(self.attempt)
        self.chunks = keys[: self.attempt['chunks']]
        self._objects = list(zip(keys, objects, strict=True))
        self._record_version: int | None = None
        self._complete = False

    def next_put(self, call: str) -> StorePut | None:
        """Return what to put next; None: all is stored."""
        if self._complete:
            return None
        number = len(self.attempt['versions'])
        if self._record_version is None or number == len(self._objects):
            return StorePut(
                call,
                attempt_key(self.attempt),
                self._record_version or 0,
                msgspec.json.encode(self.attempt),
            )
        key, content = self._objects[number]
        return StorePut(call, key, 0, content)

    def take_reply(self, event: StoreReply) -> None:
        """Take the answer to the last put.

        A conflict stands for an earlier put of the same, whose reply was lost.
        A record that is gone was cleaned up, as the attempt is long out of
        date; it is written anew, so that what came after is found as well.
        """
        version = event.objects[0].version if event.objects else 0
        if self._record_version is None:
            self._record_version = version
        elif len(self.attempt['versions']) < len(self._objects):
            self.attempt['versions'].append(version)
        elif version:
            self._complete = True
        else:
            self._record_version = 0

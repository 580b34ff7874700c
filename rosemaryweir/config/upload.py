"""Upload the objects of one attempt to apply a note, and their record.

The record is written first, so that objects left by an unfinished attempt can
be found, and again at the end, with the versions that are needed to delete
them.  Attempts to apply one note to one generation share their content, as it
depends only on these two.
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
    """Return the key of an attempt's record; older generations sort first."""
    record_name = f'{attempt["generation"]:012}-{attempt["name"]}'
    return f'{ATTEMPT_PREFIX}{record_name}'


def attempt_objects(attempt: Attempt) -> list[str]:
    """Return the keys of an attempt's objects without its record.

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
    """Sequence of writes that store the objects of an attempt.

    Parameters
    ----------
    generation : int
        Generation that the attempt would create.
    name : str
        Unique name of the attempt.
    content : bytes
        The encoded configuration.
    delta : Delta or None
        Delta from the previous generation, unless it is too large.
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
        """Return the next write; None if everything is stored."""
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
        """Handle the reply to the last write.

        A conflict means that the same object was written before and the reply
        was lost.  If the record no longer exists, clean-up has deleted it
        because the attempt is out of date; it is written again, so that the
        objects written since are deleted, too.
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

"""The objects of the stand-in store: versions, a revision, changes."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from rosemaryweir.node.event import StoreObject

__all__ = ['Change', 'ObjectStore', 'WriteOutcome']

#: Changes that a watch may look back on.
HISTORY_LENGTH = 10_000
#: Largest value, in bytes.
MAX_VALUE_BYTES = 1_000_000


class Change(NamedTuple):
    """An object as a write left it, and the revision of the write."""

    revision: int
    item: StoreObject


class WriteOutcome(NamedTuple):
    """Whether a write took effect, and the object as it is now."""

    written: bool
    item: StoreObject


class ObjectStore:
    """Objects with versions and conditional writes.

    Each write raises the revision of the store, which becomes the version of
    the object: a key that was deleted and made again never repeats a version.

    Examples
    --------
    >>> store = ObjectStore()
    >>> store.put('views/a', 0, b'one').item.version
    1
    >>> store.put('views/a', 0, b'two').written
    False
    """

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[str, StoreObject] = {}
        self._changes: deque[Change] = deque(maxlen=HISTORY_LENGTH)

    def __len__(self) -> int:
        """Return the number of objects."""
        return len(self._objects)

    def get(self, key: str) -> StoreObject:
        """Return an object; version 0 when there is none."""
        return self._objects.get(key, StoreObject(key, 0, b''))

    def list(self, prefix: str) -> list[StoreObject]:
        """Return the objects whose keys begin with a prefix, by key."""
        keys = sorted(key for key in self._objects if key.startswith(prefix))
        return [self._objects[key] for key in keys]

    def put(self, key: str, expected: int, content: bytes) -> WriteOutcome:
        """Write an object if its version is as expected."""
        return self._write(key, expected, content, keep=True)

    def delete(self, key: str, expected: int) -> WriteOutcome:
        """Delete an object if its version is as expected."""
        return self._write(key, expected, b'', keep=False)

    def since(self, prefix: str, revision: int) -> Iterator[Change]:
        """Yield the changes under a prefix after a revision."""
        return (
            change
            for change in self._changes
            if change.revision > revision and change.item.key.startswith(prefix)
        )

    def remembers(self, revision: int) -> bool:
        """Return whether all changes after a revision are still known."""
        oldest = self._changes[0].revision if self._changes else 1
        return revision <= self.revision and revision + 1 >= oldest

    def _write(
        self,
        key: str,
        expected: int,
        content: bytes,
        keep: bool,
    ) -> WriteOutcome:
        current = self.get(key)
        if current.version != expected:
            return WriteOutcome(written=False, item=current)
        self.revision += 1
        if keep:
            item = StoreObject(key, self.revision, content)
            self._objects[key] = item
        else:
            item = StoreObject(key, 0, b'')
            self._objects.pop(key, None)
        self._changes.append(Change(self.revision, item))
        return WriteOutcome(written=True, item=item)

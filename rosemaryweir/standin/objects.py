"""Stores the objects of the stand-in store, with versions and changes."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from rosemaryweir.node.event import StoreObject

__all__ = ['ObjectChange', 'ObjectStore', 'WriteOutcome']

#: Number of past changes that a new watch can still receive.
MAX_CHANGES_KEPT = 10_000
#: Largest content of an object, in bytes.
MAX_OBJECT_BYTES = 1_000_000


class ObjectChange(NamedTuple):
    """The object after a write, and the revision of the write."""

    revision: int
    item: StoreObject


class WriteOutcome(NamedTuple):
    """Whether a write took effect, and the current object."""

    written: bool
    item: StoreObject


class ObjectStore:
    """Stores objects in memory, with versions and conditional writes.

    Each write increments the revision of the store, which becomes the version
    of the object, so that a key that is deleted and created again never
    repeats a version.

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
        self._changes: deque[ObjectChange] = deque(maxlen=MAX_CHANGES_KEPT)

    def __len__(self) -> int:
        """Return the number of objects."""
        return len(self._objects)

    def get(self, key: str) -> StoreObject:
        """Return an object; its version is 0 if it does not exist."""
        return self._objects.get(key, StoreObject(key, 0, b''))

    def list(self, prefix: str) -> list[StoreObject]:
        """Return the objects whose keys start with a prefix, sorted by key."""
        keys = sorted(key for key in self._objects if key.startswith(prefix))
        return [self._objects[key] for key in keys]

    def put(self, key: str, expected: int, content: bytes) -> WriteOutcome:
        """Write an object if its version is the expected one."""
        return self._write(key, expected, content, keep=True)

    def delete(self, key: str, expected: int) -> WriteOutcome:
        """Delete an object if its version is the expected one."""
        return self._write(key, expected, b'', keep=False)

    def changes_since(
        self, prefix: str, revision: int
    ) -> Iterator[ObjectChange]:
        """Return the changes to keys with a prefix after a revision."""
        return (
            change
            for change in self._changes
            if change.revision > revision and change.item.key.startswith(prefix)
        )

    def has_all_changes_since(self, revision: int) -> bool:
        """Return whether all changes after a revision are still kept."""
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
        self._changes.append(ObjectChange(self.revision, item))
        return WriteOutcome(written=True, item=item)

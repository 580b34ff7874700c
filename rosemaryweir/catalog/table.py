"""Table of the newest known state of each object of one kind.

Changes arrive from watches, lists, stale reads and other VMs, late and in any
order.  The state with the highest revision wins.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Any, NamedTuple

__all__ = ['ObjectVersion', 'ObjectTable', 'TableSummary']

#: Most removed objects that a table remembers.
MAX_TOMBSTONES = 4096


class ObjectVersion(NamedTuple):
    """The state of an object at a revision.

    Parameters
    ----------
    name : str
        Name of the object.
    revision : int
        Revision of this state; for a removal, one at which the object no
        longer existed.
    content : Any
        Content of the object; None if it is removed.
    """

    name: str
    revision: int
    content: Any = None

    @property
    def removed(self) -> bool:
        """Whether the object no longer exists."""
        return self.content is None


class TableSummary(NamedTuple):
    """What a VM tells others of a table.

    Sent as an array: the order of the fields is part of the protocol.

    Parameters
    ----------
    complete_revision : int
        Every change up to this revision is known.
    digest : int
        Hash of the names and revisions of the existing objects.
    """

    complete_revision: int
    digest: int


class ObjectTable:
    """Newest known state of each object of one kind, by name.

    Attributes
    ----------
    complete_revision : int
        Every change up to this revision is known; 0 before the first list.
    newest_revision : int
        Revision of the newest change that is known.

    Examples
    --------
    >>> table = ObjectTable()
    >>> [
    ...     change.name
    ...     for change in table.merge_list([ObjectVersion('a', 3, {})], 5)
    ... ]
    ['a']
    >>> table.merge_changes([ObjectVersion('a', 2, {'old': True})], 6)
    []
    >>> table.merge_changes([ObjectVersion('a', 7)], 7), list(table.existing())
    ([ObjectVersion(name='a', revision=7, content=None)], [])
    """

    def __init__(self) -> None:
        self.complete_revision = 0
        self.newest_revision = 0
        self._versions: dict[str, ObjectVersion] = {}
        #: Removals up to this revision may be unknown.
        self._history_start = 0
        #: XOR of the hashes of the existing objects.
        self._digest = 0

    @property
    def summary(self) -> TableSummary:
        """The complete revision and a hash of the existing objects."""
        return TableSummary(self.complete_revision, self._digest)

    def existing(self) -> Iterable[ObjectVersion]:
        """Yield the objects that exist, without the removed ones."""
        return (known for known in self._versions.values() if not known.removed)

    def get(self, name: str) -> ObjectVersion | None:
        """Return the newest state of an object; None if it is unknown."""
        return self._versions.get(name)

    def merge_changes(
        self, changes: Iterable[ObjectVersion], complete_revision: int
    ) -> list[ObjectVersion]:
        """Merge changes in order; return those newer than the known state.

        Parameters
        ----------
        changes : iterable of ObjectVersion
            Changes after the revision that was asked for.
        complete_revision : int
            With these changes, every change up to this revision is known.
        """
        applied = [change for change in changes if self._merge(change)]
        self.complete_revision = max(self.complete_revision, complete_revision)
        self._prune_tombstones()
        return applied

    def merge_list(
        self, objects: Iterable[ObjectVersion], complete_revision: int
    ) -> list[ObjectVersion]:
        """Merge a list of all objects; return what was new in it.

        An object that is known but not listed counts as removed, unless its
        known state is newer than the list.  What was both created and removed
        since the complete revision is in no list, so that the known history
        starts anew.

        Parameters
        ----------
        objects : iterable of ObjectVersion
            All objects that existed at the revision.
        complete_revision : int
            Revision of the list.
        """
        if complete_revision > self.complete_revision:
            self._history_start = complete_revision
        listed = tuple(objects)
        names = {version.name for version in listed}
        removed = [
            ObjectVersion(known.name, complete_revision)
            for known in self._versions.values()
            if not known.removed
            and known.name not in names
            and known.revision <= complete_revision
        ]
        return self.merge_changes((*listed, *removed), complete_revision)

    def changes_since(self, revision: int) -> list[ObjectVersion] | None:
        """Return the changes after a revision, oldest first.

        None if removals after that revision may be unknown, because they have
        been pruned or came before a list: then only the whole table is a
        complete answer.
        """
        if revision < self._history_start:
            return None
        return sorted(
            (
                known
                for known in self._versions.values()
                if known.revision > revision
            ),
            key=lambda known: known.revision,
        )

    def _merge(self, change: ObjectVersion) -> bool:
        known = self._versions.get(change.name)
        self.newest_revision = max(self.newest_revision, change.revision)
        if known is not None and change.revision <= known.revision:
            return False
        self._versions[change.name] = change
        if known is not None and not known.removed:
            self._digest ^= _hash(known)
        if not change.removed:
            self._digest ^= _hash(change)
        return True

    def _prune_tombstones(self) -> None:
        removed = [known for known in self._versions.values() if known.removed]
        if len(removed) <= MAX_TOMBSTONES:
            return
        removed.sort(key=lambda known: known.revision)
        for old in removed[: len(removed) - MAX_TOMBSTONES]:
            self._versions.pop(old.name)
            self._history_start = max(self._history_start, old.revision)


def _hash(version: ObjectVersion) -> int:
    text = f'{version.revision}/{version.name}'.encode(errors='surrogatepass')
    return int.from_bytes(blake2b(text, digest_size=4).digest())

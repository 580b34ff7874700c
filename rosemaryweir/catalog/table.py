"""Objects of one kind, never older than what was known before.

News of an object comes from watches, lists, stale reads and other VMs, late
and in any order; its revision decides.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

__all__ = ['Change', 'ObjectTable']

#: Removed objects that are remembered.
MOST_REMOVED = 4096


class Change(NamedTuple):
    """The state of an object at a revision.

    Parameters
    ----------
    name : str
        Name of the object.
    revision : int
        Revision of this state; of a removal, one at which it was gone.
    content : Any
        Its content; None when it is removed.
    """

    name: str
    revision: int
    content: Any = None

    @property
    def removed(self) -> bool:
        """Whether the object is gone."""
        return self.content is None


class ObjectTable:
    """Objects by name, with the revision up to which all is known.

    Attributes
    ----------
    complete : int
        Every change up to this revision is known; 0 before the first list.
    newest : int
        Revision of the newest change that is known.

    Examples
    --------
    >>> table = ObjectTable()
    >>> [change.name for change in table.replace([Change('a', 3, {})], 5)]
    ['a']
    >>> table.update([Change('a', 2, {'old': True})], 6)
    []
    >>> table.update([Change('a', 7)], 7), list(table.live())
    ([Change(name='a', revision=7, content=None)], [])
    """

    def __init__(self) -> None:
        self.complete = 0
        self.newest = 0
        self._known: dict[str, Change] = {}
        self._forgotten = 0

    def live(self) -> Iterable[Change]:
        """Yield the objects that exist."""
        return (known for known in self._known.values() if not known.removed)

    def get(self, name: str) -> Change | None:
        """Return an object, or what is known of its removal."""
        return self._known.get(name)

    def update(self, changes: Iterable[Change], complete: int) -> list[Change]:
        """Take changes in order; return those that are news.

        Parameters
        ----------
        changes : iterable of Change
            What changed after the revision asked from.
        complete : int
            With these, all changes up to this revision are known.
        """
        news = [change for change in changes if self._take(change)]
        self.complete = max(self.complete, complete)
        self._forget()
        return news

    def replace(self, objects: Iterable[Change], complete: int) -> list[Change]:
        """Take a whole list as of a revision; return what is news.

        What is known, isn't in the list and isn't newer than it was removed.
        """
        listed = tuple(objects)
        names = {listing.name for listing in listed}
        removed = [
            Change(known.name, complete)
            for known in self._known.values()
            if not known.removed
            and known.name not in names
            and known.revision <= complete
        ]
        return self.update((*listed, *removed), complete)

    def since(self, revision: int) -> list[Change] | None:
        """Return the changes after a revision, oldest first.

        None when removals of that time have been forgotten: then only the
        whole table tells.
        """
        if revision < self._forgotten:
            return None
        return sorted(
            (
                known
                for known in self._known.values()
                if known.revision > revision
            ),
            key=lambda known: known.revision,
        )

    def _take(self, change: Change) -> bool:
        known = self._known.get(change.name)
        self.newest = max(self.newest, change.revision)
        if known is not None and change.revision <= known.revision:
            return False
        self._known[change.name] = change
        return True

    def _forget(self) -> None:
        removed = [known for known in self._known.values() if known.removed]
        if len(removed) <= MOST_REMOVED:
            return
        removed.sort(key=lambda known: known.revision)
        for old in removed[: len(removed) - MOST_REMOVED]:
            self._known.pop(old.name)
            self._forgotten = max(self._forgotten, old.revision)

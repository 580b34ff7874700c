"""When a VM asks another one for changes that the store didn't tell it."""

from typing import Any, NamedTuple

from rosemaryweir.catalog.table import Change, ObjectTable

__all__ = ['Behind', 'RelayAnswer', 'relay_answer', 'take_relayed']

#: Time that the own watch has to tell what another VM knows already, in s.
PATIENCE_S = 0.3
#: Time before the same kind is asked for again, in seconds.
AGAIN_S = 0.2


class RelayAnswer(NamedTuple):
    """Changes of one kind, from VM to VM.

    Parameters
    ----------
    complete : int
        Revision up to which the sender knows all.
    whole : bool
        Whether these are all objects, not only what changed.
    changes : list of (name, revision, content)
        Objects; a removed one has no content.
    """

    complete: int
    whole: bool
    changes: list[tuple[str, int, Any]]


def relay_answer(table: ObjectTable, since: int) -> RelayAnswer:
    """Return what another VM lacks that knows all up to a revision."""
    changes = table.since(since) if since else None
    whole = changes is None
    found = list(table.live()) if changes is None else changes
    return RelayAnswer(table.complete, whole, [tuple(item) for item in found])


def take_relayed(table: ObjectTable, answer: RelayAnswer) -> list[Change]:
    """Take another VM's answer; return what is news."""
    changes = [Change(*change) for change in answer.changes]
    if answer.whole:
        return table.replace(changes, answer.complete)
    return table.update(changes, answer.complete)


class Behind:
    """Notices that others know changes of a kind that this VM does not.

    Examples
    --------
    >>> behind = Behind()
    >>> behind.ask('targets', known=5, newest=6, now=0.0)
    False
    >>> behind.ask('targets', known=5, newest=6, now=0.4)
    True
    >>> behind.ask('targets', known=5, newest=6, now=0.5)
    False
    >>> behind.ask('config', 5, 6, now=0.0, following=False)
    True
    """

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._asked: dict[str, float] = {}

    def ask(
        self,
        kind: str,
        known: int,
        newest: int,
        now: float,
        following: bool = True,
    ) -> bool:
        """Return whether to ask the VM that knows of a newer change.

        Parameters
        ----------
        kind : str
            Kind of the object.
        known : int
            Revision up to which this VM knows all; 0 for nothing at all.
        newest : int
            Newest change that the other VM knows.
        now : float
            Present time.
        following : bool
            Whether the store is about to tell this VM as well.
        """
        if newest <= known:
            self._since.pop(kind, None)
            return False
        since = self._since.setdefault(kind, now)
        waited = now - since >= PATIENCE_S or not known
        due = waited or not following
        if not due or now < self._asked.get(kind, float('-inf')) + AGAIN_S:
            return False
        self._asked[kind] = now
        return True

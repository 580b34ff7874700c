"""Fetch from other VMs the changes that the store has not sent this VM."""

from typing import Any, NamedTuple

from rosemaryweir.catalog.table import (
    ObjectTable,
    ObjectVersion,
    TableSummary,
)

__all__ = [
    'RelayPolicy',
    'RelayAnswer',
    'announced_revision',
    'build_relay_answer',
    'apply_relay_answer',
]

#: Head start of this VM's own watch: time that it has to deliver a change
#: that another VM already knows, in seconds.
OWN_WATCH_DELAY_S = 0.3
#: Least time between two requests for the same kind, in seconds.
REQUEST_INTERVAL_S = 0.2


class RelayAnswer(NamedTuple):
    """Objects of one kind that one VM sends to another.

    Sent as an array: the order of the fields is part of the protocol.

    Parameters
    ----------
    complete_revision : int
        Revision up to which the sender knows every change.
    is_snapshot : bool
        Whether ``changes`` holds all existing objects, not only those that
        changed.
    changes : list of (name, revision, content)
        Objects; the content of a removed one is None.
    """

    complete_revision: int
    is_snapshot: bool
    changes: list[tuple[str, int, Any]]


def build_relay_answer(table: ObjectTable, revision: int) -> RelayAnswer:
    """Return what a VM lacks that knows every change up to a revision."""
    changes = table.changes_since(revision) if revision else None
    is_snapshot = changes is None
    found = list(table.existing()) if changes is None else changes
    return RelayAnswer(
        table.complete_revision, is_snapshot, [tuple(item) for item in found]
    )


def apply_relay_answer(
    table: ObjectTable, answer: RelayAnswer
) -> list[ObjectVersion]:
    """Merge another VM's answer into a table; return what was new in it."""
    changes = [ObjectVersion(*change) for change in answer.changes]
    if answer.is_snapshot:
        return table.merge_list(changes, answer.complete_revision)
    return table.merge_changes(changes, answer.complete_revision)


def announced_revision(
    newest_revision: int, own: TableSummary, peer: TableSummary | None
) -> int:
    """Return the revision up to which a VM knows what this one may lack.

    A removal that a VM knows only because its list lacks the object has no
    revision that it could announce.  Its digest shows that the tables differ.

    Parameters
    ----------
    newest_revision : int
        Revision of the newest change that the other VM announces.
    own : TableSummary
        The table of this VM.
    peer : TableSummary or None
        The table of the other VM; None if it does not say.

    Examples
    --------
    >>> own = TableSummary(complete_revision=5, digest=1)
    >>> announced_revision(4, own, TableSummary(9, digest=1))
    4
    >>> announced_revision(4, own, TableSummary(9, digest=2))
    9
    """
    if peer is None or peer.digest == own.digest:
        return newest_revision
    return max(newest_revision, peer.complete_revision)


class RelayPolicy:
    """Decide when to ask another VM for changes that this VM lacks.

    Examples
    --------
    >>> policy = RelayPolicy()
    >>> policy.should_request(
    ...     'targets', own_revision=5, peer_revision=6, now=0.0
    ... )
    False
    >>> policy.should_request(
    ...     'targets', own_revision=5, peer_revision=6, now=0.4
    ... )
    True
    >>> policy.should_request(
    ...     'targets', own_revision=5, peer_revision=6, now=0.5
    ... )
    False
    >>> policy.should_request('config', 5, 6, now=0.0, watching=False)
    True
    """

    def __init__(self) -> None:
        self._behind_since: dict[str, float] = {}
        self._requested_at: dict[str, float] = {}

    def should_request(
        self,
        kind: str,
        own_revision: int,
        peer_revision: int,
        now: float,
        watching: bool = True,
    ) -> bool:
        """Return whether to ask a VM that knows a newer change.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        own_revision : int
            Revision up to which this VM knows every change; 0 before its
            first list.
        peer_revision : int
            Revision up to which the other VM knows what this one may lack.
        now : float
            Current time.
        watching : bool
            Whether this VM watches the kind itself, so that the store is
            about to send it the change.
        """
        if peer_revision <= own_revision:
            self._behind_since.pop(kind, None)
            return False
        since = self._behind_since.setdefault(kind, now)
        waited = now - since >= OWN_WATCH_DELAY_S or not own_revision
        due = waited or not watching
        if (
            not due
            or now
            < self._requested_at.get(kind, float('-inf')) + REQUEST_INTERVAL_S
        ):
            return False
        self._requested_at[kind] = now
        return True

"""Cache of the platform's objects on a VM, decoded for the gateway."""

from collections.abc import Callable, Mapping
from typing import Any

from rosemaryweir.catalog.outage_grace import OutageGrace
from rosemaryweir.catalog.relay import (
    RelayAnswer,
    apply_relay_answer,
    build_relay_answer,
)
from rosemaryweir.catalog.table import (
    ObjectTable,
    ObjectVersion,
    TableSummary,
)
from rosemaryweir.exception import InvalidInput
from rosemaryweir.gateway.model import Configuration, TargetEntry
from rosemaryweir.platform import protocol
from rosemaryweir.platform.decode import (
    decode_configuration,
    decode_target,
    select_target_fields,
)

__all__ = ['WATCHED_KINDS', 'StoreCache']

#: Kinds of objects of which every VM keeps a copy.
WATCHED_KINDS = (
    protocol.CONFIG_KIND,
    protocol.TARGETS_KIND,
    protocol.EVACUATIONS_KIND,
)

LogEvent = Callable[[str, Mapping[str, Any]], None]


class StoreCache:
    """Copy of the store's objects on this VM.

    Parameters
    ----------
    log : callable
        Called with the name and the fields of each log event.

    Attributes
    ----------
    config : Configuration or None
        Newest configuration that could be decoded.
    targets : dict of str to TargetEntry
        Registered targets, by name.
    outage_grace : OutageGrace
        Decides how long targets stay that vanished in an outage of the store.
    """

    def __init__(self, log: LogEvent) -> None:
        self.config: Configuration | None = None
        self.targets: dict[str, TargetEntry] = {}
        self.outage_grace = OutageGrace()
        self._tables = {kind: ObjectTable() for kind in WATCHED_KINDS}
        self._log = log

    @property
    def can_serve(self) -> bool:
        """Whether the configuration and a list of targets are known."""
        listed = self._tables[protocol.TARGETS_KIND].complete_revision > 0
        return self.config is not None and listed

    @property
    def evacuated_domains(self) -> frozenset[str]:
        """Failure domains that are to get no requests."""
        table = self._tables[protocol.EVACUATIONS_KIND]
        return frozenset(change.name for change in table.existing())

    def complete_revision(self, kind: str) -> int:
        """Return the revision up to which every change of a kind is known."""
        return self._tables[kind].complete_revision

    def newest_revisions(self) -> dict[str, int]:
        """Return the revision of the newest known change, by kind."""
        return {
            kind: table.newest_revision for kind, table in self._tables.items()
        }

    def summaries(self) -> dict[str, TableSummary]:
        """Return what other VMs are told of each table, by kind."""
        return {kind: table.summary for kind, table in self._tables.items()}

    def merge_list(
        self,
        kind: str,
        objects: list[ObjectVersion],
        revision: int,
        now: float,
    ) -> bool:
        """Merge a list of all objects; return whether anything changed."""
        self.outage_grace.store_answered(now)
        applied = self._tables[kind].merge_list(
            _select_content(kind, objects), revision
        )
        return self._apply(kind, applied, now)

    def merge_changes(
        self,
        kind: str,
        changes: list[ObjectVersion],
        revision: int,
        now: float,
    ) -> bool:
        """Merge changes of a kind; return whether anything changed."""
        self.outage_grace.store_answered(now)
        applied = self._tables[kind].merge_changes(
            _select_content(kind, changes), revision
        )
        return self._apply(kind, applied, now)

    def merge_relayed(self, kind: str, answer: RelayAnswer, now: float) -> bool:
        """Merge another VM's answer; return whether anything changed."""
        applied = apply_relay_answer(self._tables[kind], answer)
        if applied:
            # The store answered some VM.  A VM whose last call the store
            # refused, and that makes no calls since, would otherwise go on
            # treating the store as down.
            self.outage_grace.store_answered(now)
        return self._apply(kind, applied, now)

    def answer_relay(self, kind: str, since: int) -> RelayAnswer | None:
        """Return the changes of a kind that another VM lacks.

        None if the kind is unknown, or before its first list.
        """
        table = self._tables.get(kind)
        if table is None or not table.complete_revision:
            return None
        return build_relay_answer(table, since)

    def remove_expired_targets(self, now: float) -> bool:
        """Remove targets whose grace period is over; return whether any."""
        gone = [
            name
            for name in self.outage_grace.expired_entries(now)
            if name in self.targets
        ]
        for name in gone:
            self.targets.pop(name)
            self._log('target_gone', {'target': name, 'why': 'lapsed'})
        return bool(gone)

    def _apply(
        self,
        kind: str,
        applied: list[ObjectVersion],
        now: float,
    ) -> bool:
        for change in applied:
            if kind == protocol.TARGETS_KIND:
                self._apply_target(change, now)
            elif kind == protocol.CONFIG_KIND:
                self._apply_config(change)
            else:
                fields = {'domain': change.name, 'out': not change.removed}
                self._log('domain', fields)
        return bool(applied)

    def _apply_target(self, change: ObjectVersion, now: float) -> None:
        name = change.name
        if change.removed:
            known = name in self.targets
            if known and not self.outage_grace.keep_vanished(name, now):
                self.targets.pop(name)
                fields = {'target': name, 'revision': change.revision}
                self._log('target_gone', fields)
            return
        entry = decode_target(name, change.content)
        if entry is None:
            self.targets.pop(name, None)
            fields = {'target': name, 'revision': change.revision}
            self._log('target_unreadable', fields)
            return
        self.outage_grace.entry_restored(name)
        self.targets[name] = entry
        if entry.draining:
            fields = {'target': name, 'revision': change.revision}
            self._log('target_leaving', fields)

    def _apply_config(self, change: ObjectVersion) -> None:
        if change.name != protocol.CONFIG_NAME or change.removed:
            return
        fields: dict[str, Any] = {'revision': change.revision}
        try:
            config = decode_configuration(change.content)
        except InvalidInput as exc:
            self._log('config_unreadable', {**fields, 'findings': str(exc)})
            return
        self.config = config
        self._log('config', {**fields, 'version': config.version})


def _select_content(
    kind: str, changes: list[ObjectVersion]
) -> list[ObjectVersion]:
    """Return changes without the content that this program doesn't use.

    Other programs may write anything to these kinds, and what one VM can read
    might be too deep for the messages in which it is passed on.
    """
    if kind == protocol.TARGETS_KIND:
        return [
            change
            if change.removed
            else change._replace(content=select_target_fields(change.content))
            for change in changes
        ]
    if kind == protocol.EVACUATIONS_KIND:
        return [
            change if change.removed else change._replace(content={})
            for change in changes
        ]
    return changes

"""What a VM believes of the platform's objects, and what follows from it."""

from collections.abc import Callable, Mapping
from typing import Any

from rosemaryweir.catalog.outage_grace import OutageGrace
from rosemaryweir.catalog.relay import (
    RelayAnswer,
    apply_relay_answer,
    build_relay_answer,
)
from rosemaryweir.catalog.table import ObjectTable, ObjectVersion
from rosemaryweir.exception import InvalidInput
from rosemaryweir.gateway.model import Configuration, TargetEntry
from rosemaryweir.platform import words
from rosemaryweir.platform.decode import decode_configuration, decode_target

__all__ = ['FOLLOWED', 'Belief']

#: Kinds of objects that every VM follows.
FOLLOWED = (words.CONFIG_KIND, words.TARGETS_KIND, words.DOMAINS_OUT_KIND)

Log = Callable[[str, Mapping[str, Any]], None]


class Belief:
    """Objects of the store as this VM knows them.

    Parameters
    ----------
    log : callable
        Takes the name of what was learnt, and its fields.

    Attributes
    ----------
    config : Configuration or None
        The newest that is known and readable.
    targets : dict of str to TargetEntry
        Targets that are known to live, by name.
    """

    def __init__(self, log: Log) -> None:
        self.config: Configuration | None = None
        self.targets: dict[str, TargetEntry] = {}
        self.outage_grace = OutageGrace()
        self._tables = {kind: ObjectTable() for kind in FOLLOWED}
        self._log = log

    @property
    def known(self) -> bool:
        """Whether enough is known to serve."""
        listed = self._tables[words.TARGETS_KIND].complete_revision > 0
        return self.config is not None and listed

    @property
    def domains_out(self) -> frozenset[str]:
        """Failure domains that get nothing."""
        table = self._tables[words.DOMAINS_OUT_KIND]
        return frozenset(change.name for change in table.existing())

    def known_up_to(self, kind: str) -> int:
        """Return the revision up to which all of a kind is known."""
        return self._tables[kind].complete_revision

    def newest(self) -> dict[str, int]:
        """Return the newest change that is known, by kind."""
        return {
            kind: table.newest_revision for kind, table in self._tables.items()
        }

    def listed(
        self,
        kind: str,
        objects: list[ObjectVersion],
        revision: int,
        now: float,
    ) -> bool:
        """Take all objects of a kind; return whether there is news."""
        self.outage_grace.store_answered(now)
        news = self._tables[kind].merge_list(objects, revision)
        return self._apply(kind, news, now)

    def changed(
        self,
        kind: str,
        changes: list[ObjectVersion],
        revision: int,
        now: float,
    ) -> bool:
        """Take changes of a kind; return whether there is news."""
        self.outage_grace.store_answered(now)
        news = self._tables[kind].merge_changes(changes, revision)
        return self._apply(kind, news, now)

    def relayed(self, kind: str, answer: RelayAnswer, now: float) -> bool:
        """Take what another VM knows; return whether there is news."""
        news = apply_relay_answer(self._tables[kind], answer)
        if news:
            # The store told somebody: a VM that it refused, and that makes no
            # calls since, learns by this that it is not away.
            self.outage_grace.store_answered(now)
        return self._apply(kind, news, now)

    def relay(self, kind: str, since: int) -> RelayAnswer | None:
        """Return what another VM lacks; None where nothing is known."""
        table = self._tables.get(kind)
        if table is None or not table.complete_revision:
            return None
        return build_relay_answer(table, since)

    def expire(self, now: float) -> bool:
        """Give up entries that did not come back; return whether any."""
        gone = [
            name
            for name in self.outage_grace.expired_entries(now)
            if name in self.targets
        ]
        for name in gone:
            self.targets.pop(name)
            self._log('target_gone', {'target': name, 'why': 'lapsed'})
        return bool(gone)

    def _apply(self, kind: str, news: list[ObjectVersion], now: float) -> bool:
        for change in news:
            if kind == words.TARGETS_KIND:
                self._apply_target(change, now)
            elif kind == words.CONFIG_KIND:
                self._apply_config(change)
            else:
                fields = {'domain': change.name, 'out': not change.removed}
                self._log('domain', fields)
        return bool(news)

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
        if change.name != words.CONFIG_NAME or change.removed:
            return
        fields: dict[str, Any] = {'revision': change.revision}
        try:
            config = decode_configuration(change.content)
        except InvalidInput as exc:
            self._log('config_unreadable', {**fields, 'findings': str(exc)})
            return
        self.config = config
        self._log('config', {**fields, 'version': config.version})

"""The freshness fence: whether a VM may start new work.

====================================  =======================================
what the VM has had lately            what follows
====================================  =======================================
store contact of its own              serves
contact with a peer that had it       serves; the peer's age counts
neither, but a quorum that has seen   serves what is in force: no view could
nothing newer                         succeed, no note be settled unseen
neither, and no quorum                fenced
a newer generation than its own       fenced until that is in force
restarted, nothing heard yet          fenced
====================================  =======================================

Evidence is dated by the sending of the request that brought it, so that no
delay on the way lengthens it.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from rosemaryweir.membership.quorum import majority_time, quorum_time
from rosemaryweir.membership.timing import EVIDENCE_LIFETIME_S

__all__ = ['CONFIG_HEAD', 'FreshnessEvidence', 'Permission']

#: Name of the configuration's head among the names of failure domains.
CONFIG_HEAD = ''

NEVER = float('-inf')
MS_PER_S = 1000


class Permission(NamedTuple):
    """Until when new work may start, and by which evidence."""

    until: float
    reason: str


class FreshnessEvidence:
    """Dated evidence that nothing newer exists.

    Attributes
    ----------
    can_vouch : bool
        Whether this VM knows enough, since its start, to vouch for others.
    """

    def __init__(self) -> None:
        self.can_vouch = False
        self._store_reads: dict[str, float] = {}
        self._vouch_times: dict[str, float] = {}
        self._majority_times: dict[str, float] = {}

    def record_store_read(self, name: str, sent: float) -> None:
        """Take a read of the store, of the head or of a view."""
        self._store_reads[name] = max(sent, self._store_reads.get(name, NEVER))

    def record_relayed_reads(
        self,
        fresh: Mapping[str, float],
        sent: float,
    ) -> None:
        """Take the ages, in ms, that a peer gave in an answer."""
        for name, age in fresh.items():
            self.record_store_read(name, sent - age / MS_PER_S)

    def record_vouch(self, vm: str, sent: float) -> None:
        """Take it that a VM had seen nothing newer."""
        self._vouch_times[vm] = max(sent, self._vouch_times.get(vm, NEVER))

    def vouch_times(self, own_vm: str, now: float) -> dict[str, float]:
        """Return when each VM vouched, this one included if it may."""
        own = {own_vm: now} if self.can_vouch else {}
        return {**self._vouch_times, **own}

    def record_relayed_vouches(
        self,
        ages: Mapping[str, float],
        sent: float,
    ) -> None:
        """Take the ages, in seconds, of the vouches that a peer had."""
        for vm, age in ages.items():
            self.record_vouch(vm, sent - age)

    def record_relayed_majorities(
        self,
        ages: Mapping[str, float],
        sent: float,
    ) -> None:
        """Take the ages of the majorities that a peer knows of."""
        for domain, age in ages.items():
            since = sent - age / MS_PER_S
            known = self._majority_times.get(domain, NEVER)
            self._majority_times[domain] = max(since, known)

    def update_majority(
        self,
        domain: str,
        members: Collection[str],
        own_vm: str,
        now: float,
    ) -> None:
        """Work out the majority of the VM's own failure domain."""
        since = majority_time(members, self.vouch_times(own_vm, now))
        if since > NEVER:
            known = self._majority_times.get(domain, NEVER)
            self._majority_times[domain] = max(since, known)

    def permission(
        self,
        needed: Iterable[str],
        domains: Collection[str],
        now: float,
    ) -> Permission:
        """Return until when new work may start.

        Parameters
        ----------
        needed : iterable of str
            The head and the views that the VM's right to work rests on.
        domains : collection of str
            Failure domains that have a view.
        now : float
            Present time.
        """
        fresh = min(self._store_reads.get(name, NEVER) for name in needed)
        quorum = self._quorum_time(domains)
        if not self.can_vouch:
            self.can_vouch = max(fresh, quorum) + EVIDENCE_LIFETIME_S > now
        if fresh >= quorum:
            return _permission_from(fresh, 'store', now)
        combined = min(
            max(quorum, self._store_reads.get(name, NEVER)) for name in needed
        )
        return _permission_from(combined, 'quorum', now)

    def store_read_age(self, name: str, now: float) -> float:
        """Return how long ago the store was last known to show no newer."""
        return now - self._store_reads.get(name, NEVER)

    def store_read_ages(self, now: float) -> dict[str, float]:
        """Return the ages, in ms, to relay to peers."""
        return _ages_ms(self._store_reads, now)

    def majority_ages(self, now: float) -> dict[str, float]:
        """Return the ages of majorities, in ms, to relay to peers."""
        return _ages_ms(self._majority_times, now)

    def _quorum_time(self, domains: Collection[str]) -> float:
        return quorum_time(
            [self._majority_times.get(domain, NEVER) for domain in domains],
        )


def _permission_from(since: float, reason: str, now: float) -> Permission:
    until = since + EVIDENCE_LIFETIME_S
    return Permission(until, reason if now < until else 'fenced')


def _ages_ms(times: Mapping[str, float], now: float) -> dict[str, float]:
    return {
        name: math.ceil((now - since) * MS_PER_S)
        for name, since in times.items()
        if now < since + EVIDENCE_LIFETIME_S
    }

"""Evidence that nothing newer exists, which lets a VM start new work.

A VM without it is fenced: it starts no new work, as another VM may have taken
over its failure domain or a newer configuration may be in force elsewhere.

====================================  =======================================
evidence within its lifetime          result
====================================  =======================================
own read of the store                 serves
read of the store by a peer           serves; the age of that read counts
neither, but a quorum that has seen   serves what is in force: no view can be
nothing newer                         replaced, no note be accepted unseen
neither, and no quorum                fenced
a newer generation than its own       fenced until that is in force
none yet after a restart              fenced
====================================  =======================================

Evidence is dated by the time at which its request was sent, so that network
delay does not extend its lifetime.  A VM vouches for others by stating that it
has seen no newer configuration or view.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from rosemaryweir.membership.quorum import majority_time, quorum_time
from rosemaryweir.membership.timing import EVIDENCE_LIFETIME_S

__all__ = ['CONFIG_HEAD', 'FreshnessEvidence', 'Permission']

#: Key of the head of the configuration; other keys name failure domains.
CONFIG_HEAD = ''

NEVER = float('-inf')
MS_PER_S = 1000


class Permission(NamedTuple):
    """Time until which new work may start, and the evidence for it."""

    until: float
    reason: str


class FreshnessEvidence:
    """Times of the evidence that no newer configuration or view exists.

    Attributes
    ----------
    can_vouch : bool
        Whether this VM has had evidence within its lifetime since its start,
        and so may vouch for others.
    """

    def __init__(self) -> None:
        self.can_vouch = False
        self._store_reads: dict[str, float] = {}
        self._vouch_times: dict[str, float] = {}
        self._majority_times: dict[str, float] = {}

    def record_store_read(self, name: str, sent: float) -> None:
        """Record a read of the head or of a view from the store."""
        self._store_reads[name] = max(sent, self._store_reads.get(name, NEVER))

    def record_relayed_reads(
        self,
        fresh: Mapping[str, float],
        sent: float,
    ) -> None:
        """Record reads of the store by a peer, given as ages in ms."""
        for name, age in fresh.items():
            self.record_store_read(name, sent - age / MS_PER_S)

    def record_vouch(self, vm: str, sent: float) -> None:
        """Record that a VM had seen nothing newer."""
        self._vouch_times[vm] = max(sent, self._vouch_times.get(vm, NEVER))

    def vouch_times(self, own_vm: str, now: float) -> dict[str, float]:
        """Return when each VM vouched, including this VM if it may."""
        own = {own_vm: now} if self.can_vouch else {}
        return {**self._vouch_times, **own}

    def record_relayed_vouches(
        self,
        ages: Mapping[str, float],
        sent: float,
    ) -> None:
        """Record vouches known to a peer, given as ages in seconds."""
        for vm, age in ages.items():
            self.record_vouch(vm, sent - age)

    def record_relayed_majorities(
        self,
        ages: Mapping[str, float],
        sent: float,
    ) -> None:
        """Record majorities known to a peer, given as ages in ms."""
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
        """Update the time at which a majority of a failure domain vouched."""
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
        """Return the time until which new work may start.

        Parameters
        ----------
        needed : iterable of str
            The head and the views that must be known to be current.
        domains : collection of str
            All failure domains that have a view.
        now : float
            Current time.
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
        """Return the age of the latest known read from the store."""
        return now - self._store_reads.get(name, NEVER)

    def store_read_ages(self, now: float) -> dict[str, float]:
        """Return the ages of reads of the store, in ms, to relay to peers."""
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

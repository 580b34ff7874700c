"""Succession of views: when the new owners of targets may take over.

A VM that a new view leaves out, or that loses targets by it, may not have
received that view yet.  Its lease rests on store contact (direct or through a
peer) or on a quorum that has seen nothing newer.  Once a quorum of the views
that it may hold has adopted the new view, no such evidence can arise any more.
The evidence that the VM already had expires `EVIDENCE_LIFETIME_S` later, plus
the allowance for clock drift.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from rosemaryweir.membership.quorum import has_quorum
from rosemaryweir.membership.timing import EVIDENCE_LIFETIME_S
from rosemaryweir.schema.generated.control import View

__all__ = ['Succession']

MemberNames = tuple[str, ...]


class FormerView(NamedTuple):
    """An earlier view that a VM may still hold."""

    version: int
    members: MemberNames


class DomainSuccession(NamedTuple):
    """The latest view of a failure domain, and the views before it.

    ``takeover`` is the time from which the owners by this view need no
    release by the former owner; None while it is unknown.
    """

    version: int
    members: MemberNames
    former: tuple[FormerView, ...]
    takeover: float | None


class Succession:
    """Tracks which VM has adopted which view, and the takeover times.

    Parameters
    ----------
    skew : float
        Allowance for clock drift, in seconds.
    """

    def __init__(self, skew: float) -> None:
        self._skew = skew
        self._successions: dict[str, DomainSuccession] = {}
        self._adopted: dict[str, dict[str, int]] = {}
        self._removed_vms: frozenset[str] = frozenset()

    def add_view(self, view: View, now: float) -> None:
        """Start the succession of a newer view."""
        known = self._successions.get(view['domain'])
        stated = tuple(
            FormerView(0, tuple(names)) for names in view.get('former', ())
        )
        own: tuple[FormerView, ...] = ()
        if known is not None:
            own = (*known.former, FormerView(known.version, known.members))
        former = tuple(
            {each.members: each for each in (*stated, *own)}.values()
        )
        self._successions[view['domain']] = DomainSuccession(
            view['version'],
            tuple(member['vm'] for member in view['members']),
            former,
            None if former else now,
        )

    def record_adopted(self, vm: str, versions: Mapping[str, int]) -> None:
        """Record that a VM has adopted views; adoption is never undone."""
        adopted = self._adopted.setdefault(vm, {})
        for domain, version in versions.items():
            adopted[domain] = max(version, adopted.get(domain, 0))

    def set_removed_vms(self, vms: frozenset[str]) -> None:
        """Set the VMs that were removed for good, and so hold no lease."""
        self._removed_vms = vms

    def update_takeovers(self, now: float) -> Iterator[str]:
        """Set the takeover times of views that a quorum has adopted.

        Yields their failure domains.
        """
        for domain, succession in self._successions.items():
            if succession.takeover is None and self._has_quorum(
                domain, succession
            ):
                takeover = now + EVIDENCE_LIFETIME_S + self._skew
                self._successions[domain] = succession._replace(
                    takeover=takeover
                )
                yield domain
        self._drop_former(now)

    def record_settled(
        self,
        settled: Mapping[str, int],
        now: float,
    ) -> Iterator[str]:
        """Record the views that a peer found settled.

        Yields the failure domains for which this was not known.
        """
        for domain, version in settled.items():
            succession = self._successions.get(domain)
            if succession is None or succession.version != version:
                continue
            if succession.takeover is None or succession.takeover > now:
                self._successions[domain] = succession._replace(takeover=now)
                yield domain
        self._drop_former(now)

    def takeover(self, domain: str) -> float | None:
        """Return when owners need no release any more; None if unknown."""
        succession = self._successions.get(domain)
        return None if succession is None else succession.takeover

    def possible_member_lists(self, domain: str) -> list[list[str]]:
        """Return the member lists of all views that a VM may still hold."""
        succession = self._successions.get(domain)
        if succession is None:
            return []
        lists = dict.fromkeys(
            [*(each.members for each in succession.former), succession.members],
        )
        return [list(names) for names in lists]

    def settled(self, now: float) -> dict[str, int]:
        """Return the versions whose takeover time has passed."""
        return {
            domain: succession.version
            for domain, succession in self._successions.items()
            if succession.takeover is not None and succession.takeover <= now
        }

    def adopters(self) -> dict[str, set[str]]:
        """Return the VMs that have adopted each view that awaits a quorum."""
        return {
            domain: self._adopters(domain, succession.version)
            for domain, succession in self._successions.items()
            if succession.takeover is None
        }

    def record_adopters(self, domain: str, vms: Iterable[str]) -> None:
        """Record that VMs have adopted the view in use here."""
        succession = self._successions.get(domain)
        if succession is not None:
            for vm in vms:
                self.record_adopted(vm, {domain: succession.version})

    def _adopters(self, domain: str, version: int) -> set[str]:
        return {
            vm
            for vm, adopted in self._adopted.items()
            if adopted.get(domain, 0) >= version
        }

    def _drop_former(self, now: float) -> None:
        for domain, succession in self._successions.items():
            passed = (
                succession.takeover is not None and succession.takeover <= now
            )
            if passed and succession.former:
                self._successions[domain] = succession._replace(former=())

    def _has_quorum(self, domain: str, succession: DomainSuccession) -> bool:
        vms = self._removed_vms | self._adopters(domain, succession.version)
        versions: dict[str, list[MemberNames]] = {
            other: [
                *(each.members for each in found.former),
                *(() if other == domain else (found.members,)),
            ]
            for other, found in self._successions.items()
        }
        return has_quorum(versions, vms)

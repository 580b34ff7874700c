"""Registry of the targets of each service and of their usability."""

from collections import Counter
from collections.abc import Collection, Mapping

from rosemaryweir.gateway.model import TargetEntry
from rosemaryweir.gateway.target_notices import NoticeBoard
from rosemaryweir.gateway.target_state import SLOW_FACTOR, TargetState

__all__ = ['TargetRegistry']

#: Maximum number of slow targets that a VM reports to others.
MAX_REPORTED = 12


class TargetRegistry:
    """Targets by name and by service."""

    def __init__(self) -> None:
        self._targets: dict[str, TargetState] = {}
        self._services: dict[str, list[TargetState]] = {}
        self._excluded_domains: frozenset[str] = frozenset()
        self._notice_board = NoticeBoard()

    def get(self, name: str) -> TargetState | None:
        """Return a target by its name."""
        return self._targets.get(name)

    def update(
        self,
        entries: Mapping[str, TargetEntry],
        excluded_domains: Collection[str],
        now: float,
    ) -> list[TargetState]:
        """Set the registered targets; return those that get no requests.

        These are targets that were removed, and those that drain or are in an
        excluded failure domain: what they run goes on.

        Parameters
        ----------
        entries : mapping of str to TargetEntry
            All targets that are known to be alive.
        excluded_domains : collection of str
            Failure domains whose targets get nothing.
        now : float
            Present time.
        """
        self._excluded_domains = frozenset(excluded_domains)
        removed = [
            target
            for name, target in self._targets.items()
            if name not in entries or _was_restarted(target, entries[name])
        ]
        for old in removed:
            self._targets.pop(old.entry.name)
        for name, entry in entries.items():
            known = self._targets.get(name)
            if known is None:
                notices = self._notice_board.of(name, entry.started_ms)
                self._targets[name] = TargetState(entry, now, notices)
            elif known.entry != entry:
                known.entry = entry
                known.cold_until = max(
                    known.cold_until, now + entry.cold_seconds
                )
        self._index_services()
        unusable = (
            target
            for target in self._targets.values()
            if not self.is_usable(target)
        )
        return [*removed, *unusable]

    def is_usable(self, target: TargetState) -> bool:
        """Return whether a target may get new requests."""
        entry = target.entry
        known = self._targets.get(entry.name) is target
        excluded = entry.domain in self._excluded_domains
        return known and not (excluded or target.leaves)

    def usable_targets(self, service: str) -> list[TargetState]:
        """Return the targets of a service that may get new requests."""
        return [
            target
            for target in self._services.get(service, ())
            if not target.leaves
        ]

    def domain_coverage(self, services: Collection[str]) -> dict[str, float]:
        """Return the share of services that each failure domain can serve.

        Parameters
        ----------
        services : collection of str
            The services to count.
        """
        found = Counter(
            domain
            for service in services
            for domain in {
                target.entry.domain for target in self.usable_targets(service)
            }
        )
        return {
            domain: count / len(services) for domain, count in found.items()
        }

    def slow_targets(self, now: float) -> dict[str, float]:
        """Return the slowness of targets to report to other VMs.

        At most `MAX_REPORTED` targets, the slowest first.
        """
        found = {
            name: target.reportable_slowness(now)
            for name, target in self._targets.items()
        }
        slowest = sorted(found, key=found.__getitem__, reverse=True)
        return {
            name: round(found[name], 1)
            for name in slowest[:MAX_REPORTED]
            if found[name] > SLOW_FACTOR
        }

    def apply_peer_slowness(
        self, slow: Mapping[str, float], now: float
    ) -> None:
        """Apply the slowness of targets that another VM reported."""
        for name, slowness in slow.items():
            target = self._targets.get(name)
            if target is not None:
                target.set_peer_slowness(slowness, now)

    def _index_services(self) -> None:
        services: dict[str, list[TargetState]] = {}
        for target in self._targets.values():
            if self.is_usable(target):
                services.setdefault(target.entry.service, []).append(target)
        self._services = services


def _was_restarted(target: TargetState, entry: TargetEntry) -> bool:
    moved = entry.address != target.entry.address
    return moved or entry.started_ms != target.entry.started_ms

"""The targets of each service, as far as they may be used."""

from collections import Counter
from collections.abc import Collection, Mapping

from rosemaryweir.gateway.model import TargetEntry
from rosemaryweir.gateway.target_state import SLOW_FOLD, Target

__all__ = ['TargetRegistry']

#: Slow targets that a VM tells others of at most.
MOST_TOLD = 12


class TargetRegistry:
    """Targets by name and by service."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._services: dict[str, list[Target]] = {}
        self._closed: frozenset[str] = frozenset()

    def get(self, name: str) -> Target | None:
        """Return a target by its name."""
        return self._targets.get(name)

    def apply(
        self,
        entries: Mapping[str, TargetEntry],
        closed: Collection[str],
        now: float,
    ) -> list[Target]:
        """Take the registered targets; return those that are given up.

        Parameters
        ----------
        entries : mapping of str to TargetEntry
            All targets that are known to live.
        closed : collection of str
            Failure domains that get nothing.
        now : float
            Present time.
        """
        self._closed = frozenset(closed)
        dropped = [
            target
            for name, target in self._targets.items()
            if name not in entries or _restarted(target, entries[name])
        ]
        for old in dropped:
            self._targets.pop(old.entry.name)
        for name, entry in entries.items():
            known = self._targets.get(name)
            if known is None:
                self._targets[name] = Target(entry, now)
            elif known.entry != entry:
                known.entry = entry
                known.cold_until = max(
                    known.cold_until, now + entry.cold_seconds
                )
        self._arrange()
        return dropped

    def usable(self, service: str) -> list[Target]:
        """Return the targets of a service that may get new work."""
        return [
            target
            for target in self._services.get(service, ())
            if not target.gone
        ]

    def domain_coverage(self, services: Collection[str]) -> dict[str, float]:
        """Return the share of services that each failure domain can serve.

        Parameters
        ----------
        services : collection of str
            The services that count.
        """
        found = Counter(
            domain
            for service in services
            for domain in {
                target.entry.domain for target in self.usable(service)
            }
        )
        return {
            domain: count / len(services) for domain, count in found.items()
        }

    def slow_targets(self, now: float) -> dict[str, float]:
        """Return the targets that this VM saw to be slow, the worst first."""
        found = {
            name: target.told_slowness(now)
            for name, target in self._targets.items()
        }
        worst = sorted(found, key=found.__getitem__, reverse=True)
        return {
            name: round(found[name], 1)
            for name in worst[:MOST_TOLD]
            if found[name] > SLOW_FOLD
        }

    def apply_peer_slowness(
        self, slow: Mapping[str, float], now: float
    ) -> None:
        """Take the targets that another VM saw to be slow."""
        for name, slowness in slow.items():
            target = self._targets.get(name)
            if target is not None:
                target.advise(slowness, now)

    def _arrange(self) -> None:
        services: dict[str, list[Target]] = {}
        for target in self._targets.values():
            entry = target.entry
            if not entry.draining and entry.domain not in self._closed:
                services.setdefault(entry.service, []).append(target)
        self._services = services


def _restarted(target: Target, entry: TargetEntry) -> bool:
    moved = entry.address != target.entry.address
    return moved or entry.started_ms != target.entry.started_ms

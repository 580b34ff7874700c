"""Handover of targets between leaves when views change.

A leaf that a view makes the owner of a target waits until the previous owner
has released it, or until the previous owner's lease has certainly expired and
its last requests can no longer be running.  The right to use a target is
passed on like a token: only a leaf that has held it without interruption
releases it.

View versions protect against late and duplicate releases.  A release is
ignored if it was made under a view older than the one that made this leaf the
owner, or is not newer than the last release accepted.
"""

from collections.abc import Iterable
from typing import NamedTuple

from rosemaryweir.schema.generated.control import View
from rosemaryweir.targets.ownership import OwnerCache
from rosemaryweir.targets.slots import DEADLINE_MARGIN_S
from rosemaryweir.targets.target_attempt import MAX_ATTEMPT_S

__all__ = ['Handover', 'PendingRelease']

#: Time after the start within which releases are ignored, in s: they may be
#: meant for the previous process of this leaf.
RESTART_GUARD_S = 1.5
#: Time after which requests of a previous owner, or of a previous process of
#: this leaf, can no longer be running, in s.
PREDECESSOR_WORK_S = MAX_ATTEMPT_S + DEADLINE_MARGIN_S
NEVER = float('inf')
FIRST_VERSION = 1


class PendingRelease(NamedTuple):
    """Target to release, the view version that moved it, and its new VM."""

    target: str
    domain: str
    view: int
    to: str


class Tenure:
    """Ownership of one target since the view version that assigned it."""

    __slots__ = ('domain', 'ready_at', 'since_version')

    def __init__(
        self, domain: str, since_version: int, ready_at: float
    ) -> None:
        self.domain = domain
        self.since_version = since_version
        self.ready_at = ready_at


class Handover:
    """Targets that this leaf owns, and the times from which it may use them.

    Parameters
    ----------
    vm : str
        Name of the VM of this leaf.
    born : float
        When this process started.

    Attributes
    ----------
    views : dict of str to View
        Current view of each failure domain.
    pending_releases : dict of str to PendingRelease
        Targets that moved to another leaf and are not yet released.
    """

    def __init__(self, vm: str, born: float) -> None:
        self.vm = vm
        self.born = born
        self.views: dict[str, View] = {}
        self.pending_releases: dict[str, PendingRelease] = {}
        self._tenures: dict[str, Tenure] = {}
        self._usable_from: dict[str, float] = {}
        self._interrupted: set[str] = set()
        self._accepted_versions: dict[str, int] = {}
        self._released_versions: dict[str, int] = {}
        self._lease_until = 0.0
        self._owners = OwnerCache()

    def ready(self, target: str, now: float) -> bool:
        """Return whether this leaf may use a target now."""
        tenure = self._tenures.get(target)
        return tenure is not None and now >= tenure.ready_at

    def owned(self) -> Iterable[str]:
        """Return the targets owned, whether they may be used yet or not."""
        return self._tenures.keys()

    def next_ready(self, now: float) -> float | None:
        """Return when the next target becomes ready without a release."""
        waits = (tenure.ready_at for tenure in self._tenures.values())
        return min((at for at in waits if now < at < NEVER), default=None)

    def observe_lease(self, lease_until: float, now: float) -> None:
        """Take the end of the lease; an expiry interrupts all tenures."""
        if now >= self._lease_until:
            self._interrupted.update(self.views)
        self._lease_until = lease_until

    def adopt_view(
        self,
        view: View,
        targets: Iterable[str],
        now: float,
    ) -> None:
        """Adopt a newer view.

        Parameters
        ----------
        view : View
            The view of a failure domain.
        targets : iterable of str
            The targets of that failure domain.
        now : float
            The present time.

        Notes
        -----
        Targets that move to another leaf are kept in ``pending_releases``.
        """
        domain, version = view['domain'], view['version']
        known = self.views.get(domain)
        continuous = self._is_continuous(known, version, now)
        self.views[domain] = view
        self._interrupted.discard(domain)
        first = known is None and version == FIRST_VERSION
        self._usable_from[domain] = (
            self.born + PREDECESSOR_WORK_S if first else NEVER
        )
        for target in targets:
            was_ready = continuous and self.ready(target, now)
            # The new owner of an earlier view may have taken it over
            # meanwhile: this leaf can neither keep it nor release it to
            # another one.
            self.pending_releases.pop(target, None)
            if self._owners.owner_of(target, view) == self.vm:
                self._gain(target, view, continuous)
            else:
                self._lose(target, view, was_ready)

    def add_targets(self, domain: str, targets: Iterable[str]) -> None:
        """Add targets that are new in the configuration."""
        view = self.views.get(domain)
        if view is None:
            return
        for target in targets:
            if (
                target not in self._tenures
                and self._owners.owner_of(target, view) == self.vm
            ):
                self._tenures[target] = Tenure(
                    domain,
                    view['version'],
                    self._usable_from[domain],
                )

    def drop_target(self, target: str) -> None:
        """Remove a target that is no longer in the configuration."""
        self._tenures.pop(target, None)

    def set_takeover_wait(self, view: View, wait: float, now: float) -> None:
        """Set when the leases of the owners before a view have expired.

        Parameters
        ----------
        view : View
            The view; ignored unless it is the current one.
        wait : float
            Time until all earlier leases have expired, in s; negative if
            unknown.
        now : float
            The present time.
        """
        domain = view['domain']
        known = self.views.get(domain)
        if wait < 0 or known is None or known['version'] != view['version']:
            return
        over = max(now + wait, self.born) + PREDECESSOR_WORK_S
        self._usable_from[domain] = min(self._usable_from[domain], over)
        for tenure in self._tenures.values():
            if tenure.domain == domain:
                tenure.ready_at = min(tenure.ready_at, over)

    def record_release(
        self,
        domain: str,
        version: int,
        targets: Iterable[str],
        now: float,
    ) -> None:
        """Process a release by the previous owner."""
        if now < self.born + RESTART_GUARD_S:
            return
        for target in targets:
            tenure = self._tenures.get(target)
            self._released_versions[target] = max(
                version, self._released_versions.get(target, 0)
            )
            if tenure is not None:
                self._apply_release(target, tenure, now)

    def _is_continuous(
        self,
        known: View | None,
        version: int,
        now: float,
    ) -> bool:
        """Return whether no other leaf can have owned targets in between."""
        if known is None:
            return False
        if version == known['version'] + 1:
            return True
        return (
            known['domain'] not in self._interrupted and now < self._lease_until
        )

    def _gain(self, target: str, view: View, continuous: bool) -> None:
        if continuous and target in self._tenures:
            return
        domain, version = view['domain'], view['version']
        tenure = Tenure(domain, version, self._usable_from[domain])
        self._tenures[target] = tenure
        self._apply_release(target, tenure, self.born)

    def _lose(self, target: str, view: View, was_ready: bool) -> None:
        self._tenures.pop(target, None)
        to = self._owners.owner_of(target, view)
        if was_ready and to is not None:
            self.pending_releases[target] = PendingRelease(
                target,
                view['domain'],
                view['version'],
                to,
            )

    def _apply_release(self, target: str, tenure: Tenure, now: float) -> None:
        version = self._released_versions.get(target, 0)
        if (
            version < tenure.since_version
            or version <= self._accepted_versions.get(target, 0)
        ):
            return
        self._accepted_versions[target] = version
        tenure.ready_at = min(
            tenure.ready_at,
            max(now, self.born + PREDECESSOR_WORK_S),
        )

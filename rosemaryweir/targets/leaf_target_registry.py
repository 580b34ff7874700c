"""Registry of the targets of a leaf, updated from config and views."""

from collections.abc import Iterable, Iterator

from rosemaryweir.node.action import Action, LogEvent
from rosemaryweir.node.state import NodeState, empty_config
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.schema.generated.control import View
from rosemaryweir.targets.exclusions import (
    CLOSES_WINDOW_S,
    RECENT_USE_S,
    Exclusions,
    closed_all_connections,
)
from rosemaryweir.targets.handover import Handover, PendingRelease
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.limits import Limits, limits_of, service_of
from rosemaryweir.targets.service_latencies import ServiceLatencies
from rosemaryweir.telemetry.log_events import register_event

__all__ = ['LeafTargetRegistry']

EXCLUDED = register_event(
    300,
    'target.excluded',
    'warning',
    'A target is leaving and gets no new work until it restarts or a newer '
    'configuration arrives; the reason names the sign of leaving.',
)
READMITTED = register_event(
    301,
    'target.readmitted',
    'info',
    'A target that had been excluded gets work again and counts as cold.',
)


class LeafTargetRegistry:
    """States of the targets, kept up to date with configuration and views.

    Parameters
    ----------
    state : NodeState
        Configuration and views.
    handover : Handover
        Ownership of the targets.
    exclusions : Exclusions
        Targets that are excluded from new work.

    Attributes
    ----------
    target_states : dict of str to LeafTargetState
        Targets that this leaf has been asked for, by name.
    actions : list of Action
        Log events.
    """

    def __init__(
        self,
        state: NodeState,
        handover: Handover,
        exclusions: Exclusions,
    ) -> None:
        self.state = state
        self.handover = handover
        self.exclusions = exclusions
        self.target_states: dict[str, LeafTargetState] = {}
        self.actions: list[Action] = []
        self._config: Config = empty_config()
        self._limits: dict[str, Limits] = {}
        self._service_of: dict[str, str] = {}
        self._service_latencies: dict[str, ServiceLatencies] = {}
        self._by_domain: dict[str, list[str]] = {}
        self._platform_leaving: frozenset[str] = frozenset()

    def target_state(self, target: str) -> LeafTargetState | None:
        """Return the state of a target, or None if it is not configured."""
        target_state = self.target_states.get(target)
        if target_state is None and target in self._limits:
            known = self._config['targets'].get(target)
            if known is not None:
                target_state = LeafTargetState(
                    target,
                    known['address'],
                    known['domain'],
                    self._limits[target],
                    self._latencies_of(target),
                )
                self.target_states[target] = target_state
        return target_state

    def apply_changes(self, now: float) -> list[View]:
        """Apply changes of configuration and views; return the new views."""
        if self.state.config is not self._config:
            self._apply_config(now)
        adopted = [
            view
            for domain, view in self.state.views.items()
            if self.handover.views.get(domain) is not view
        ]
        for view in adopted:
            self.handover.observe_lease(self.state.lease.until, now)
            names = self._by_domain.get(view['domain'], [])
            self.handover.adopt_view(view, names, now)
        if adopted:
            self._mark_unowned_cold(now)
        return adopted

    def update_leaving(self, leaving: Iterable[str]) -> None:
        """Exclude targets that the platform newly lists as leaving."""
        leaving_now = frozenset(leaving) & self._limits.keys()
        for target in sorted(leaving_now - self._platform_leaving):
            self.exclude(target, 'platform list')
        self._platform_leaving = leaving_now

    def exclude(self, target: str, reason: str) -> None:
        """Exclude a target from new work."""
        target_state = self.target_states.get(target)
        incarnation = 0 if target_state is None else target_state.incarnation
        generation = self._config['generation']
        if self.exclusions.add(target, reason, incarnation, generation):
            fields = {'target': target, 'reason': reason}
            self.actions.append(LogEvent(EXCLUDED, fields))

    def readmit_restarted(self, target: str, incarnation: int) -> None:
        """Readmit an excluded target if its incarnation is newer."""
        if target in self.exclusions:
            self._readmit(target, incarnation)

    def record_close_in_use(
        self, target_state: LeafTargetState, now: float
    ) -> None:
        """Record that a target closed a connection that was in use.

        The target is excluded if it has closed all of them.
        """
        target_state.closed_in_use_at = [
            when
            for when in target_state.closed_in_use_at
            if now - when <= CLOSES_WINDOW_S
        ]
        target_state.closed_in_use_at.append(now)
        if closed_all_connections(
            target_state.closed_in_use_at, len(target_state.pool.conns), now
        ):
            self.exclude(target_state.name, 'closes its connections')

    def in_use(
        self, target_state: LeafTargetState, number: int, now: float
    ) -> bool:
        """Return whether a connection carries work or did so recently."""
        conn = target_state.pool.conns.get(number)
        if conn is None or not conn.opened:
            return False
        return (
            conn.current_attempt is not None
            or now - conn.last_alive <= RECENT_USE_S
        )

    def take_releasable(self, now: float) -> Iterator[PendingRelease]:
        """Remove and yield the pending releases of targets not in use."""
        for target in tuple(self.handover.pending_releases):
            target_state = self.target_states.get(target)
            if target_state is None or not target_state.slots.held(now):
                yield self.handover.pending_releases.pop(target)

    def _apply_config(self, now: float) -> None:
        old = self._config
        self._config = self.state.config
        self._limits = limits_of(self._config)
        self._service_of = service_of(self._config)
        self._by_domain = _by_domain(self._config)
        for name, target_state in tuple(self.target_states.items()):
            self._apply_config_to(name, target_state)
        for target in old['targets'].keys() - self._config['targets'].keys():
            self.handover.drop_target(target)
        for domain, names in self._by_domain.items():
            self.handover.add_targets(domain, self._changed_targets(names, old))
        for target in self.exclusions.names():
            self._readmit(target, 0)

    def _changed_targets(
        self, names: Iterable[str], old: Config
    ) -> Iterator[str]:
        """Yield the targets that are new or changed."""
        present = self._config['targets']
        before = old['targets']
        for name in names:
            known = before.get(name)
            if known is not present[name] and known != present[name]:
                yield name

    def _mark_unowned_cold(self, now: float) -> None:
        for name, target_state in self.target_states.items():
            if not self.handover.ready(name, now):
                target_state.warmth.mark_cold()

    def _apply_config_to(
        self, name: str, target_state: LeafTargetState
    ) -> None:
        known = self._config['targets'].get(name)
        limits = self._limits.get(name)
        if known is not None and limits is not None:
            target_state.reconfigure(limits, known['address'])
        elif target_state.idle:
            self.target_states.pop(name)
            target_state.warmth.detach()
        if not self._in_service(target_state.domain):
            # The target may restart, or lose its caches, meanwhile.
            target_state.warmth.mark_cold()

    def _latencies_of(self, target: str) -> ServiceLatencies:
        return self._service_latencies.setdefault(
            self._service_of[target], ServiceLatencies()
        )

    def _in_service(self, domain: str) -> bool:
        known = self._config['domains'].get(domain)
        return known is not None and known['state'] == 'in'

    def _readmit(self, target: str, incarnation: int) -> None:
        generation = self._config['generation']
        if self.exclusions.lift(target, incarnation, generation):
            target_state = self.target_states.get(target)
            if target_state is not None:
                target_state.warmth.mark_cold()
            self.actions.append(LogEvent(READMITTED, {'target': target}))


def _by_domain(config: Config) -> dict[str, list[str]]:
    domains: dict[str, list[str]] = {}
    for name, target in config['targets'].items():
        domains.setdefault(target['domain'], []).append(name)
    return domains

"""Plan a query: the shards of a layout, their usable replicas and leaves."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from rosemaryweir.node.state import NodeState
from rosemaryweir.query.liveness import LeafHealth
from rosemaryweir.query.observed_target import ObservedTarget
from rosemaryweir.query.replica import OTHER_DOMAIN_LATENCY_S, Replica
from rosemaryweir.schema.generated.config import Config, Service
from rosemaryweir.schema.generated.control import Member, View
from rosemaryweir.targets.ownership import OwnerCache

__all__ = ['Plan', 'QueryPlanner']

NO_LOADS: Mapping[str, int] = {}


class Plan(NamedTuple):
    """Replicas that can run the sub-queries of a query.

    Parameters
    ----------
    service : Service
        Configuration of the service from the time its layout was in force.
    shards : tuple of str
        The shards of the layout.
    replicas : mapping
        Usable replicas by shard; empty for a shard that no target serves now.
    observed_targets : tuple
        All targets of the layout, by shard, as this entry observes them.
    """

    service: Service
    shards: tuple[str, ...]
    replicas: Mapping[str, list[Replica]]
    observed_targets: tuple[tuple[ObservedTarget, ...], ...]


class _PlanInputs(NamedTuple):
    """Inputs of a plan; it is valid until one of them changes."""

    config: Config
    suspended: frozenset[str]
    views: tuple[View, ...]


class QueryPlanner:
    """Targets and leaves as this entry observes them, and cached plans.

    Parameters
    ----------
    state : NodeState
        Configuration and views in force.
    """

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self.targets: dict[str, ObservedTarget] = {}
        self.leaves: dict[str, LeafHealth] = {}
        self._owners = OwnerCache()
        self._plans: dict[tuple[str, int], tuple[_PlanInputs, Plan]] = {}

    def plan(self, name: str, service: Service) -> Plan:
        """Return the plan of a service, which may have an earlier layout.

        An earlier layout keeps its shards.  Which of its targets are usable
        and which leaves own them follows the configuration in force.
        """
        key = (name, service['layout'])
        cached = self._plans.get(key)
        if cached is not None and self._is_current(cached[0]):
            return cached[1]
        self._plans = {
            each: entry
            for each, entry in self._plans.items()
            if each[0] != name or each[1] >= service['layout'] - 1
        }
        plan = self._make(service)
        self._plans[key] = (self._inputs(), plan)
        return plan

    def leaf(self, name: str) -> LeafHealth:
        """Return the health of a leaf."""
        known = self.leaves.get(name)
        if known is None:
            known = LeafHealth(name)
            self.leaves[name] = known
        return known

    def update_loads(self, message: Mapping[str, Any], now: float) -> None:
        """Record the loads of targets that a leaf reports."""
        targets = self.targets
        for name, pending in message.get('pending', NO_LOADS).items():
            if name in targets:
                targets[name].reported = pending
                targets[name].reported_at = now
        for load in message['loads']:
            observed = targets.get(load['target'])
            if observed is not None:
                observed.update_load(load, now)

    def prune(self) -> None:
        """Remove targets and leaves that left and have nothing in flight."""
        configured = self.state.config['targets']
        vms = {member['vm'] for member in self.state.members()}
        self.targets = {
            name: observed
            for name, observed in self.targets.items()
            if name in configured or observed.own_in_flight
        }
        self.leaves = {
            name: health
            for name, health in self.leaves.items()
            if health.outstanding or name.partition('/')[0] in vms
        }

    def _is_current(self, inputs: _PlanInputs) -> bool:
        state = self.state
        return (
            inputs.config is state.config
            and inputs.suspended == state.suspended
            and len(inputs.views) == len(state.views)
            and all(
                known is view
                for known, view in zip(
                    inputs.views,
                    state.views.values(),
                    strict=True,
                )
            )
        )

    def _inputs(self) -> _PlanInputs:
        state = self.state
        return _PlanInputs(
            state.config,
            state.suspended,
            tuple(state.views.values()),
        )

    def _make(self, service: Service) -> Plan:
        self.prune()
        members = {member['vm']: member for member in self.state.members()}
        shards = service['shards']
        observed = tuple(
            tuple(
                self._observed(target, service) for target in shard['targets']
            )
            for shard in shards.values()
        )
        replicas = {
            name: self._replicas(shard['targets'], members)
            for name, shard in shards.items()
        }
        return Plan(service, tuple(shards), replicas, observed)

    def _observed(self, target: str, service: Service) -> ObservedTarget:
        known = self.targets.get(target)
        if known is None:
            known = ObservedTarget(target, service['slots'])
            self.targets[target] = known
        return known

    def _replicas(
        self,
        targets: list[str],
        members: Mapping[str, Member],
    ) -> list[Replica]:
        found = (self._replica(target, members) for target in targets)
        return [replica for replica in found if replica is not None]

    def _replica(
        self,
        name: str,
        members: Mapping[str, Member],
    ) -> Replica | None:
        state = self.state
        target = state.target(name)
        if target is None or not state.domain_open(target['domain']):
            return None
        domain = target['domain']
        owner = self._owners.owner_of(name, state.views.get(domain))
        member = members.get(owner or '')
        if member is None:
            return None
        same_domain = domain == state.settings['domain']
        return Replica(
            name,
            domain,
            0 if same_domain else OTHER_DOMAIN_LATENCY_S,
            self.targets[name],
            self.leaf(f'{member["vm"]}/leaf'),
            member['leaf_peer'],
        )

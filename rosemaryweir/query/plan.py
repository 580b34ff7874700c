"""The shards of one layout, and the open replicas of each with their leaves."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from rosemaryweir.node.state import NodeState
from rosemaryweir.query.liveness import LeafHealth
from rosemaryweir.query.observed_target import ObservedTarget
from rosemaryweir.query.replica import FAR_S, Replica
from rosemaryweir.schema.generated.config import Config, Service
from rosemaryweir.schema.generated.control import Member, View
from rosemaryweir.targets.ownership import Owners

__all__ = ['Fleet', 'Plan']

NOTHING: Mapping[str, int] = {}


class Plan(NamedTuple):
    """Where the pieces of a query can run.

    Parameters
    ----------
    service : Service
        The service, as it was when its layout was in force.
    shards : tuple of str
        The shards of the layout.
    replicas : mapping
        Open replicas by shard; none for a shard that nothing serves now.
    sights : tuple
        What was seen of all targets, by shard.
    """

    service: Service
    shards: tuple[str, ...]
    replicas: Mapping[str, list[Replica]]
    sights: tuple[tuple[ObservedTarget, ...], ...]


class _Basis(NamedTuple):
    """What a plan was made from: it holds until one of these changes."""

    config: Config
    suspended: frozenset[str]
    views: tuple[View, ...]


class Fleet:
    """What this entry knows of targets and leaves, and plans made from it.

    Parameters
    ----------
    state : NodeState
        Configuration and views in force.
    """

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self.sights: dict[str, ObservedTarget] = {}
        self.leaves: dict[str, LeafHealth] = {}
        self._owners = Owners()
        self._plans: dict[tuple[str, int], tuple[_Basis, Plan]] = {}

    def plan(self, name: str, service: Service) -> Plan:
        """Return the plan of a service, as it is or as it was.

        An old layout keeps its shards; which of its targets are open, and
        which leaves own them, follows what is in force.
        """
        key = (name, service['layout'])
        known = self._plans.get(key)
        if known is not None and self._holds(known[0]):
            return known[1]
        self._plans = {
            each: made
            for each, made in self._plans.items()
            if each[0] != name or each[1] >= service['layout'] - 1
        }
        plan = self._make(service)
        self._plans[key] = (self._basis(), plan)
        return plan

    def leaf(self, name: str) -> LeafHealth:
        """Return what was seen of a leaf."""
        known = self.leaves.get(name)
        if known is None:
            known = LeafHealth(name)
            self.leaves[name] = known
        return known

    def take_loads(self, message: Mapping[str, Any], now: float) -> None:
        """Take what a leaf says of the load of its targets."""
        sights = self.sights
        for name, pending in message.get('pending', NOTHING).items():
            if name in sights:
                sights[name].reported = pending
                sights[name].reported_at = now
        for load in message['loads']:
            sight = sights.get(load['target'])
            if sight is not None:
                sight.take_load(load, now)

    def prune(self) -> None:
        """Forget targets and leaves that are gone and hold nothing."""
        targets = self.state.config['targets']
        vms = {member['vm'] for member in self.state.members()}
        self.sights = {
            name: seen
            for name, seen in self.sights.items()
            if name in targets or seen.own
        }
        self.leaves = {
            name: health
            for name, health in self.leaves.items()
            if health.outstanding or name.partition('/')[0] in vms
        }

    def _holds(self, basis: _Basis) -> bool:
        state = self.state
        return (
            basis.config is state.config
            and basis.suspended == state.suspended
            and len(basis.views) == len(state.views)
            and all(
                known is view
                for known, view in zip(
                    basis.views,
                    state.views.values(),
                    strict=True,
                )
            )
        )

    def _basis(self) -> _Basis:
        state = self.state
        return _Basis(
            state.config,
            state.suspended,
            tuple(state.views.values()),
        )

    def _make(self, service: Service) -> Plan:
        self.prune()
        members = {member['vm']: member for member in self.state.members()}
        shards = service['shards']
        sights = tuple(
            tuple(self._sight(target, service) for target in shard['targets'])
            for shard in shards.values()
        )
        replicas = {
            name: self._replicas(shard['targets'], members)
            for name, shard in shards.items()
        }
        return Plan(service, tuple(shards), replicas, sights)

    def _sight(self, target: str, service: Service) -> ObservedTarget:
        known = self.sights.get(target)
        if known is None:
            known = ObservedTarget(target, service['slots'])
            self.sights[target] = known
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
        owner = self._owners.of(name, state.views.get(domain))
        member = members.get(owner or '')
        if member is None:
            return None
        near = domain == state.settings['domain']
        return Replica(
            name,
            domain,
            0 if near else FAR_S,
            self.sights[name],
            self.leaf(f'{member["vm"]}/leaf'),
            member['leaf_peer'],
        )

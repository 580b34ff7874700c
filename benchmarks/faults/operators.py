"""Faults caused by operators and by changes of the index."""

from random import Random
from typing import Any

from benchmarks.faults.registry import EndFault, fault
from rosemaryweir.testing import Cluster

STAGGER_S = 0.1
NEW_INDEX_VERSION = 2
NEW_LAYOUT = 2
SERVICE = 'patrol-desk'


def _scenario(cluster: Cluster) -> Any:
    return getattr(cluster, 'scenario', None)


def _no_end() -> None:
    """Do nothing: the fault ends by itself."""


@fault('operators racing', 3.0)
def operators_racing(cluster: Cluster, rng: Random) -> EndFault:
    """Submit two release notes at once, on the same base generation."""
    scenario = _scenario(cluster)
    if scenario is not None:
        for deadline in (400, 600):
            change = {'classes': {'street': {'deadline_ms': deadline}}}
            scenario.submit({'changed': change})
    return _no_end


@fault('failure domain withdrawn', 6.0)
def domain_withdrawn(cluster: Cluster, rng: Random) -> EndFault:
    """Withdraw a failure domain by a note, and bring it back by another."""
    scenario = _scenario(cluster)
    if scenario is None:
        return _no_end
    domain = rng.choice(sorted(cluster.config['domains']))
    scenario.set_domain(domain, 'out')
    return lambda: scenario.set_domain(domain, 'in')


@fault('failure domain lost and returning', 4.0)
def domain_lost(cluster: Cluster, rng: Random) -> EndFault:
    """Stop all targets of a failure domain and cut off its VMs."""
    domains = sorted(cluster.config['domains'])
    lost = rng.choice(domains)
    pairs = [frozenset((lost, other)) for other in domains if other != lost]
    cluster.network.cuts.update(pairs)
    stopped_targets = [
        cluster.targets[name]
        for name, target in cluster.config['targets'].items()
        if target['domain'] == lost and cluster.targets[name].up
    ]
    for target in stopped_targets:
        target.stop()

    def end() -> None:
        cluster.network.cuts.difference_update(pairs)
        for stopped in stopped_targets:
            if not stopped.up:
                stopped.start()

    return end


@fault('index change in flight', 2.0)
def index_change(cluster: Cluster, rng: Random) -> EndFault:
    """Switch the targets to a new index version, one after another."""
    names = sorted(name for name in cluster.targets if name.startswith(SERVICE))
    rng.shuffle(names)
    for place, name in enumerate(names):
        target = cluster.targets[name]
        cluster.scheduler.after(
            place * STAGGER_S,
            setattr,
            target,
            'versions',
            (NEW_INDEX_VERSION,),
        )
    return _no_end


@fault('repartition in flight', 2.0)
def repartition(cluster: Cluster, rng: Random) -> EndFault:
    """Submit a new layout, and switch the targets to it one after another."""
    scenario = _scenario(cluster)
    if scenario is None:
        return _no_end
    shards = cluster.config['services'][SERVICE]['shards']
    named = [shards[name]['targets'] for name in sorted(shards)]
    layout = {
        f'{SERVICE}-1{place:02d}': {'targets': targets}
        for place, targets in enumerate(named[:-1])
    }
    change = {'services': {SERVICE: {'layout': NEW_LAYOUT, 'shards': layout}}}
    scenario.submit({'changed': change})
    names = [name for targets in named for name in targets]
    for place, name in enumerate(names):
        cluster.scheduler.after(
            place * STAGGER_S,
            setattr,
            cluster.targets[name],
            'layout',
            NEW_LAYOUT,
        )
    return _no_end

"""Faults that operators and the archive's owners bring about."""

from random import Random
from typing import Any

from benchmarks.faults.registry import End, fault
from rosemaryweir.testing import Cluster

STAGGER_S = 0.1
INDEX_VERSION = 2
LAYOUT = 2
SERVICE = 'patrol-desk'


def _world(cluster: Cluster) -> Any:
    return getattr(cluster, 'world', None)


def _nothing() -> None:
    """End a fault that ends by itself."""


@fault('operators racing', 3.0)
def operators_racing(cluster: Cluster, rng: Random) -> End:
    """Hand in two notes at once, on the same base."""
    world = _world(cluster)
    if world is not None:
        for deadline in (400, 600):
            change = {'classes': {'street': {'deadline_ms': deadline}}}
            world.submit({'changed': change})
    return _nothing


@fault('failure domain withdrawn', 6.0)
def domain_withdrawn(cluster: Cluster, rng: Random) -> End:
    """Take a failure domain out by a note, and bring it back."""
    world = _world(cluster)
    if world is None:
        return _nothing
    domain = rng.choice(sorted(cluster.config['domains']))
    world.set_domain(domain, 'out')
    return lambda: world.set_domain(domain, 'in')


@fault('failure domain lost and returning', 4.0)
def domain_lost(cluster: Cluster, rng: Random) -> End:
    """Stop every target of a failure domain, and cut its VMs off."""
    domains = sorted(cluster.config['domains'])
    lost = rng.choice(domains)
    pairs = [frozenset((lost, other)) for other in domains if other != lost]
    cluster.network.cuts.update(pairs)
    struck = [
        cluster.targets[name]
        for name, target in cluster.config['targets'].items()
        if target['domain'] == lost and cluster.targets[name].up
    ]
    for target in struck:
        target.stop()

    def end() -> None:
        cluster.network.cuts.difference_update(pairs)
        for stopped in struck:
            if not stopped.up:
                stopped.start()

    return end


@fault('index change in flight', 2.0)
def index_change(cluster: Cluster, rng: Random) -> End:
    """Let targets go over to a new index version, one after another."""
    names = sorted(name for name in cluster.targets if name.startswith(SERVICE))
    rng.shuffle(names)
    for place, name in enumerate(names):
        target = cluster.targets[name]
        cluster.scheduler.after(
            place * STAGGER_S,
            setattr,
            target,
            'versions',
            (INDEX_VERSION,),
        )
    return _nothing


@fault('repartition in flight', 2.0)
def repartition(cluster: Cluster, rng: Random) -> End:
    """Put a new layout in force, while targets go over to it."""
    world = _world(cluster)
    if world is None:
        return _nothing
    shards = cluster.config['services'][SERVICE]['shards']
    named = [shards[name]['targets'] for name in sorted(shards)]
    layout = {
        f'{SERVICE}-1{place:02d}': {'targets': targets}
        for place, targets in enumerate(named[:-1])
    }
    change = {'services': {SERVICE: {'layout': LAYOUT, 'shards': layout}}}
    world.submit({'changed': change})
    names = [name for targets in named for name in targets]
    for place, name in enumerate(names):
        cluster.scheduler.after(
            place * STAGGER_S,
            setattr,
            cluster.targets[name],
            'layout',
            LAYOUT,
        )
    return _nothing

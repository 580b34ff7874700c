"""Faults of the network between VMs and domains."""

from random import Random

from benchmarks.faults.registry import End, fault
from rosemaryweir.testing import Cluster

LOST_SHARE = 0.2


@fault('network between VMs lost', 2.0)
def vms_cut(cluster: Cluster, rng: Random) -> End:
    """Cut two VMs from each other."""
    pair = frozenset(rng.sample(sorted(cluster.settings), 2))
    cluster.network.cuts.add(pair)
    return lambda: cluster.network.cuts.discard(pair)


@fault('messages lost', 2.0)
def messages_lost(cluster: Cluster, rng: Random) -> End:
    """Lose a share of all messages between VMs."""
    cluster.network.loss = LOST_SHARE

    def end() -> None:
        cluster.network.loss = 0.0

    return end


@fault('failure domains cut from each other', 2.0)
def domains_cut(cluster: Cluster, rng: Random) -> End:
    """Cut two failure domains from each other."""
    pair = frozenset(rng.sample(sorted(cluster.config['domains']), 2))
    cluster.network.cuts.add(pair)
    return lambda: cluster.network.cuts.discard(pair)

"""Faults of the network between VMs and between failure domains."""

from random import Random

from benchmarks.faults.registry import EndFault, fault
from rosemaryweir.testing import Cluster

LOST_SHARE = 0.2


@fault('network between VMs lost', 2.0)
def vms_cut(cluster: Cluster, rng: Random) -> EndFault:
    """Cut the network between two VMs."""
    pair = frozenset(rng.sample(sorted(cluster.settings), 2))
    cluster.network.cuts.add(pair)
    return lambda: cluster.network.cuts.discard(pair)


@fault('messages lost', 2.0)
def messages_lost(cluster: Cluster, rng: Random) -> EndFault:
    """Drop a share of all messages between VMs."""
    cluster.network.loss = LOST_SHARE

    def end() -> None:
        cluster.network.loss = 0.0

    return end


@fault('failure domains cut from each other', 2.0)
def domains_cut(cluster: Cluster, rng: Random) -> EndFault:
    """Cut the network between two failure domains."""
    pair = frozenset(rng.sample(sorted(cluster.config['domains']), 2))
    cluster.network.cuts.add(pair)
    return lambda: cluster.network.cuts.discard(pair)

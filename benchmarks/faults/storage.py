"""Faults of the platform's store."""

from random import Random

from benchmarks.faults.registry import EndFault, fault
from rosemaryweir.testing import Cluster

SLOW_LATENCY_S = 0.6
LOST_SHARE = 0.6


@fault('store down', 3.0)
def store_down(cluster: Cluster, rng: Random) -> EndFault:
    """Refuse every call to the store."""
    cluster.store.set_down(True)
    return lambda: cluster.store.set_down(False)


@fault('store slow', 3.0)
def store_slow(cluster: Cluster, rng: Random) -> EndFault:
    """Raise the latency of the store's calls."""
    usual_latency = cluster.store.latency
    cluster.store.latency = SLOW_LATENCY_S

    def end() -> None:
        cluster.store.latency = min(usual_latency, cluster.store.latency)

    return end


@fault('store reply lost after write', 3.0)
def reply_lost(cluster: Cluster, rng: Random) -> EndFault:
    """Lose replies of writes that took effect."""
    cluster.store.lose_replies = LOST_SHARE

    def end() -> None:
        cluster.store.lose_replies = 0.0

    return end


@fault('store write lost', 2.0)
def write_lost(cluster: Cluster, rng: Random) -> EndFault:
    """Lose writes before they take effect."""
    cluster.store.lose_writes = LOST_SHARE

    def end() -> None:
        cluster.store.lose_writes = 0.0

    return end


@fault('watch stalled', 4.0)
def watch_stalled(cluster: Cluster, rng: Random) -> EndFault:
    """Keep watches open but deliver no changes."""
    cluster.store.stalled = True

    def end() -> None:
        cluster.store.stalled = False

    return end


@fault('store out of reach of one VM', 3.0)
def store_cut(cluster: Cluster, rng: Random) -> EndFault:
    """Let the calls of one VM time out."""
    vm = rng.choice(sorted(cluster.settings))
    cluster.store.cut.add(vm)
    return lambda: cluster.store.cut.discard(vm)

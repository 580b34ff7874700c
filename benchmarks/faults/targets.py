"""Faults of targets and of connections to them."""

from random import Random

from benchmarks.faults.registry import End, fault
from rosemaryweir.testing import Cluster, FakeTarget

STRAGGLER_FACTOR = 40.0
#: Share of the targets that a fault of many strikes.
MANY = 0.2


def _sample(cluster: Cluster, rng: Random) -> list[FakeTarget]:
    names = sorted(cluster.targets)
    count = max(1, int(len(names) * MANY))
    return [cluster.targets[name] for name in rng.sample(names, count)]


@fault('straggler', 3.0)
def straggler(cluster: Cluster, rng: Random) -> End:
    """Let targets take many times as long."""
    struck = _sample(cluster, rng)
    for target in struck:
        target.factor = STRAGGLER_FACTOR

    def end() -> None:
        for slow in struck:
            slow.factor = 1.0

    return end


@fault('replica lost', 2.0)
def replica_lost(cluster: Cluster, rng: Random) -> End:
    """Stop targets; they start cold."""
    struck = [target for target in _sample(cluster, rng) if target.up]
    for target in struck:
        target.stop()

    def end() -> None:
        for stopped in struck:
            if not stopped.up:
                stopped.start()

    return end


@fault('warm turned cold', 2.0)
def turned_cold(cluster: Cluster, rng: Random) -> End:
    """Let targets turn cold without a sign."""
    for target in _sample(cluster, rng):
        target.make_cold()
    return _nothing


@fault('target leaving', 6.0)
def leaving(cluster: Cluster, rng: Random) -> End:
    """Let targets drain, go, and come back as new incarnations."""
    struck = [target for target in _sample(cluster, rng) if target.up]
    for target in struck:
        target.draining = True

    def end() -> None:
        for gone in struck:
            gone.stop()
            gone.start()

    return end


@fault('target shedding', 1.0)
def shedding(cluster: Cluster, rng: Random) -> End:
    """Let targets refuse all work."""
    struck = _sample(cluster, rng)
    for target in struck:
        target.shedding = True

    def end() -> None:
        for busy in struck:
            busy.shedding = False

    return end


@fault('connection silent', 1.0)
def silent(cluster: Cluster, rng: Random) -> End:
    """Let open connections go silent for good; new ones work."""
    for target in _sample(cluster, rng):
        target.silent.update(target.connections)
    return _nothing


@fault('reply cut', 1.0)
def reply_cut(cluster: Cluster, rng: Random) -> End:
    """Cut the next reply of targets."""
    return _spoil(cluster, rng, 'cut')


@fault('reply crossed', 1.0)
def reply_crossed(cluster: Cluster, rng: Random) -> End:
    """Let the next reply of targets belong to another request."""
    return _spoil(cluster, rng, 'crossed')


def _spoil(cluster: Cluster, rng: Random, how: str) -> End:
    for target in _sample(cluster, rng):
        target.reply_fault = how
    return _nothing


def _nothing() -> None:
    """End a fault that ends by itself."""

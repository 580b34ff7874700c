"""Faults of targets and of their connections."""

from random import Random

from benchmarks.faults.registry import EndFault, fault
from rosemaryweir.testing import Cluster, FakeTarget

STRAGGLER_FACTOR = 40.0
#: Share of the targets that each fault affects; at least one target.
AFFECTED_SHARE = 0.2


def _sample(cluster: Cluster, rng: Random) -> list[FakeTarget]:
    names = sorted(cluster.targets)
    count = max(1, int(len(names) * AFFECTED_SHARE))
    return [cluster.targets[name] for name in rng.sample(names, count)]


@fault('straggler', 3.0)
def straggler(cluster: Cluster, rng: Random) -> EndFault:
    """Slow targets down by a large factor."""
    affected = _sample(cluster, rng)
    for target in affected:
        target.factor = STRAGGLER_FACTOR

    def end() -> None:
        for slow in affected:
            slow.factor = 1.0

    return end


@fault('replica lost', 2.0)
def replica_lost(cluster: Cluster, rng: Random) -> EndFault:
    """Stop targets, and start them cold."""
    affected = [target for target in _sample(cluster, rng) if target.up]
    for target in affected:
        target.stop()

    def end() -> None:
        for stopped in affected:
            if not stopped.up:
                stopped.start()

    return end


@fault('warm turned cold', 2.0)
def turned_cold(cluster: Cluster, rng: Random) -> EndFault:
    """Turn targets cold without a restart."""
    for target in _sample(cluster, rng):
        target.make_cold()
    return _no_end


@fault('target leaving', 6.0)
def leaving(cluster: Cluster, rng: Random) -> EndFault:
    """Drain targets, then restart them as new incarnations."""
    affected = [target for target in _sample(cluster, rng) if target.up]
    for target in affected:
        target.draining = True

    def end() -> None:
        for gone in affected:
            gone.stop()
            gone.start()

    return end


@fault('target shedding', 1.0)
def shedding(cluster: Cluster, rng: Random) -> EndFault:
    """Make targets refuse all work."""
    affected = _sample(cluster, rng)
    for target in affected:
        target.shedding = True

    def end() -> None:
        for busy in affected:
            busy.shedding = False

    return end


@fault('connection silent', 1.0)
def silent(cluster: Cluster, rng: Random) -> EndFault:
    """Silence the open connections for good; new ones work."""
    for target in _sample(cluster, rng):
        target.silent.update(target.connections)
    return _no_end


@fault('reply cut', 1.0)
def reply_cut(cluster: Cluster, rng: Random) -> EndFault:
    """Truncate the next reply of targets."""
    return _set_reply_fault(cluster, rng, 'cut')


@fault('reply crossed', 1.0)
def reply_crossed(cluster: Cluster, rng: Random) -> EndFault:
    """Make the next reply of targets answer another request."""
    return _set_reply_fault(cluster, rng, 'crossed')


def _set_reply_fault(cluster: Cluster, rng: Random, kind: str) -> EndFault:
    for target in _sample(cluster, rng):
        target.reply_fault = kind
    return _no_end


def _no_end() -> None:
    """Do nothing: the fault ends by itself."""

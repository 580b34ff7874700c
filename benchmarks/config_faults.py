"""Notes under faults of the store and the network: paced, and racing."""

from collections.abc import Callable
from random import Random

from benchmarks.config_fleet import DAY_S, Watch, submit
from rosemaryweir.testing.cluster import Cluster

__all__ = ['bursts', 'paced']

#: Notes in a day, and the seconds between two.
NOTES_A_DAY = 7000
PACE_S = DAY_S / NOTES_A_DAY

#: Time that the last notes get to be in force, in seconds.
END_S = 10.0

Fault = Callable[[Cluster, Random], None]


def _healthy(cluster: Cluster, rng: Random) -> None:
    cluster.store.set_down(False)
    cluster.store.latency = 0.004
    cluster.store.stalled = False
    cluster.store.lose_replies = 0.0
    cluster.store.cut.clear()
    cluster.loss = 0.0


def _down(cluster: Cluster, rng: Random) -> None:
    cluster.store.set_down(True)


def _slow(cluster: Cluster, rng: Random) -> None:
    cluster.store.latency = 0.8


def _stalled(cluster: Cluster, rng: Random) -> None:
    cluster.store.stalled = True


def _lossy(cluster: Cluster, rng: Random) -> None:
    cluster.store.lose_replies = 0.3
    cluster.loss = 0.1


def _cut(cluster: Cluster, rng: Random) -> None:
    cluster.store.cut = set(rng.sample(sorted(cluster.settings), 5))


FAULTS: tuple[Fault, ...] = (
    _healthy,
    _down,
    _healthy,
    _slow,
    _stalled,
    _lossy,
    _healthy,
    _cut,
)


def paced(cluster: Cluster, watch: Watch, notes: int, rng: Random) -> None:
    """Submit notes at the rate of a day, with a fault now and then."""
    for number in range(notes):
        if number % 5 == 0:
            _healthy(cluster, rng)
            FAULTS[(number // 5) % len(FAULTS)](cluster, rng)
        submit(cluster, watch, number, rng)
        cluster.run(PACE_S * rng.uniform(0.2, 1.8))
    _healthy(cluster, rng)
    cluster.run(END_S)


def bursts(cluster: Cluster, watch: Watch, count: int, rng: Random) -> None:
    """Let ten operators at ten VMs race."""
    for burst in range(count):
        for number in range(10):
            submit(cluster, watch, 10_000 + burst * 10 + number, rng)
        cluster.run(1.0)
        for number in range(10):
            submit(cluster, watch, 50_000 + burst * 10 + number, rng)
            cluster.run(0.1)
        cluster.run(2.0)
    cluster.run(END_S)

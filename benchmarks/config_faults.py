"""Submits release notes under faults of the store and the network."""

from collections.abc import Callable
from random import Random

from benchmarks.config_fleet import DAY_S, GenerationTracker, submit
from rosemaryweir.testing.cluster import Cluster

__all__ = ['submit_bursts', 'submit_paced']

# Rate of notes at the design size, and the mean time between two.
NOTES_PER_DAY = 7000
NOTE_INTERVAL_S = DAY_S / NOTES_PER_DAY

#: Time until the last notes are in force.
RECOVERY_S = 10.0

ApplyFault = Callable[[Cluster, Random], None]


def _clear_faults(cluster: Cluster, rng: Random) -> None:
    cluster.store.set_down(False)
    cluster.store.latency = 0.004
    cluster.store.stalled = False
    cluster.store.lose_replies = 0.0
    cluster.store.cut.clear()
    cluster.loss = 0.0


def _set_store_down(cluster: Cluster, rng: Random) -> None:
    cluster.store.set_down(True)


def _slow_store(cluster: Cluster, rng: Random) -> None:
    cluster.store.latency = 0.8


def _stall_watches(cluster: Cluster, rng: Random) -> None:
    cluster.store.stalled = True


def _lose_messages(cluster: Cluster, rng: Random) -> None:
    cluster.store.lose_replies = 0.3
    cluster.loss = 0.1


def _cut_vms(cluster: Cluster, rng: Random) -> None:
    cluster.store.cut = set(rng.sample(sorted(cluster.settings), 5))


FAULT_CYCLE: tuple[ApplyFault, ...] = (
    _clear_faults,
    _set_store_down,
    _clear_faults,
    _slow_store,
    _stall_watches,
    _lose_messages,
    _clear_faults,
    _cut_vms,
)


def submit_paced(
    cluster: Cluster, tracker: GenerationTracker, notes: int, rng: Random
) -> None:
    """Submit notes at `NOTES_PER_DAY`; the fault changes every five."""
    for number in range(notes):
        if number % 5 == 0:
            _clear_faults(cluster, rng)
            FAULT_CYCLE[(number // 5) % len(FAULT_CYCLE)](cluster, rng)
        submit(cluster, tracker, number, rng)
        cluster.run(NOTE_INTERVAL_S * rng.uniform(0.2, 1.8))
    _clear_faults(cluster, rng)
    cluster.run(RECOVERY_S)


def submit_bursts(
    cluster: Cluster, tracker: GenerationTracker, count: int, rng: Random
) -> None:
    """Submit bursts of ten concurrent notes at random VMs."""
    for burst in range(count):
        for number in range(10):
            submit(cluster, tracker, 10_000 + burst * 10 + number, rng)
        cluster.run(1.0)
        for number in range(10):
            submit(cluster, tracker, 50_000 + burst * 10 + number, rng)
            cluster.run(0.1)
        cluster.run(2.0)
    cluster.run(RECOVERY_S)

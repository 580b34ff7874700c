"""Faults of processes: kills, pauses and lapsed leases."""

from random import Random

from benchmarks.faults.registry import EndFault, fault
from rosemaryweir.node.state import Lease
from rosemaryweir.testing import Cluster

LAPSED_LEASE = Lease(0.0, 'lapsed')


def _random_vm(cluster: Cluster, rng: Random) -> str:
    return rng.choice(sorted(cluster.settings))


def _restart(cluster: Cluster, names: list[str]) -> EndFault:
    def end() -> None:
        for name in names:
            vm, _, role = name.partition('/')
            if not cluster.processes[name].alive:
                cluster.start_process(cluster.settings[vm], role)

    return end


def _running_processes(cluster: Cluster, vm: str) -> list[str]:
    return [
        name
        for name, process in cluster.processes.items()
        if name.startswith(f'{vm}/') and process.alive
    ]


@fault('VM killed', 1.5)
def vm_killed(cluster: Cluster, rng: Random) -> EndFault:
    """Kill all processes of a VM, and restart them."""
    names = _running_processes(cluster, _random_vm(cluster, rng))
    for name in names:
        cluster.kill(name)
    return _restart(cluster, names)


@fault('entry killed', 0.5)
def entry_killed(cluster: Cluster, rng: Random) -> EndFault:
    """Kill an entry, and restart it."""
    name = f'{_random_vm(cluster, rng)}/entry'
    cluster.kill(name)
    return _restart(cluster, [name])


@fault('leaf killed', 0.5)
def leaf_killed(cluster: Cluster, rng: Random) -> EndFault:
    """Kill a leaf, and restart it."""
    name = f'{_random_vm(cluster, rng)}/leaf'
    cluster.kill(name)
    return _restart(cluster, [name])


@fault('process paused', 1.5)
def process_paused(cluster: Cluster, rng: Random) -> EndFault:
    """Pause one process."""
    name = rng.choice(sorted(cluster.processes))
    cluster.pause(name)
    return lambda: cluster.resume(name)


@fault('lease lapsed while paused', 5.0)
def lease_lapsed(cluster: Cluster, rng: Random) -> EndFault:
    """Pause an entry and a leaf for longer than a lease lasts."""
    vm = _random_vm(cluster, rng)
    names = [f'{vm}/entry', f'{vm}/leaf']
    cluster.pause(*names)

    def end() -> None:
        if cluster.static:
            _lapse_leases(cluster, names)
        cluster.resume(*names)

    return end


def _lapse_leases(cluster: Cluster, names: list[str]) -> None:
    """Let leases lapse for half a second, in a cluster without agents."""
    states = [cluster.processes[name].node.state for name in names]
    for state in states:
        state.lease = LAPSED_LEASE

    def renew() -> None:
        for lapsed in states:
            lapsed.lease = Lease(float('inf'), '')

    cluster.scheduler.after(0.5, renew)

"""Faults of processes: killed, paused, their lease lapsed."""

from random import Random

from benchmarks.faults.registry import End, fault
from rosemaryweir.node.state import Lease
from rosemaryweir.testing import Cluster

LEASE_OUT = Lease(0.0, 'lapsed')


def _some_vm(cluster: Cluster, rng: Random) -> str:
    return rng.choice(sorted(cluster.settings))


def _restart(cluster: Cluster, names: list[str]) -> End:
    def end() -> None:
        for name in names:
            vm, _, role = name.partition('/')
            if not cluster.processes[name].alive:
                cluster.start_process(cluster.settings[vm], role)

    return end


def _running(cluster: Cluster, vm: str) -> list[str]:
    return [
        name
        for name, process in cluster.processes.items()
        if name.startswith(f'{vm}/') and process.alive
    ]


@fault('VM killed', 1.5)
def vm_killed(cluster: Cluster, rng: Random) -> End:
    """Kill every process of a VM; it starts anew."""
    names = _running(cluster, _some_vm(cluster, rng))
    for name in names:
        cluster.kill(name)
    return _restart(cluster, names)


@fault('entry killed', 0.5)
def entry_killed(cluster: Cluster, rng: Random) -> End:
    """Kill an entry; it starts anew."""
    name = f'{_some_vm(cluster, rng)}/entry'
    cluster.kill(name)
    return _restart(cluster, [name])


@fault('leaf killed', 0.5)
def leaf_killed(cluster: Cluster, rng: Random) -> End:
    """Kill a leaf; it starts anew."""
    name = f'{_some_vm(cluster, rng)}/leaf'
    cluster.kill(name)
    return _restart(cluster, [name])


@fault('process paused', 1.5)
def process_paused(cluster: Cluster, rng: Random) -> End:
    """Freeze one process."""
    name = rng.choice(sorted(cluster.processes))
    cluster.pause(name)
    return lambda: cluster.resume(name)


@fault('lease lapsed while paused', 5.0)
def lease_lapsed(cluster: Cluster, rng: Random) -> End:
    """Freeze an entry and a leaf for longer than any lease."""
    vm = _some_vm(cluster, rng)
    names = [f'{vm}/entry', f'{vm}/leaf']
    cluster.pause(*names)

    def end() -> None:
        if cluster.static:
            _lapse(cluster, names)
        cluster.resume(*names)

    return end


def _lapse(cluster: Cluster, names: list[str]) -> None:
    """Let the leases of a static cluster lapse for a while."""
    states = [cluster.processes[name].node.state for name in names]
    for state in states:
        state.lease = LEASE_OUT

    def renew() -> None:
        for lapsed in states:
            lapsed.lease = Lease(float('inf'), '')

    cluster.scheduler.after(0.5, renew)

"""Limits hold over all leaves while VMs fail, pause, return and leave."""

from random import Random

import pytest

from rosemaryweir.targets.service import TargetService
from rosemaryweir.testing import (
    Cluster,
    Deployment,
    ServiceSize,
    config_of,
    note_of,
    steady,
    vm_settings,
)

DEPLOYMENT = Deployment(
    'small',
    ('a', 'b', 'c'),
    (ServiceSize('find', 'query', 6, 3, 2, 10, 1.0, 1, 8),),
    {
        'default': {
            'deadline_ms': 2000,
            'answer': 'complete',
            'coverage_floor': 0.5,
        },
    },
)
QUERIES_PER_S = 20.0
#: Service time of a request, in s: long enough that requests are in flight
#: whenever a fault occurs.
SERVICE_S = 0.1
VM = 'vm-003'


class LoadedCluster:
    def __init__(self, seed):
        settings = vm_settings(DEPLOYMENT, 6)
        self.cluster = Cluster(
            settings,
            config_of(DEPLOYMENT),
            seed=seed,
            service_time=steady(SERVICE_S),
        )
        self.rng = Random(seed)
        self.load_until = 0.0
        self.cluster.run(5.0)
        self.cluster.ask('vm-000', 'note', note_of(DEPLOYMENT), role='agent')
        self.cluster.run(5.0)

    def load(self, seconds):
        self.load_until = self.cluster.now + seconds
        self._send_query()
        self.cluster.run(seconds)

    def _send_query(self):
        vm = self.rng.choice(['vm-000', 'vm-001', 'vm-002'])
        body = {'service': 'find', 'query': 'x'}
        self.cluster.ask(vm, 'query', body)
        wait = self.rng.expovariate(QUERIES_PER_S)
        if self.cluster.now + wait < self.load_until:
            self.cluster.scheduler.after(wait, self._send_query)

    def owned(self):
        """Return the targets that the leaf of the VM under test owns."""
        node = self.cluster.processes[f'{VM}/leaf'].node
        return list(node.part(TargetService).handover.owned())

    def restart_targets(self):
        """Restart all targets, so that each is cold."""
        for target in self.cluster.targets.values():
            target.stop()
            target.start()

    def check_limits(self):
        for target in self.cluster.targets.values():
            assert not target.collapses, target.name
            assert target.peak <= target.spec.slots
            assert target.connection_peak <= target.spec.connections
            assert target.runs


def _kill(loaded):
    loaded.cluster.kill_vm(VM)
    loaded.load(4.0)
    loaded.cluster.start_vm(loaded.cluster.settings[VM])


def _restart_leaf(loaded):
    loaded.cluster.kill(f'{VM}/leaf')
    settings = loaded.cluster.settings[VM]
    loaded.cluster.start_process(settings, 'leaf')


def _pause(loaded):
    names = [f'{VM}/{role}' for role in ('entry', 'leaf', 'agent')]
    loaded.cluster.pause(*names)
    loaded.load(5.0)
    loaded.cluster.resume(*names)


def _pause_leaf(loaded):
    loaded.cluster.pause(f'{VM}/leaf')
    loaded.load(3.0)
    loaded.cluster.resume(f'{VM}/leaf')


def _leave(loaded):
    loaded.cluster.shutdown_vm(VM)
    loaded.load(4.0)
    loaded.cluster.start_vm(loaded.cluster.settings[VM])


FAULTS = {
    'kill': _kill,
    'restart leaf': _restart_leaf,
    'pause': _pause,
    'pause leaf': _pause_leaf,
    'leave': _leave,
}


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('seed', [1])
def test_cold_limit_holds_over_all_leaves(fault, seed):
    loaded = LoadedCluster(seed)
    loaded.load(1.0)
    assert loaded.owned()
    loaded.restart_targets()
    loaded.load(0.05)
    FAULTS[fault](loaded)
    loaded.restart_targets()
    loaded.load(5.0)
    loaded.check_limits()


@pytest.mark.parametrize('seed', [1])
def test_leaving_leaf_hands_over_its_targets(seed):
    loaded = LoadedCluster(seed)
    loaded.load(1.0)
    names = loaded.owned()
    assert names
    loaded.cluster.shutdown_vm(VM)
    loaded.load(4.0)
    assert loaded.cluster.processes[f'{VM}/leaf'].exit_code == 0
    start = loaded.cluster.now
    loaded.load(2.0)
    for name in names:
        runs = loaded.cluster.targets[name].runs
        clients = {run.client for run in runs if run.when >= start}
        assert clients
        assert f'{VM}/leaf' not in clients

"""A withdrawal whose acceptance is the last that VM and store do."""

import pytest

from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import (
    HALVORSEN,
    config_of,
    note_of,
    vm_settings,
)

DOMAIN = HALVORSEN.domains[2]
PROMISED_S = 3.0


def withdrawn(seed, loss):
    """Withdraw a failure domain; end store and agent with the acceptance."""
    cluster = Cluster(vm_settings(HALVORSEN, 9), config_of(HALVORSEN), seed)
    cluster.run(5)
    cluster.ask('vm-000', 'note', note_of(HALVORSEN), role='agent')
    cluster.run(6)
    before = cluster.store.objects['config/head'].version
    out = {DOMAIN: {'region': 'home', 'state': 'out'}}
    note = {'note': 'out', 'format': 1, 'base': 1}
    note['changed'] = {'domains': out}
    cluster.loss = loss
    cluster.ask('vm-000', 'note', note, role='agent')
    while cluster.store.objects['config/head'].version == before:
        cluster.run(0.002)
        assert cluster.now < 20
    cluster.store.set_down(True)
    cluster.kill_vm('vm-000')
    return cluster


@pytest.mark.parametrize('loss', [0, 0.3])
@pytest.mark.parametrize('seed', range(3))
def test_no_node_gives_new_work_there(seed, loss):
    cluster = withdrawn(seed, loss)
    cluster.run(PROMISED_S)
    still = [
        process.name
        for process in cluster.processes.values()
        if process.alive
        and not process.name.endswith('/agent')
        and process.node.state.may_start(cluster.now + process.offset)
        and process.node.state.domain_open(DOMAIN)
    ]
    assert not still

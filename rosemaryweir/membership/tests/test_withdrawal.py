"""Withdrawal of a failure domain, with faults right after its acceptance."""

import pytest

from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import (
    HALVORSEN,
    config_of,
    note_of,
    vm_settings,
)

DOMAIN = HALVORSEN.domains[2]
MAX_WITHDRAWAL_S = 3.0


def configured_cluster(seed):
    """Return a cluster with a configuration in force."""
    cluster = Cluster(vm_settings(HALVORSEN, 9), config_of(HALVORSEN), seed)
    cluster.run(5)
    cluster.ask('vm-000', 'note', note_of(HALVORSEN), role='agent')
    cluster.run(6)
    return cluster


def withdraw(cluster, vm):
    """Send the agent of a VM the note that takes the failure domain out."""
    out = {DOMAIN: {'region': 'home', 'state': 'out'}}
    note = {'note': 'out', 'format': 1, 'base': 1}
    note['changed'] = {'domains': out}
    return cluster.ask(vm, 'note', note, role='agent')


def withdraw_then_fail(seed, loss):
    """Withdraw a failure domain; stop store and VM right after acceptance."""
    cluster = configured_cluster(seed)
    before = cluster.store.objects['config/head'].version
    cluster.loss = loss
    withdraw(cluster, 'vm-000')
    while cluster.store.objects['config/head'].version == before:
        cluster.run(0.002)
        assert cluster.now < 20
    cluster.store.set_down(True)
    cluster.kill_vm('vm-000')
    return cluster


@pytest.mark.parametrize('loss', [0, 0.3])
@pytest.mark.parametrize('seed', range(3))
def test_no_process_sends_new_work_to_a_withdrawn_domain(seed, loss):
    cluster = withdraw_then_fail(seed, loss)
    cluster.run(MAX_WITHDRAWAL_S)
    assert not domain_users(cluster)


@pytest.mark.parametrize('seed', range(3))
def test_vm_isolated_from_all_peers_accepts_no_withdrawal(seed):
    cluster = configured_cluster(seed)
    before = cluster.store.objects['config/head'].version
    away = [vm for vm in cluster.settings if vm != 'vm-000']
    cluster.cuts.update(frozenset(('vm-000', vm)) for vm in away)
    ask = withdraw(cluster, 'vm-000')
    cluster.run(12)
    assert cluster.store.objects['config/head'].version == before
    assert (ask.answer['reason'], ask.answer['ran']) == ('isolated', 'not_run')
    again = withdraw(cluster, 'vm-001')
    cluster.run(MAX_WITHDRAWAL_S)
    assert again.status == 200
    assert not domain_users(cluster)


@pytest.mark.parametrize('seed', range(3))
def test_withdrawal_right_after_most_vms_were_lost_is_accepted(seed):
    cluster = configured_cluster(seed)
    for number in range(1, 7):
        cluster.kill_vm(f'vm-{number:03d}')
    ask = withdraw(cluster, 'vm-000')
    cluster.run(10)
    assert ask.status == 200


def domain_users(cluster):
    """Return the processes that may still send work to the failure domain."""
    return [
        process.name
        for process in cluster.processes.values()
        if process.alive
        and not process.name.endswith('/agent')
        and process.node.state.may_start(cluster.now + process.offset)
        and process.node.state.domain_open(DOMAIN)
    ]

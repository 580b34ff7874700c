"""Configurations are distributed as deltas, after a failure as full content."""

import itertools
from collections import Counter
from random import Random

import msgspec
import pytest

from rosemaryweir.config.delta import hash_config, make_delta
from rosemaryweir.config.delta_chain import MAX_CHAIN_LENGTH
from rosemaryweir.config.tests.test_service import start_cluster, submit
from rosemaryweir.membership.agent_client import AgentClient
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.node.event import PeerMessage
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import NodeState, NodeUid, empty_config

CUT_OFF_VM = 'vm-007'


class TrafficCounter:
    """Count messages by kind and store reads by kind of object."""

    def __init__(self, cluster):
        self.kinds = Counter()
        self.reads = Counter()
        self.full_configured = 0
        self.cluster = cluster
        self._call = cluster.store.call
        cluster.peers.size_of = self.count_message
        cluster.store.call = self.count_read

    def count_message(self, message):
        kind = message['kind']
        self.kinds[kind] += 1
        self.full_configured += kind == 'configured' and 'deltas' not in message
        return 0

    def count_read(self, client, action, deliver):
        if type(action).__name__ == 'StoreGet':
            self.reads[action.key.split('/')[1]] += 1
        self._call(client, action, deliver)

    @property
    def full_content(self):
        """Number of times that full content was sent or read."""
        return (
            self.kinds['content'] + self.full_configured + self.reads['content']
        )


def start_counted_cluster():
    cluster = start_cluster()
    cluster.run(2)
    return cluster, TrafficCounter(cluster)


def note(number, base):
    weight = 1 + number % 50
    return {
        'note': f'n-{number}',
        'format': 1,
        'base': base,
        'changed': {'tenants': {'default': {'weight': weight}}},
    }


def accept(cluster, number, base, wait=1.0):
    answer = submit(cluster, note(number, base)).answer
    assert answer['state'] == 'accepted'
    cluster.run(wait)


def assert_all_have(cluster, generation):
    states = [
        process.node.state
        for process in cluster.processes.values()
        if process.alive
    ]
    configs = [state.config for state in states]
    assert {config['generation'] for config in configs} == {generation}
    assert all(config == configs[0] for config in configs)


def configs_in_force(cluster):
    return [
        agent_state_of(process.node.state).config_in_force
        for name, process in cluster.processes.items()
        if name.endswith('/agent')
    ]


def delta_objects(cluster):
    return [key for key in cluster.store.objects if 'config/delta' in key]


def tamper_with_deltas(cluster, change):
    """Change each delta as it is written to the store."""
    write = cluster.store._write

    def write_changed(client, key, content):
        if 'config/delta' in key:
            content = change(content)
        return write(client, key, content)

    cluster.store._write = write_changed


def with_wrong_changes(content):
    delta = msgspec.json.decode(content)
    delta['changes'] = '{"tenants":{"default":{"weight":77}}}'
    return msgspec.json.encode(delta)


def test_notes_are_distributed_as_deltas_only():
    cluster, traffic = start_counted_cluster()
    for number in range(2, 6):
        accept(cluster, number, number - 1)
    assert_all_have(cluster, 5)
    assert not traffic.full_content
    assert traffic.kinds['deltas'] and traffic.reads['delta']


def test_two_notes_in_a_row_are_distributed_as_one_chain():
    cluster, traffic = start_counted_cluster()
    accept(cluster, 2, 1, wait=0.0)
    accept(cluster, 3, 2)
    assert_all_have(cluster, 3)
    assert not traffic.full_content


@pytest.mark.parametrize('change', [with_wrong_changes, lambda content: b'{}'])
def test_wrong_delta_in_the_store_is_replaced_by_full_content(change):
    cluster, traffic = start_counted_cluster()
    # Connected VMs would get the delta from peers before reading the store.
    for vm, other in itertools.combinations(cluster.settings, 2):
        cluster.cuts.add(frozenset((vm, other)))
    tamper_with_deltas(cluster, change)
    submit(cluster, note(2, 1))
    cluster.run(2)
    cluster.cuts.clear()
    cluster.run(2)
    assert_all_have(cluster, 2)
    assert traffic.reads['content']


def test_missing_delta_in_the_store_is_replaced_by_full_content():
    cluster, traffic = start_counted_cluster()
    cluster.store.stalled = True
    for vm, other in itertools.combinations(cluster.settings, 2):
        cluster.cuts.add(frozenset((vm, other)))
    submit(cluster, note(2, 1))
    for key in delta_objects(cluster):
        del cluster.store.objects[key]
    cluster.run(2)
    cluster.cuts.clear()
    cluster.run(2)
    assert_all_have(cluster, 2)
    assert traffic.reads['content']


def test_wrong_delta_of_a_peer_is_replaced_by_full_content():
    cluster, traffic = start_counted_cluster()
    for each in configs_in_force(cluster):
        deltas_after = each.deltas_after
        each.deltas_after = lambda generation, deltas_after=deltas_after: [
            {**delta, 'digest': '0' * 32} for delta in deltas_after(generation)
        ]
    accept(cluster, 2, 1, wait=3.0)
    assert_all_have(cluster, 2)
    assert traffic.kinds['content'] and traffic.full_configured


def test_vm_cut_off_for_longer_than_the_chain_gets_full_content():
    cluster, traffic = start_counted_cluster()
    cluster.cuts.update(
        frozenset((CUT_OFF_VM, vm))
        for vm in cluster.settings
        if vm != CUT_OFF_VM
    )
    cluster.store.cut = {CUT_OFF_VM}
    for number in range(2, MAX_CHAIN_LENGTH + 4):
        accept(cluster, number, number - 1, wait=0.1)
    assert not traffic.full_content
    cluster.cuts.clear()
    cluster.store.cut = set()
    cluster.run(8)
    assert_all_have(cluster, MAX_CHAIN_LENGTH + 3)
    assert traffic.full_content


def test_vm_restarted_in_an_outage_gets_full_content_then_deltas():
    cluster, traffic = start_counted_cluster()
    accept(cluster, 2, 1)
    for config in configs_in_force(cluster):
        config._chain.clear()
    cluster.store.set_down(True)
    cluster.kill_vm(CUT_OFF_VM)
    cluster.start_vm(cluster.settings[CUT_OFF_VM])
    cluster.run(4)
    assert_all_have(cluster, 2)
    assert traffic.full_content and not traffic.reads['content']
    cluster.store.set_down(False)
    cluster.run(4)
    before = traffic.full_content
    accept(cluster, 3, 2)
    assert_all_have(cluster, 3)
    assert traffic.full_content == before


def make_client():
    settings = {
        'vm': 'vm-1',
        'domain': 'a',
        'region': 'r',
        'addresses': {'agent_peer': '127.0.0.1:1'},
    }
    state = NodeState(NodeUid('vm-1', 'entry', 1), settings)
    return Node(state, [AgentClient(state, Random(1))])


def configured(*deltas, content=''):
    body = {'kind': 'configured', 'generation': 1, 'content': content}
    if deltas:
        body['deltas'] = list(deltas)
    return PeerMessage('vm-1/agent', 1, body)


def test_client_requests_full_content_after_a_wrong_delta():
    node = make_client()
    first = {**empty_config(), 'generation': 1, 'note': 'n-1'}
    delta = make_delta(empty_config(), hash_config(first))
    wrong = {**delta, 'digest': '0' * 32}
    actions = node.handle(configured(wrong), 10.0)
    assert node.state.config['generation'] == 0
    (hello,) = [each.message for each in actions if hasattr(each, 'message')]
    assert hello['deltas'] is False
    whole = msgspec.json.encode(first).decode()
    node.handle(configured(content=whole), 10.1)
    assert node.state.config == first


def test_client_applies_deltas_and_skips_known_ones():
    node = make_client()
    first = {**empty_config(), 'generation': 1, 'note': 'n-1'}
    delta = make_delta(empty_config(), hash_config(first))
    node.handle(configured(delta), 10.0)
    assert node.state.config == first
    node.handle(configured(delta), 10.1)
    assert node.state.config == first

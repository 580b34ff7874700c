"""Changes are spread as changes; whatever goes wrong with one, the whole is."""

import itertools
from collections import Counter
from random import Random

import msgspec
import pytest

from rosemaryweir.config.delta import hash_config, make_delta
from rosemaryweir.config.delta_chain import MAX_CHAIN_LENGTH
from rosemaryweir.config.tests.test_service import started, submit
from rosemaryweir.membership.agent_client import AgentClient
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.node.event import PeerMessage
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import NodeState, NodeUid, empty_config

AWAY = 'vm-007'


class Tap:
    """Count messages of configuration, and store reads of whole content."""

    def __init__(self, cluster):
        self.kinds = Counter()
        self.reads = Counter()
        self.wholes = 0
        self.cluster = cluster
        self._call = cluster.store.call
        cluster.peers.size_of = self.see
        cluster.store.call = self.read

    def see(self, message):
        kind = message['kind']
        self.kinds[kind] += 1
        self.wholes += kind == 'configured' and 'deltas' not in message
        return 0

    def read(self, client, action, deliver):
        if type(action).__name__ == 'StoreGet':
            self.reads[action.key.split('/')[1]] += 1
        self._call(client, action, deliver)

    @property
    def whole(self):
        """Whether whole content was sent or read."""
        return self.kinds['content'] + self.wholes + self.reads['content']


def started_with_tap():
    cluster = started()
    cluster.run(2)
    return cluster, Tap(cluster)


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


def all_have(cluster, generation):
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


def tamper(cluster, change):
    """Change each stored delta at the moment of its write."""
    write = cluster.store._write

    def tampered(client, key, content):
        if 'config/delta' in key:
            content = change(content)
        return write(client, key, content)

    cluster.store._write = tampered


def wrong_changes(content):
    delta = msgspec.json.decode(content)
    delta['changes'] = '{"tenants":{"default":{"weight":77}}}'
    return msgspec.json.encode(delta)


def test_notes_are_spread_without_whole_content():
    cluster, tap = started_with_tap()
    for number in range(2, 6):
        accept(cluster, number, number - 1)
    all_have(cluster, 5)
    assert not tap.whole
    assert tap.kinds['deltas'] and tap.reads['delta']


def test_two_notes_at_once_come_as_one_chain():
    cluster, tap = started_with_tap()
    accept(cluster, 2, 1, wait=0.0)
    accept(cluster, 3, 2)
    all_have(cluster, 3)
    assert not tap.whole


@pytest.mark.parametrize('change', [wrong_changes, lambda content: b'{}'])
def test_wrong_delta_in_the_store_is_replaced_by_whole_content(change):
    cluster, tap = started_with_tap()
    # From peers they would have it before they read the store.
    for vm, other in itertools.combinations(cluster.settings, 2):
        cluster.cuts.add(frozenset((vm, other)))
    tamper(cluster, change)
    submit(cluster, note(2, 1))
    cluster.run(2)
    cluster.cuts.clear()
    cluster.run(2)
    all_have(cluster, 2)
    assert tap.reads['content']


def test_missing_delta_in_the_store_is_replaced_by_whole_content():
    cluster, tap = started_with_tap()
    cluster.store.stalled = True
    for vm, other in itertools.combinations(cluster.settings, 2):
        cluster.cuts.add(frozenset((vm, other)))
    submit(cluster, note(2, 1))
    for key in delta_objects(cluster):
        del cluster.store.objects[key]
    cluster.run(2)
    cluster.cuts.clear()
    cluster.run(2)
    all_have(cluster, 2)
    assert tap.reads['content']


def test_wrong_delta_of_a_peer_is_replaced_by_whole_content():
    cluster, tap = started_with_tap()
    for each in configs_in_force(cluster):
        deltas_after = each.deltas_after
        each.deltas_after = lambda generation, deltas_after=deltas_after: [
            {**delta, 'digest': '0' * 32} for delta in deltas_after(generation)
        ]
    accept(cluster, 2, 1, wait=3.0)
    all_have(cluster, 2)
    assert tap.kinds['content'] and tap.wholes


def test_vm_away_for_longer_than_the_chain_gets_whole_content():
    cluster, tap = started_with_tap()
    cluster.cuts.update(
        frozenset((AWAY, vm)) for vm in cluster.settings if vm != AWAY
    )
    cluster.store.cut = {AWAY}
    for number in range(2, MAX_CHAIN_LENGTH + 4):
        accept(cluster, number, number - 1, wait=0.1)
    assert not tap.whole
    cluster.cuts.clear()
    cluster.store.cut = set()
    cluster.run(8)
    all_have(cluster, MAX_CHAIN_LENGTH + 3)
    assert tap.whole


def test_restart_in_an_outage_gets_the_whole_from_peers_then_changes():
    cluster, tap = started_with_tap()
    accept(cluster, 2, 1)
    for config in configs_in_force(cluster):
        config._chain.clear()
    cluster.store.set_down(True)
    cluster.kill_vm(AWAY)
    cluster.start_vm(cluster.settings[AWAY])
    cluster.run(4)
    all_have(cluster, 2)
    assert tap.whole and not tap.reads['content']
    cluster.store.set_down(False)
    cluster.run(4)
    before = tap.whole
    accept(cluster, 3, 2)
    all_have(cluster, 3)
    assert tap.whole == before


def client():
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


def test_client_asks_for_the_whole_after_a_wrong_delta():
    node = client()
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


def test_client_follows_deltas_and_passes_over_what_it_has():
    node = client()
    first = {**empty_config(), 'generation': 1, 'note': 'n-1'}
    delta = make_delta(empty_config(), hash_config(first))
    node.handle(configured(delta), 10.0)
    assert node.state.config == first
    node.handle(configured(delta), 10.1)
    assert node.state.config == first

"""Agent client: start of leases, and order of grants and configurations."""

from random import Random

import msgspec

from rosemaryweir.membership.agent_client import AgentClient
from rosemaryweir.node.event import PeerMessage, ShutdownAsked, Wake
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import NodeState, NodeUid, empty_config

SETTINGS = {
    'vm': 'vm-1',
    'domain': 'a',
    'region': 'r',
    'addresses': {'agent_peer': '127.0.0.1:1'},
}


def make_node():
    state = NodeState(NodeUid('vm-1', 'entry', 1), SETTINGS)
    return Node(state, [AgentClient(state, Random(1))])


def grant(sequence, lease_ms=1500, generation=0, suspended=()):
    return message(
        kind='grant',
        sequence=sequence,
        lease_ms=lease_ms,
        reason='ok' if lease_ms else 'fenced',
        generation=generation,
        suspended=list(suspended),
    )


def message(sender='vm-1/agent', **fields):
    return PeerMessage(sender, 1, fields)


def configured(generation):
    config = {**empty_config(), 'generation': generation}
    return message(
        kind='configured',
        generation=generation,
        content=msgspec.json.encode(config).decode(),
    )


def test_lease_starts_when_the_hello_was_sent():
    node = make_node()
    (hello,) = node.handle(Wake(), 10.0)
    assert hello.message['sequence'] == 1
    node.handle(grant(1), 11.0)
    assert node.state.may_start(11.4)
    assert not node.state.may_start(11.5)


def test_grant_for_an_unknown_hello_or_from_another_vm_is_ignored():
    node = make_node()
    node.handle(Wake(), 10.0)
    node.handle(grant(2), 10.0)
    node.handle(
        PeerMessage('vm-2/agent', 1, grant(1).message),
        10.0,
    )
    assert not node.state.may_start(10.0)


def test_late_grant_does_not_undo_a_fence():
    node = make_node()
    node.handle(Wake(), 10.0)
    node.handle(Wake(), 10.25)
    node.handle(grant(2, lease_ms=0), 10.3)
    node.handle(grant(1), 10.4)
    assert not node.state.may_start(10.4)
    assert node.state.lease.reason == 'fenced'


def test_newer_generation_stops_new_work_until_it_arrives():
    node = make_node()
    node.handle(Wake(), 10.0)
    node.handle(grant(1, generation=3), 10.1)
    assert not node.state.may_start(10.1)
    node.handle(configured(2), 10.2)
    assert not node.state.may_start(10.2)
    node.handle(configured(3), 10.3)
    assert node.state.may_start(10.3)


def test_configuration_never_goes_back():
    node = make_node()
    node.handle(configured(3), 10.0)
    node.handle(configured(2), 10.1)
    assert node.state.config['generation'] == 3


def test_suspended_domains_are_set_and_cleared():
    node = make_node()
    node.handle(Wake(), 10.0)
    node.handle(grant(1, suspended=['a']), 10.0)
    assert node.state.suspended == {'a'}
    node.handle(Wake(), 10.25)
    node.handle(grant(2), 10.3)
    assert not node.state.suspended


def test_lease_changes_are_logged_unless_both_reasons_permit_work():
    node = make_node()
    logged = []
    for sequence, reason in enumerate(
        ('store', 'quorum', 'store', 'fenced', 'quorum', 'quorum'),
        1,
    ):
        node.handle(Wake(), 10.0 + sequence / 4)
        event = grant(sequence, lease_ms=1500 * (reason != 'fenced'))
        event.message['reason'] = reason
        logged += node.handle(event, 10.0 + sequence / 4)
    assert [event.fields['after'] for event in logged] == [
        'store',
        'fenced',
        'quorum',
    ]


def test_hello_reports_known_takeover_times():
    node = make_node()
    views = [
        {'domain': domain, 'version': 2, 'members': []} for domain in ('a', 'b')
    ]
    takeover = {'a': 0.0, 'c': 0.0}
    node.handle(message(kind='viewed', views=views, takeover=takeover), 10.0)
    (hello,) = node.handle(Wake(), 10.0)
    assert hello.message['takeovers'] == {'a': 2}


def test_shutdown_is_reported_at_once():
    node = make_node()
    hello, *_ = node.handle(ShutdownAsked(), 10.0)
    assert hello.message['leaving']

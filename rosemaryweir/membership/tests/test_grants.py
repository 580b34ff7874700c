"""Grants: delivery of takeover times, and leases of leaves on old views."""

from random import Random

import pytest

from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.grants import GrantService
from rosemaryweir.membership.tests.lease_checker import KEYS, LeaseChecker
from rosemaryweir.node.event import PeerMessage
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import NodeState, NodeUid
from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import HALVORSEN, config_of, vm_settings
from rosemaryweir.testing.process import static_view

VMS = vm_settings(HALVORSEN, 7)
DOMAIN = HALVORSEN.domains[0]


def make_node():
    state = NodeState(NodeUid('vm-000', 'agent', 1), VMS[0])
    agent_state = agent_state_of(state)
    agent_state.adopt_views([static_view(DOMAIN, VMS[:4])], 0.0)
    record_reads(agent_state, 0.0)
    return Node(state, [GrantService(state, Random(1))])


def record_reads(agent_state, now):
    """Record that the head and the own view were read from the store."""
    for name in ('', DOMAIN):
        agent_state.freshness.record_store_read(name, now)


def hello(node, now, view, takeover):
    """Send a leaf's hello; return view versions, takeover times and lease."""
    message = {
        'kind': 'hello',
        'role': 'leaf',
        'sequence': 1,
        'generation': 0,
        'views': {DOMAIN: view},
        'takeovers': {DOMAIN: takeover},
        'load': 0.0,
        'in_flight': 0,
        'leaving': False,
    }
    actions = node.handle(PeerMessage('vm-000/leaf', 1, message), now)
    found = {each.message['kind']: each.message for each in actions}
    viewed = found.get('viewed', {'views': [], 'takeover': {}})
    versions = [view['version'] for view in viewed['views']]
    return versions, viewed['takeover'], found['grant']['lease_ms']


def adopt_next_view(node, now):
    """Adopt the next view; return the state of the agent."""
    agent_state = agent_state_of(node.state)
    agent_state.adopt_views([{**static_view(DOMAIN, VMS), 'version': 2}], now)
    record_reads(agent_state, now)
    return agent_state


def test_takeover_is_sent_until_a_hello_confirms_it():
    node = make_node()
    assert hello(node, 0.0, 1, 0)[1] == {DOMAIN: 0}
    assert hello(node, 0.25, 1, 0)[1] == {DOMAIN: 0}
    assert not hello(node, 0.5, 1, 1)[1]
    # The leaf has restarted without views.
    assert hello(node, 0.75, 0, 0)[:2] == ([1], {DOMAIN: 0})


def test_takeover_that_becomes_known_late_is_sent():
    node = make_node()
    agent_state = adopt_next_view(node, 1.0)
    assert hello(node, 1.0, 1, 1)[:2] == ([2], {})
    assert hello(node, 1.25, 2, 1)[:2] == ([], {})
    tuple(agent_state.succession.record_settled({DOMAIN: 2}, 1.5))
    assert hello(node, 1.5, 2, 1)[:2] == ([], {DOMAIN: 0})


def test_takeover_of_an_older_view_is_not_sent_to_a_newer_leaf():
    assert not hello(make_node(), 0.0, 2, 0)[1]


def test_lease_is_not_renewed_for_a_leaf_on_an_older_view():
    node = make_node()
    hello(node, 0.0, 1, 1)
    adopt_next_view(node, 1.0)
    assert hello(node, 1.0, 1, 1)[2] == 500
    assert hello(node, 1.5, 1, 1)[2] == 0
    assert hello(node, 1.75, 2, 1)[2] == 1500


@pytest.mark.parametrize('seed', range(3))
def test_leaf_without_the_new_view_has_no_lease_after_the_takeover(seed):
    cluster = Cluster(VMS[:6], config_of(HALVORSEN), seed)
    checker = LeaseChecker(cluster)
    checker.run(5, step=0.5)
    deliver = cluster.deliver

    def drop(process, event):
        is_view = isinstance(event, PeerMessage) and event.topic == 'viewed'
        if not (is_view and process.name == 'vm-000/leaf'):
            deliver(process, event)

    cluster.deliver = drop
    cluster.start_vm(VMS[6])
    checker.run(8)
    cluster.deliver = deliver
    checker.run(3)
    assert len(checker.lease_holders()) == 3 * len(KEYS)

"""View exchange: deltas to peers that have the base, else whole views."""

from random import Random

from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.view_spread import ViewSpread
from rosemaryweir.node.event import PeerMessage
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import NodeState, NodeUid
from rosemaryweir.testing.deployment import HALVORSEN, vm_settings
from rosemaryweir.testing.process import static_view

VMS = vm_settings(HALVORSEN, 6)
DOMAIN = HALVORSEN.domains[0]
OLD = static_view(DOMAIN, VMS[:3])
NEW = {**static_view(DOMAIN, VMS), 'version': 2, 'former': [['vm-000']]}


def make_node(vm, *views):
    state = NodeState(NodeUid(vm, 'agent', 1), VMS[0])
    agent_state = agent_state_of(state)
    for view in views:
        agent_state.adopt_views([view], 0.0)
    return Node(state, [ViewSpread(state, Random(1))])


def deliver(node, sender, message):
    actions = node.handle(PeerMessage(f'{sender}/agent', 1, message), 1.0)
    return [action.message for action in actions]


def fetch(**views):
    return {'kind': 'fetch', 'generation': 0, 'chunk': 0, 'views': views}


def test_receiver_with_a_known_base_gets_a_delta():
    node = make_node('vm-000', OLD, NEW)
    (message,) = deliver(node, 'vm-003', fetch(**{DOMAIN: 1}))
    assert message['views'] == []
    (delta,) = message['deltas']
    assert [member['vm'] for member in delta['joined']] == ['vm-003']
    receiver = make_node('vm-003', OLD)
    assert deliver(receiver, 'vm-000', message) == []
    assert receiver.state.views[DOMAIN] == NEW


def test_receiver_without_a_known_base_gets_the_whole_view():
    node = make_node('vm-000', NEW)
    (message,) = deliver(node, 'vm-003', fetch(**{DOMAIN: 1}))
    assert (message['views'], message['deltas']) == ([NEW], [])


def test_delta_that_does_not_apply_makes_the_receiver_fetch_the_view():
    node = make_node('vm-000', OLD, NEW)
    (message,) = deliver(node, 'vm-003', fetch(**{DOMAIN: 1}))
    other = make_node('vm-003', static_view(DOMAIN, VMS[3:]))
    (again,) = deliver(other, 'vm-000', message)
    assert again['views'] == {DOMAIN: 0}
    (whole,) = deliver(node, 'vm-003', again)
    assert deliver(other, 'vm-000', whole) == []
    assert other.state.views[DOMAIN] == NEW


def test_delta_that_arrives_twice_is_ignored():
    node = make_node('vm-000', OLD, NEW)
    (message,) = deliver(node, 'vm-003', fetch(**{DOMAIN: 1}))
    assert deliver(node, 'vm-003', message) == []

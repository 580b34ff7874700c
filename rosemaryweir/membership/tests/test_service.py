"""Heartbeats: answers leave out what the asker knows, and prove no less."""

from random import Random

from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.service import MembershipService
from rosemaryweir.node.action import SendPeer
from rosemaryweir.node.event import PeerMessage, Wake
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import NodeState, NodeUid
from rosemaryweir.testing.deployment import HALVORSEN, vm_settings
from rosemaryweir.testing.process import static_view

VMS = vm_settings(HALVORSEN, 4)
DOMAIN = HALVORSEN.domains[0]


def make_node(index, version=1):
    settings = VMS[index]
    state = NodeState(NodeUid(settings['vm'], 'agent', 1), settings)
    node = Node(state, [MembershipService(state, Random(1))])
    view = {**static_view(DOMAIN, VMS), 'version': version}
    agent_state_of(state).adopt_views([view], 0.0)
    agent_state_of(state).announce_now = False
    return node


def sent(actions, kind):
    return [
        action.message
        for action in actions
        if isinstance(action, SendPeer) and action.message['kind'] == kind
    ]


def tell(node, sender, message, now=1.0):
    vm = VMS[sender]['vm']
    return node.handle(PeerMessage(f'{vm}/agent', 1, message), now)


def exchange(version):
    """Return an agent and the answer to its heartbeat."""
    asker, asked = make_node(0), make_node(3, version)
    heartbeat = sent(asker.handle(Wake(), 1.0), 'heartbeat')[0]
    agent_state_of(asked.state).freshness.record_store_read(DOMAIN, 1.0)
    (ack,) = sent(tell(asked, 0, heartbeat), 'ack')
    return asker, ack


def age(node):
    return agent_state_of(node.state).freshness.store_read_age(DOMAIN, 1.0)


def test_answer_of_equal_views_leaves_them_out_and_counts():
    asker, ack = exchange(version=1)
    assert not {'versions', 'agent_peer', 'domain'} & ack['known'].keys()
    tell(asker, 3, ack)
    assert age(asker) == 0


def test_answer_of_newer_views_states_them_and_is_no_evidence():
    asker, ack = exchange(version=2)
    assert ack['known']['versions'] == {DOMAIN: 2}
    actions = tell(asker, 3, ack)
    assert age(asker) > 1
    assert sent(actions, 'fetch')


def test_answer_that_answers_nothing_asked_is_no_evidence():
    asker, ack = exchange(version=1)
    ack['sequence'] += 100
    tell(asker, 3, ack)
    assert age(asker) > 1


def test_heartbeat_of_a_vm_that_may_know_nobody_is_answered_in_full():
    asker, asked = make_node(0), make_node(3)
    heartbeat = sent(asker.handle(Wake(), 1.0), 'heartbeat')[0]
    heartbeat['sequence'] = 0
    (ack,) = sent(tell(asked, 0, heartbeat), 'ack')
    assert ack['known']['agent_peer'] == VMS[3]['addresses']['agent_peer']


def test_one_peer_is_asked_for_a_view():
    asker, ack = exchange(version=2)
    assert sent(tell(asker, 3, ack), 'fetch')
    assert not sent(tell(asker, 3, ack), 'fetch')

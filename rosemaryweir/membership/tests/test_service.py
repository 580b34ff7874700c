"""Heartbeats: acks omit what the prober knows, and are evidence as before."""

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


def sent_messages(actions, kind):
    return [
        action.message
        for action in actions
        if isinstance(action, SendPeer) and action.message['kind'] == kind
    ]


def deliver(node, sender, message, now=1.0):
    vm = VMS[sender]['vm']
    return node.handle(PeerMessage(f'{vm}/agent', 1, message), now)


def exchange(version):
    """Return an agent and the ack to its heartbeat."""
    prober, peer = make_node(0), make_node(3, version)
    heartbeat = sent_messages(prober.handle(Wake(), 1.0), 'heartbeat')[0]
    agent_state_of(peer.state).freshness.record_store_read(DOMAIN, 1.0)
    (ack,) = sent_messages(deliver(peer, 0, heartbeat), 'ack')
    return prober, ack


def age(node):
    return agent_state_of(node.state).freshness.store_read_age(DOMAIN, 1.0)


def test_ack_from_a_peer_with_equal_views_omits_them_and_is_evidence():
    prober, ack = exchange(version=1)
    assert not {'versions', 'agent_peer', 'domain'} & ack['known'].keys()
    deliver(prober, 3, ack)
    assert age(prober) == 0


def test_ack_from_a_peer_with_newer_views_is_no_evidence():
    prober, ack = exchange(version=2)
    assert ack['known']['versions'] == {DOMAIN: 2}
    actions = deliver(prober, 3, ack)
    assert age(prober) > 1
    assert sent_messages(actions, 'fetch')


def test_ack_to_an_unknown_heartbeat_is_no_evidence():
    prober, ack = exchange(version=1)
    ack['sequence'] += 100
    deliver(prober, 3, ack)
    assert age(prober) > 1


def test_heartbeat_to_a_seed_is_answered_in_full():
    prober, peer = make_node(0), make_node(3)
    heartbeat = sent_messages(prober.handle(Wake(), 1.0), 'heartbeat')[0]
    heartbeat['sequence'] = 0
    (ack,) = sent_messages(deliver(peer, 0, heartbeat), 'ack')
    assert ack['known']['agent_peer'] == VMS[3]['addresses']['agent_peer']


def test_a_view_is_requested_only_once():
    prober, ack = exchange(version=2)
    assert sent_messages(deliver(prober, 3, ack), 'fetch')
    assert not sent_messages(deliver(prober, 3, ack), 'fetch')

"""Directory: the VMs it lists, and how long a leaving entry still serves."""

from random import Random

import pytest

from rosemaryweir.membership.directory import Directory
from rosemaryweir.membership.timing import DIRECTORY_TTL_S, PULSE_LIFETIME_S
from rosemaryweir.node.action import Exit, StopListening
from rosemaryweir.node.event import (
    CallerRequest,
    PeerMessage,
    ShutdownAsked,
    Wake,
)
from rosemaryweir.node.node import Node
from rosemaryweir.node.part import Part
from rosemaryweir.node.state import Lease, NodeState, NodeUid

VMS = {'vm-1': 'a', 'vm-2': 'a', 'vm-3': 'b'}


def member(vm, state='alive'):
    fields = ('entry_http', 'entry_peer', 'leaf_peer', 'agent_peer')
    return {
        'vm': vm,
        'domain': VMS[vm],
        'region': 'r',
        'incarnation': 1,
        'state': state,
        'load': 0,
        'agent_http': vm,
        **dict.fromkeys(fields, vm),
    }


def pulse(vm, **changes):
    return {
        'vm': vm,
        'load': 0.1,
        'serving': True,
        'leaving': False,
        'generation': 1,
        'age_ms': 0,
        **changes,
    }


class BusyPart(Part):
    """A part that is always busy."""

    def busy(self, now):
        return True


def make_node(**changes):
    state = NodeState(NodeUid('vm-1', 'entry', 1), {'vm': 'vm-1'})
    state.lease = Lease(100.0, 'ok')
    for domain in ('a', 'b'):
        members = [member(vm) for vm in VMS if VMS[vm] == domain]
        state.take_view({'domain': domain, 'version': 1, 'members': members})
    node = Node(state, [Directory(state, Random(1))])
    pulses = [pulse(vm, **changes.get(vm, {})) for vm in VMS]
    grant = {'kind': 'grant', 'pulses': pulses}
    node.handle(PeerMessage('vm-1/agent', 1, grant), 10.0)
    return node


def names(node, now=10.0, **body):
    (reply,) = node.handle(CallerRequest(1, 'directory', body), now)
    if reply.status != 200:
        return reply.body['reason']
    return [use['vm'] for use in reply.body['use']]


def test_all_alive_vms_are_listed():
    assert sorted(names(make_node())) == ['vm-1', 'vm-2', 'vm-3']


@pytest.mark.parametrize(
    'change',
    [
        {'serving': False},
        {'leaving': True},
        {'age_ms': 1000 * PULSE_LIFETIME_S},
    ],
)
def test_fenced_leaving_and_silent_vms_are_not_listed(change):
    node = make_node(**{'vm-2': change})
    assert sorted(names(node)) == ['vm-1', 'vm-3']


def test_suspect_member_is_not_listed():
    node = make_node()
    view = {'domain': 'b', 'version': 2, 'members': [member('vm-3', 'suspect')]}
    node.state.take_view(view)
    assert sorted(names(node)) == ['vm-1', 'vm-2']


def test_withdrawn_and_suspended_domains_are_not_listed():
    node = make_node()
    node.state.suspended = frozenset({'b'})
    assert sorted(names(node)) == ['vm-1', 'vm-2']
    out = {'a': {'region': 'r', 'state': 'out'}}
    node.state.config['domains'].update(out)
    assert names(node) == 'no_capacity'


def test_order_depends_on_load_and_domain_of_the_caller():
    node = make_node(**{'vm-1': {'load': 0.95}})
    assert names(node, domain='a')[0] == 'vm-2'
    assert names(node, domain='b')[0] == 'vm-3'


def test_fenced_vm_refuses_to_answer():
    assert names(make_node(), now=100.0) == 'fenced'


def test_leaving_entry_serves_until_every_answer_has_expired():
    node = make_node()
    assert node.handle(ShutdownAsked(), 10.0) == []
    assert 'vm-1' not in names(node)
    end = node.next_wake()
    assert end >= 10.0 + PULSE_LIFETIME_S + DIRECTORY_TTL_S
    assert node.busy(end - 0.01)
    assert node.handle(Wake(), end) == [StopListening(), Exit()]


def test_entry_with_work_in_flight_only_stops_listening():
    node = make_node()
    node.parts = (*node.parts, BusyPart(node.state, Random(1)))
    node.handle(ShutdownAsked(), 10.0)
    end = node.next_wake()
    assert node.handle(Wake(), end - 0.01) == []
    assert node.handle(Wake(), end) == [StopListening()]
    assert node.next_wake() is None


def test_health_answer_has_the_state():
    node = make_node()
    (reply,) = node.handle(CallerRequest(1, 'health', {}), 10.0)
    assert (reply.status, reply.body['state']) == (200, 'serving')
    (reply,) = node.handle(CallerRequest(1, 'health', {}), 100.0)
    assert (reply.status, reply.body['state']) == (503, 'fenced')

"""Tests of dispatch, of exceptions in parts and of shutdown."""

from random import Random

from rosemaryweir.node.action import Exit, LogEvent, ReplyCaller
from rosemaryweir.node.event import CallerRequest, ShutdownAsked, Wake
from rosemaryweir.node.node import EVENT_UNHANDLED, PART_FAILED, Node
from rosemaryweir.node.part import Part, handles
from rosemaryweir.node.state import NodeState, NodeUid


class FailingPart(Part):
    """Fails on queries; is busy until time 5."""

    @handles(CallerRequest, 'query')
    def fail(self, event, now):
        raise RuntimeError('broken')

    @handles(CallerRequest, 'order')
    def answer(self, event, now):
        yield ReplyCaller(event.req, 200, {})

    def next_wake(self):
        return 5.0

    def busy(self, now):
        return now < 5


def make_node():
    state = NodeState(NodeUid('vm-1', 'entry', 1), {})
    return Node(state, [FailingPart(state, Random(1))])


def test_exception_in_a_part_fails_only_its_request():
    actions = make_node().handle(CallerRequest(7, 'query', {}), 1.0)
    assert [type(action) for action in actions] == [LogEvent, ReplyCaller]
    assert actions[0].number == PART_FAILED
    assert (actions[1].req, actions[1].status) == (7, 500)


def test_unhandled_event_is_logged_and_dropped():
    actions = make_node().handle(CallerRequest(7, 'nothing', {}), 1.0)
    assert [action.number for action in actions] == [EVENT_UNHANDLED]


def test_node_exits_once_when_no_part_is_busy():
    node = make_node()
    assert node.handle(ShutdownAsked(), 1.0) == []
    assert node.next_wake() == 5.0
    assert node.handle(Wake(), 5.0) == [Exit()]
    assert node.handle(Wake(), 6.0) == []

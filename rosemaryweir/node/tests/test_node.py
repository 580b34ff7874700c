"""The composed node: dispatch, failures of parts, shutdown."""

from random import Random

from rosemaryweir.node.action import Exit, LogEvent, ReplyCaller
from rosemaryweir.node.event import CallerRequest, ShutdownAsked, Wake
from rosemaryweir.node.node import EVENT_UNCLAIMED, PART_FAILED, Node
from rosemaryweir.node.part import Part, handles
from rosemaryweir.node.state import NodeState, NodeUid


class Flaky(Part):
    """Fails on queries, waits until time 5 at shutdown."""

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
    return Node(state, [Flaky(state, Random(1))])


def test_failure_of_a_part_fails_the_one_request():
    actions = make_node().handle(CallerRequest(7, 'query', {}), 1.0)
    assert [type(action) for action in actions] == [LogEvent, ReplyCaller]
    assert actions[0].number == PART_FAILED
    assert (actions[1].req, actions[1].status) == (7, 500)


def test_unclaimed_event_is_counted_and_dropped():
    actions = make_node().handle(CallerRequest(7, 'nothing', {}), 1.0)
    assert [action.number for action in actions] == [EVENT_UNCLAIMED]


def test_exit_once_when_no_part_is_busy():
    node = make_node()
    assert node.handle(ShutdownAsked(), 1.0) == []
    assert node.next_wake() == 5.0
    assert node.handle(Wake(), 5.0) == [Exit()]
    assert node.handle(Wake(), 6.0) == []

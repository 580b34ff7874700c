"""The driver: order of events, failed actions, and the timer."""

import asyncio
from random import Random

from rosemaryweir.daemons.clock import SystemClock
from rosemaryweir.daemons.driver import ACTION_FAILED, EVENT_FAILED, Driver
from rosemaryweir.daemons.metrics import Metrics
from rosemaryweir.node.action import Metric, SendPeer, StoreGet
from rosemaryweir.node.event import (
    CallerRequest,
    PeerMessage,
    ShutdownAsked,
    StoreFailed,
)
from rosemaryweir.node.node import Node
from rosemaryweir.node.part import Part, handles
from rosemaryweir.node.state import NodeState, NodeUid


class RecordingPart(Part):
    """Records its events and returns fixed actions."""

    def __init__(self, state, rng):
        super().__init__(state, rng)
        self.events = []
        self.due = None

    @handles(CallerRequest)
    def handle_request(self, event, now):
        self.events.append(event)
        yield Metric('time', 'query', 5.0, {'class': 'a'})
        yield StoreGet('x:1', 'key')
        yield SendPeer('vm/leaf', 'nowhere', {}, now + 1)
        yield StoreGet('x:2', 'key')

    @handles(StoreFailed)
    def handle_failure(self, event, now):
        self.events.append(event)
        return ()

    def next_wake(self):
        return self.due

    def wake(self, now):
        self.events.append('wake')
        self.due = None
        return ()

    def status(self, now):
        raise RuntimeError('no status')


class FakePorts:
    """Answers store calls immediately and fails on messages to peers."""

    def __init__(self):
        self.driver = None

    def call(self, action):
        self.driver.post(StoreFailed(action.call, 'unavailable'))

    def ignore(self, action):
        """Ignore an action."""

    def send(self, action):
        raise OSError('no route')


class FakeLog:
    def __init__(self):
        self.numbers = []

    def write(self, action):
        self.numbers.append(action.number)

    def event(self, number, fields):
        self.numbers.append(number)


def run(scenario):
    async def run_with_driver():
        state = NodeState(NodeUid('vm', 'entry', 1), {})
        part = RecordingPart(state, Random(1))
        log, metrics, ports = FakeLog(), Metrics('entry'), FakePorts()
        driver = Driver(Node(state, [part]), SystemClock(), log, metrics)
        driver.connect(ports.ignore, ports, ports, ports, ports.ignore)
        ports.driver = driver
        async with asyncio.timeout(5):
            await scenario(driver, part, log, metrics)
        driver.close()

    asyncio.run(run_with_driver())


def test_answers_that_come_at_once_wait_their_turn():
    async def scenario(driver, part, log, metrics):
        request = CallerRequest(1, 'query', {})
        driver.post(request)
        assert part.events == [
            request,
            StoreFailed('x:1', 'unavailable'),
            StoreFailed('x:2', 'unavailable'),
        ]
        assert log.numbers == [ACTION_FAILED]
        histograms = driver.node.histograms
        assert histograms.summary('query', **{'class': 'a'}).total == 1

    run(scenario)


def test_an_exception_in_the_node_drops_the_one_event():
    async def scenario(driver, part, log, metrics):
        driver.post(CallerRequest(1, 'status', {}))
        assert log.numbers == [EVENT_FAILED]
        driver.post(StoreFailed('x:1', 'unknown'))
        assert part.events == [StoreFailed('x:1', 'unknown')]

    run(scenario)


def test_wakes_at_the_time_the_node_names_also_in_the_past():
    async def scenario(driver, part, log, metrics):
        part.due = SystemClock().monotonic() - 5
        driver.post(PeerMessage('vm/leaf', 1, {'kind': 'x'}))
        while part.events != ['wake']:
            await asyncio.sleep(0.001)
        part.due = SystemClock().monotonic() + 0.02
        driver.start()
        while part.events != ['wake', 'wake']:
            await asyncio.sleep(0.001)
        assert SystemClock().monotonic() >= 0

    run(scenario)


def test_a_node_that_cannot_name_its_wake_is_woken_all_the_same():
    async def scenario(driver, part, log, metrics):
        def fail():
            raise RuntimeError('no time')

        part.next_wake = fail
        driver.post(StoreFailed('x:1', 'unknown'))
        assert log.numbers == [EVENT_FAILED]
        del part.next_wake
        part.due = 0.0
        while 'wake' not in part.events:
            await asyncio.sleep(0.01)

    run(scenario)


def test_exit_ends_with_code_zero():
    async def scenario(driver, part, log, metrics):
        driver.post(ShutdownAsked())
        assert await driver.finished == 0

    run(scenario)

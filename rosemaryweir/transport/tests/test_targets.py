"""Tests of the Target port with stand-in targets that inject faults."""

import asyncio

import pytest

from rosemaryweir.daemons.clock import SystemClock
from rosemaryweir.node.action import (
    CancelAttempt,
    CloseConnection,
    OpenConnection,
    ProbeTarget,
    SendTarget,
)
from rosemaryweir.node.event import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    TargetHealth,
    TargetReply,
)
from rosemaryweir.standin.target_group import TargetGroup
from rosemaryweir.transport.targets import HttpTargetPort

SEARCH = {'shard': 's-1', 'layout': 0, 'version': 0, 'text': 'AB12'}
ORDER = {'order_key': 'k-1', 'body': 'print'}


def config(**service):
    return {
        'generation': 1,
        'note': 'n',
        'format': 1,
        'services': {
            'desk': {
                'work': 'query',
                'slots': 3,
                'connections': 4,
                'connect_ms': 1,
                'cold_slots': 1,
                'warm_after': 5,
                'layout': 1,
                'shards': {'s-1': {'targets': ['t-1']}},
                **service,
            },
        },
        'targets': {'t-1': {'address': '127.0.0.1:0', 'domain': 'a'}},
        'domains': {'a': {'region': 'r', 'state': 'in'}},
        'classes': {},
        'tenants': {},
    }


class Fixture:
    """A Target port, its events and the stand-in targets."""

    def __init__(self, group, address):
        self.group = group
        self.address = address
        self.events = asyncio.Queue()
        self.clock = SystemClock()
        self.port = HttpTargetPort(self.events.put_nowait, self.clock)

    async def next(self, event_type):
        event = await self.events.get()
        assert isinstance(event, event_type), event
        return event

    async def open(self, conn):
        deadline = self.clock.monotonic() + 1
        self.port.call(OpenConnection(conn, 't-1', self.address, deadline))
        await self.next(ConnectionOpened)

    def send(self, conn, attempt, body=SEARCH, seconds=2.0):
        work = 'order' if 'order_key' in body else 'query'
        deadline = self.clock.monotonic() + seconds
        self.port.call(SendTarget(conn, attempt, work, body, deadline))

    def inject_fault(self, kind, **fields):
        self.group.apply({'kind': kind, **fields})


def run_with_target(scenario, options=None, **service):
    async def run():
        group = TargetGroup(config(**service), options or {})
        server = group.server('t-1')
        address = await server.http.start('127.0.0.1:0')
        fixture = Fixture(group, address)
        try:
            async with asyncio.timeout(20):
                await scenario(fixture)
        finally:
            fixture.port.close()
            await group.stop()

    asyncio.run(run())


def test_replies_name_their_attempt():
    async def scenario(fixture):
        await fixture.open(1)
        for number in range(20):
            fixture.send(1, f'a-{number}')
            reply = await fixture.next(TargetReply)
            assert (reply.conn, reply.attempt) == (1, f'a-{number}')
            assert (reply.status, reply.layout, reply.version) == ('ok', 1, 1)
            assert reply.rows == (('s-1/AB12', 'AB12 in s-1 at 1'),)
        fixture.send(1, 'o-1', ORDER)
        assert (await fixture.next(TargetReply)).reply == 't-1 ran k-1'
        assert fixture.group.order_runs == {'k-1': 1}

    run_with_target(scenario)


@pytest.mark.parametrize('kind', ['wrong_echo', 'cut'])
def test_invalid_reply_is_not_delivered_and_closes_the_connection(kind):
    async def scenario(fixture):
        await fixture.open(1)
        fixture.inject_fault(kind)
        fixture.send(1, 'a-1')
        closed = await fixture.next(ConnectionClosed)
        assert (closed.conn, closed.idle) == (1, False)
        fixture.inject_fault('clear')
        await fixture.open(2)
        fixture.send(2, 'a-2')
        assert (await fixture.next(TargetReply)).attempt == 'a-2'

    run_with_target(scenario)


def test_crossed_replies_of_two_connections_are_not_delivered():
    async def scenario(fixture):
        await fixture.open(1)
        await fixture.open(2)
        fixture.inject_fault('wrong_echo')
        fixture.send(1, 'a-1')
        fixture.send(2, 'a-2')
        closed = {(await fixture.next(ConnectionClosed)).conn for _ in 'ab'}
        assert closed == {1, 2}

    run_with_target(scenario, {'timing': {'median_ms': 50, 'sigma': 0}})


def test_unsolicited_bytes_close_the_connection_after_the_reply():
    async def scenario(fixture):
        await fixture.open(1)
        fixture.inject_fault('unasked')
        fixture.send(1, 'a-1')
        assert (await fixture.next(TargetReply)).attempt == 'a-1'
        closed = await fixture.next(ConnectionClosed)
        assert (closed.idle, closed.reason) == (True, 'unasked bytes')

    run_with_target(scenario)


def test_silent_connection_does_not_affect_new_ones():
    async def scenario(fixture):
        await fixture.open(1)
        fixture.send(1, 'a-1')
        await fixture.next(TargetReply)
        fixture.inject_fault('silent')
        fixture.send(1, 'a-2')
        await fixture.open(2)
        fixture.send(2, 'a-3')
        assert (await fixture.next(TargetReply)).attempt == 'a-3'
        fixture.port.call(CloseConnection(1, 'silent'))
        fixture.send(2, 'a-4')
        assert (await fixture.next(TargetReply)).attempt == 'a-4'
        assert fixture.events.empty()

    run_with_target(scenario)


def test_target_refuses_work_before_running_it():
    async def scenario(fixture):
        await fixture.open(1)
        fixture.send(1, 'a-1', {**SEARCH, 'version': 9})
        reply = await fixture.next(TargetReply)
        assert (reply.status, reply.version) == ('wrong_version', 1)
        fixture.inject_fault('shed')
        fixture.send(1, 'a-2', ORDER)
        assert (await fixture.next(TargetReply)).status == 'shed'
        fixture.inject_fault('clear')
        fixture.inject_fault('drain')
        fixture.send(1, 'a-3', ORDER)
        assert (await fixture.next(TargetReply)).status == 'draining'
        assert not fixture.group.order_runs
        fixture.inject_fault('clear')
        fixture.inject_fault('index')
        fixture.send(1, 'a-4')
        assert (await fixture.next(TargetReply)).version == 2
        fixture.send(1, 'a-5', {**SEARCH, 'version': 1})
        assert (await fixture.next(TargetReply)).version == 1

    run_with_target(scenario)


def test_overloaded_cold_target_collapses_and_restarts_cold():
    async def scenario(fixture):
        await fixture.open(1)
        await fixture.open(2)
        fixture.send(1, 'a-1')
        fixture.send(2, 'a-2')
        closed = {(await fixture.next(ConnectionClosed)).conn for _ in 'ab'}
        assert closed == {1, 2}
        server = fixture.group.server('t-1')
        assert server.model.stats['collapses'] == 1
        deadline = fixture.clock.monotonic() + 0.1
        fixture.port.call(OpenConnection(3, 't-1', fixture.address, deadline))
        while server.is_down():
            await asyncio.sleep(0.05)
        while not fixture.events.empty():
            fixture.events.get_nowait()
        await fixture.open(4)
        fixture.send(4, 'a-4')
        assert (await fixture.next(TargetReply)).incarnation == 2
        assert server.model.cold

    options = {'warm': False, 'timing': {'median_ms': 200, 'down_ms': 300}}
    run_with_target(scenario, options)


def test_cancellation_and_deadline_end_an_attempt_at_the_target():
    async def scenario(fixture):
        await fixture.open(1)
        fixture.send(1, 'a-1')
        await asyncio.sleep(0.1)
        fixture.port.call(CancelAttempt('t-1', fixture.address, 'a-1'))
        reply = await fixture.next(TargetReply)
        assert (reply.attempt, reply.status) == ('a-1', 'cancelled')
        fixture.send(1, 'a-2', seconds=0.1)
        assert (await fixture.next(TargetReply)).status == 'cancelled'
        assert not fixture.group.server('t-1').model.running

    run_with_target(scenario, {'timing': {'median_ms': 5000, 'sigma': 0}})


def test_probe_reports_delayed_health_and_unreachable_targets():
    async def scenario(fixture):
        def probe():
            deadline = fixture.clock.monotonic() + 1
            fixture.port.call(ProbeTarget('t-1', fixture.address, deadline))

        probe()
        assert (await fixture.next(TargetHealth)).state == 'ready'
        fixture.inject_fault('drain')
        await asyncio.sleep(0.2)
        probe()
        assert (await fixture.next(TargetHealth)).state == 'draining'
        fixture.inject_fault('down', seconds=5)
        probe()
        assert (await fixture.next(TargetHealth)).state == 'unreachable'
        fixture.group.server('t-1').http._server.close()
        probe()
        assert (await fixture.next(TargetHealth)).state == 'unreachable'

    run_with_target(scenario, {'timing': {'health_lag_ms': 100}})


def test_connections_over_the_limit_are_closed():
    async def scenario(fixture):
        for conn in range(1, 6):
            await fixture.open(conn)
            fixture.send(conn, f'a-{conn}')
            if conn < 5:
                await fixture.next(TargetReply)
        assert (await fixture.next(ConnectionClosed)).conn == 5
        stats = fixture.group.server('t-1').model.stats
        assert stats['refused_connections'] == 1

    run_with_target(scenario)


def test_failed_connection_is_reported():
    async def scenario(fixture):
        fixture.group.server('t-1').http._server.close()
        deadline = fixture.clock.monotonic() + 1
        fixture.port.call(OpenConnection(1, 't-1', fixture.address, deadline))
        assert (await fixture.next(ConnectionFailed)).conn == 1

    run_with_target(scenario)

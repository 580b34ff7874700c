"""The store client against the stand-in store, over loopback sockets."""

import asyncio

import pytest

from rosemaryweir.node.action import (
    ListPlatform,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
    StoreUnwatch,
    StoreWatch,
)
from rosemaryweir.node.event import (
    PlatformList,
    StoreFailed,
    StoreReply,
    WatchEnded,
    WatchEvent,
)
from rosemaryweir.objectstore import client, watch
from rosemaryweir.objectstore.client import StoreClient
from rosemaryweir.standin.store_server import StoreServer


class Fixture:
    def __init__(self, server, address):
        self.server = server
        self.events = asyncio.Queue()
        self.client = StoreClient(address, self.events.put_nowait)

    async def call(self, action):
        self.client.call(action)
        return await self.events.get()


def served(scenario):
    async def run():
        server = StoreServer()
        fixture = Fixture(server, await server.start('127.0.0.1:0'))
        try:
            async with asyncio.timeout(10):
                await scenario(fixture)
        finally:
            fixture.client.close()
            await server.stop()

    asyncio.run(run())


def test_versions_and_conditions():
    async def scenario(fixture):
        missing = await fixture.call(StoreGet('a:1', 'views/x y'))
        assert (missing.status, missing.objects) == ('missing', ())
        made = await fixture.call(StorePut('a:2', 'views/x y', 0, b'\x00one'))
        assert (made.status, made.topic) == ('ok', 'a')
        version = made.objects[0].version
        clash = await fixture.call(StorePut('a:3', 'views/x y', 0, b'two'))
        assert clash.status == 'conflict'
        assert clash.objects[0].content == b'\x00one'
        assert clash.objects[0].version == version
        listed = await fixture.call(StoreList('a:4', 'views/'))
        assert listed.objects == clash.objects
        assert listed.revision == version
        gone = await fixture.call(StoreDelete('a:5', 'views/x y', version))
        assert gone.status == 'ok'
        conflict = await fixture.call(StorePut('a:6', 'views/x y', 5, b''))
        assert (conflict.status, conflict.objects[0].version) == ('conflict', 0)

    served(scenario)


def test_lost_reply_of_a_write_is_unknown_though_it_took_effect():
    async def scenario(fixture):
        fixture.server.set_faults({'lose_replies': 1})
        lost = await fixture.call(StorePut('a:1', 'k', 0, b'one'))
        assert lost == StoreFailed('a:1', 'unknown')
        again = await fixture.call(StoreGet('a:2', 'k'))
        assert again.objects[0].content == b'one'

    served(scenario)


def test_store_that_refuses_or_is_not_there_is_unavailable():
    async def scenario(fixture):
        fixture.server.set_faults({'refuse': True})
        refused = await fixture.call(StorePut('a:1', 'k', 0, b'one'))
        assert refused == StoreFailed('a:1', 'unavailable')
        await fixture.server.stop()
        while True:
            failed = await fixture.call(StorePut('a:2', 'k', 0, b'one'))
            if failed.reason == 'unavailable':
                break
        assert fixture.server.store.revision == 0

    served(scenario)


def test_slow_store_times_out(monkeypatch):
    monkeypatch.setattr(client, 'CALL_SECONDS', 0.2)

    async def scenario(fixture):
        fixture.server.set_faults({'slow_ms': 1000})
        fixture.client.call(StorePut('a:1', 'k', 0, b'one'))
        fixture.client.call(StoreGet('a:2', 'k'))
        found = {await fixture.events.get(), await fixture.events.get()}
        assert found == {
            StoreFailed('a:1', 'unknown'),
            StoreFailed('a:2', 'unavailable'),
        }

    served(scenario)


def test_connection_that_is_closed_as_soon_as_it_stands(monkeypatch):
    async def scenario(fixture):
        opened = client.open_channel

        async def open_closed(*args):
            channel = await opened(*args)
            channel.fail('reset')
            return channel

        monkeypatch.setattr(client, 'open_channel', open_closed)
        for call in ('a:1', 'a:2'):
            failed = await fixture.call(StorePut(call, 'k', 0, b'one'))
            assert failed == StoreFailed(call, 'unavailable')

    served(scenario)


def test_call_on_a_channel_that_ended_unseen_is_answered(monkeypatch):
    monkeypatch.setattr(client, 'CALL_SECONDS', 0.2)

    async def scenario(fixture):
        await fixture.call(StoreGet('a:1', 'k'))
        for channel in fixture.client._free:
            channel.drop()
        failed = await fixture.call(StorePut('a:2', 'k', 0, b'one'))
        assert failed == StoreFailed('a:2', 'unknown')
        made = await fixture.call(StorePut('a:3', 'k', 0, b'one'))
        assert made.status == 'ok'

    served(scenario)


def test_more_calls_than_connections_are_all_answered():
    async def scenario(fixture):
        for number in range(100):
            fixture.client.call(StorePut(f'a:{number}', f'k/{number}', 0, b'x'))
        replies = [await fixture.events.get() for _ in range(100)]
        assert {reply.call for reply in replies} == {
            f'a:{number}' for number in range(100)
        }
        assert all(isinstance(reply, StoreReply) for reply in replies)
        connections = len(fixture.server.http.connections)
        assert connections <= client.MAX_CHANNELS

    served(scenario)


def test_watch_tells_changes_in_order_and_signs_of_life():
    async def scenario(fixture):
        first = await fixture.call(StoreWatch('w:1', 'k/', 0))
        assert first == WatchEvent('w:1', (), 0)
        store = fixture.server
        for number in range(3):
            await fixture.call(StorePut('a:1', 'other', number, b''))
        fixture.client.call(StorePut('a:2', 'k/1', 0, b'one'))
        seen = [await fixture.events.get() for _ in range(2)]
        told = next(one for one in seen if isinstance(one, WatchEvent))
        assert [item.key for item in told.objects] == ['k/1']
        assert told.revision == store.store.revision
        alive = await fixture.events.get()
        assert (alive.call, alive.objects) == ('w:1', ())
        fixture.client.call(StoreUnwatch('w:1'))
        while fixture.server.stats()['watches']:
            await asyncio.sleep(0.01)
        assert fixture.events.empty()

    served(scenario)


def test_watch_that_stalls_ends(monkeypatch):
    monkeypatch.setattr(watch, 'SILENCE_SECONDS', 0.7)

    async def scenario(fixture):
        await fixture.call(StoreWatch('w:1', '', 0))
        fixture.server.set_faults({'stall_watches': True})
        while True:
            event = await fixture.events.get()
            if isinstance(event, WatchEnded):
                break
        assert event == WatchEnded('w:1', 'stalled')

    served(scenario)


@pytest.mark.parametrize('fault', ['expired', 'down', 'absent'])
def test_watch_that_cannot_start_ends(fault):
    async def scenario(fixture):
        revision = 0
        if fault == 'expired':
            revision = 99
        elif fault == 'down':
            fixture.server.set_faults({'down': True})
        else:
            await fixture.server.stop()
        ended = await fixture.call(StoreWatch('w:1', '', revision))
        assert isinstance(ended, WatchEnded)
        assert fixture.events.empty()

    served(scenario)


def test_vm_list_lags():
    async def scenario(fixture):
        fixture.server.set_faults({'list_lag_ms': 150})
        address = fixture.client._address
        await admin_vms(address, b'{"live": ["vm-1"], "leaving": []}')
        assert await fixture.call(ListPlatform()) == PlatformList((), ())
        await asyncio.sleep(0.2)
        found = await fixture.call(ListPlatform())
        assert found == PlatformList(('vm-1',), ())

    served(scenario)


async def admin_vms(address, body):
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'POST /admin/vms HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (len(body), body),
    )
    assert b' 200 ' in await reader.readline()
    writer.close()

"""Tests of the store client with the stand-in store."""

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
    """A store client, its events and the stand-in store."""

    def __init__(self, server, address):
        self.server = server
        self.events = asyncio.Queue()
        self.client = StoreClient(address, self.events.put_nowait)

    async def call(self, action):
        self.client.call(action)
        return await self.events.get()


def run_with_store(scenario):
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


def test_calls_return_versions_and_check_conditions():
    async def scenario(fixture):
        missing = await fixture.call(StoreGet('a:1', 'views/x y'))
        assert (missing.status, missing.objects) == ('missing', ())
        stored = await fixture.call(StorePut('a:2', 'views/x y', 0, b'\x00one'))
        assert (stored.status, stored.topic) == ('ok', 'a')
        version = stored.objects[0].version
        rejected = await fixture.call(StorePut('a:3', 'views/x y', 0, b'two'))
        assert rejected.status == 'conflict'
        assert rejected.objects[0].content == b'\x00one'
        assert rejected.objects[0].version == version
        listed = await fixture.call(StoreList('a:4', 'views/'))
        assert listed.objects == rejected.objects
        assert listed.revision == version
        deleted = await fixture.call(StoreDelete('a:5', 'views/x y', version))
        assert deleted.status == 'ok'
        conflict = await fixture.call(StorePut('a:6', 'views/x y', 5, b''))
        assert (conflict.status, conflict.objects[0].version) == ('conflict', 0)

    run_with_store(scenario)


def test_write_with_a_lost_reply_fails_as_unknown():
    async def scenario(fixture):
        fixture.server.set_faults({'lose_replies': 1})
        lost = await fixture.call(StorePut('a:1', 'k', 0, b'one'))
        assert lost == StoreFailed('a:1', 'unknown')
        again = await fixture.call(StoreGet('a:2', 'k'))
        assert again.objects[0].content == b'one'

    run_with_store(scenario)


def test_refusing_or_absent_store_is_unavailable():
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

    run_with_store(scenario)


def test_calls_to_a_slow_store_time_out(monkeypatch):
    monkeypatch.setattr(client, 'CALL_TIMEOUT_S', 0.2)

    async def scenario(fixture):
        fixture.server.set_faults({'slow_ms': 1000})
        fixture.client.call(StorePut('a:1', 'k', 0, b'one'))
        fixture.client.call(StoreGet('a:2', 'k'))
        found = {await fixture.events.get(), await fixture.events.get()}
        assert found == {
            StoreFailed('a:1', 'unknown'),
            StoreFailed('a:2', 'unavailable'),
        }

    run_with_store(scenario)


def test_connection_closed_at_once_is_unavailable(monkeypatch):
    async def scenario(fixture):
        original = client.open_channel

        async def open_and_fail(*args):
            channel = await original(*args)
            channel.fail('reset')
            return channel

        monkeypatch.setattr(client, 'open_channel', open_and_fail)
        for call in ('a:1', 'a:2'):
            failed = await fixture.call(StorePut(call, 'k', 0, b'one'))
            assert failed == StoreFailed(call, 'unavailable')

    run_with_store(scenario)


def test_call_on_a_channel_that_ended_unnoticed_fails(monkeypatch):
    monkeypatch.setattr(client, 'CALL_TIMEOUT_S', 0.2)

    async def scenario(fixture):
        await fixture.call(StoreGet('a:1', 'k'))
        for channel in fixture.client._idle_channels:
            channel.drop()
        failed = await fixture.call(StorePut('a:2', 'k', 0, b'one'))
        assert failed == StoreFailed('a:2', 'unknown')
        stored = await fixture.call(StorePut('a:3', 'k', 0, b'one'))
        assert stored.status == 'ok'

    run_with_store(scenario)


def test_all_calls_are_answered_if_they_outnumber_connections():
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

    run_with_store(scenario)


def test_watch_reports_changes_and_bookmarks_in_order():
    async def scenario(fixture):
        first = await fixture.call(StoreWatch('w:1', 'k/', 0))
        assert first == WatchEvent('w:1', (), 0)
        stand_in = fixture.server
        for number in range(3):
            await fixture.call(StorePut('a:1', 'other', number, b''))
        fixture.client.call(StorePut('a:2', 'k/1', 0, b'one'))
        received = [await fixture.events.get() for _ in range(2)]
        change = next(each for each in received if isinstance(each, WatchEvent))
        assert [item.key for item in change.objects] == ['k/1']
        assert change.revision == stand_in.store.revision
        bookmark = await fixture.events.get()
        assert (bookmark.call, bookmark.objects) == ('w:1', ())
        fixture.client.call(StoreUnwatch('w:1'))
        while fixture.server.stats()['watches']:
            await asyncio.sleep(0.01)
        assert fixture.events.empty()

    run_with_store(scenario)


def test_stalled_watch_ends(monkeypatch):
    monkeypatch.setattr(watch, 'STALL_TIMEOUT_S', 0.7)

    async def scenario(fixture):
        await fixture.call(StoreWatch('w:1', '', 0))
        fixture.server.set_faults({'stall_watches': True})
        while True:
            event = await fixture.events.get()
            if isinstance(event, WatchEnded):
                break
        assert event == WatchEnded('w:1', 'stalled')

    run_with_store(scenario)


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

    run_with_store(scenario)


def test_vm_list_is_delayed():
    async def scenario(fixture):
        fixture.server.set_faults({'list_lag_ms': 150})
        address = fixture.client._address
        await set_vm_list(address, b'{"live": ["vm-1"], "leaving": []}')
        assert await fixture.call(ListPlatform()) == PlatformList((), ())
        await asyncio.sleep(0.2)
        found = await fixture.call(ListPlatform())
        assert found == PlatformList(('vm-1',), ())

    run_with_store(scenario)


async def set_vm_list(address, body):
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'POST /admin/vms HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (len(body), body),
    )
    assert b' 200 ' in await reader.readline()
    writer.close()

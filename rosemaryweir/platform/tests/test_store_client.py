"""Tests of the store client against the stand-in store."""

import asyncio

import pytest

from rosemaryweir.platform.standin.store import StandInStore
from rosemaryweir.platform.store_client import (
    StoreConnection,
    StoreError,
    StoreWatcher,
    delete_object,
    list_objects,
    write_object,
)


class RecordingListener:
    def __init__(self):
        self.lists = []
        self.changes = []
        self.failures = []
        self.last_revision = 0
        self.watches = True

    def merge_list(self, kind, objects, revision):
        self.lists.append([change.name for change in objects])
        self.last_revision = revision

    def merge_changes(self, kind, changes, revision):
        self.changes.extend(changes)
        self.last_revision = revision

    def store_failed(self, kind, exc):
        self.failures.append(exc.status)

    def complete_revision(self, kind):
        return self.last_revision

    def should_watch(self, kind):
        return self.watches


def run_scenario(scenario):
    async def run():
        store = StandInStore()
        address = await store.http.start('127.0.0.1:0')
        listener = RecordingListener()
        task = asyncio.create_task(
            StoreWatcher(address, 'servers', listener).run()
        )
        try:
            await scenario(store, address, listener)
        finally:
            task.cancel()
            await store.http.stop()

    asyncio.run(run())


async def wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_list_of_many_pages_is_followed_by_a_watch():
    async def scenario(store, address, listener):
        for name in 'abcde':
            store.put('servers', name, {'seq': 1})
        await wait_until(lambda: listener.lists)
        assert sorted(listener.lists[-1]) == list('abcde')
        store.put('servers', 'f', {'seq': 1})
        store.delete('servers', 'a')
        await wait_until(lambda: len(listener.changes) >= 2)
        last = {change.name: change for change in listener.changes}
        assert last['a'].removed
        assert not last['f'].removed

    run_scenario(scenario)


def test_a_watch_from_a_forgotten_revision_is_followed_by_a_list():
    async def scenario(store, address, listener):
        await wait_until(lambda: listener.lists)
        store.mode = 'forgetful'
        store.put('servers', 'a', {})
        await wait_until(lambda: listener.lists[-1] == ['a'])

    run_scenario(scenario)


@pytest.mark.parametrize('mode', ['busy', 'unreadable'])
def test_after_an_outage_the_watch_resumes_from_the_last_revision(mode):
    async def scenario(store, address, listener):
        await wait_until(lambda: listener.lists)
        store.mode = mode
        store.put('servers', 'x', {})
        await wait_until(lambda: len(listener.failures) >= 2)
        store.mode = 'good'
        await wait_until(
            lambda: any(change.name == 'x' for change in listener.changes)
        )

    run_scenario(scenario)


def test_a_vm_that_does_not_watch_makes_no_calls():
    async def scenario(store, address, listener):
        listener.watches = False
        await wait_until(lambda: listener.lists)
        await asyncio.sleep(0.5)
        assert len(store.calls) == 1

    run_scenario(scenario)


def test_a_call_to_a_silent_store_times_out():
    async def scenario(store, address, listener):
        store.mode = 'silent'
        connection = StoreConnection(address)
        with pytest.raises(StoreError) as caught:
            await connection.call('GET', '/objects/servers', timeout=0.1)
        assert caught.value.status == 0

    run_scenario(scenario)


def test_the_own_object_is_written_again_and_removed():
    async def scenario(store, address, listener):
        for vm_address in ('one', 'two'):
            await write_object(address, 'vms', 'vm-a', {'address': vm_address})
        (found,) = await list_objects(address, 'vms')
        assert found.content == {'address': 'two'}
        await delete_object(address, 'vms', 'vm-a')
        assert not await list_objects(address, 'vms')

    run_scenario(scenario)


def test_a_list_of_stale_pages_is_complete_up_to_the_oldest():
    # Pages of a stale list may be of revisions seconds apart.  With the newest
    # as complete revision, changes on older pages would never be requested.
    async def scenario(store, address, listener):
        for name in 'abcde':
            store.put('servers', name, {'seq': 1})
        ages = iter((0, 2, 1))
        list_page = store._list
        oldest = store.revision - 2

        def list_stale(exchange, kind, after):
            newest = store.revision
            store.revision = newest - next(ages, 0)
            list_page(exchange, kind, after)
            store.revision = newest

        store._list = list_stale
        listener.watches = False
        await wait_until(lambda: listener.lists)
        assert listener.last_revision == oldest

    run_scenario(scenario)


@pytest.mark.parametrize(
    'answer',
    [
        b'[]',
        b'{}',
        b'{"items": [], "as_of": "soon", "has_more": false}',
        b'{"items": [3], "as_of": 9, "has_more": false}',
        b'{"items": [{"meta": {"name": "x"}}], "as_of": 9, "has_more": false}',
        b'{"events": [{}], "as_of": 9}',
        b'{"events": [{"object": [], "deleted": 1}], "as_of": 9}',
        b'{"events": 3, "as_of": 1e400}',
    ],
)
@pytest.mark.parametrize('watching', [True, False])
def test_an_answer_that_is_malformed_ends_no_watch(answer, watching):
    async def scenario(store, address, listener):
        if watching:
            await wait_until(lambda: listener.lists)
        store._faults['unreadable'] = lambda exchange: exchange.reply(
            200, answer
        )
        store.mode = 'unreadable'
        store.put('servers', 'x', {})
        await wait_until(lambda: listener.failures)
        store.mode = 'good'
        await wait_until(
            lambda: (
                any(change.name == 'x' for change in listener.changes)
                or any('x' in names for names in listener.lists)
            )
        )

    run_scenario(scenario)

"""The client of the platform's store, against a stand-in."""

import asyncio

import pytest

from rosemaryweir.platform.standin.store import StandInStore
from rosemaryweir.platform.store import (
    Follower,
    StoreError,
    StoreLink,
    delete_own,
    list_own,
    write_own,
)


class Listener:
    def __init__(self):
        self.lists = []
        self.changes = []
        self.failures = []
        self.known = 0
        self.follows = True

    def listed(self, kind, objects, revision):
        self.lists.append([change.name for change in objects])
        self.known = revision

    def changed(self, kind, changes, revision):
        self.changes.extend(changes)
        self.known = revision

    def store_failed(self, kind, exc):
        self.failures.append(exc.status)

    def known_up_to(self, kind):
        return self.known

    def should_follow(self, kind):
        return self.follows


def play(scenario):
    async def run():
        store = StandInStore()
        address = await store.http.start('127.0.0.1:0')
        listener = Listener()
        task = asyncio.create_task(Follower(address, 'servers', listener).run())
        try:
            await scenario(store, address, listener)
        finally:
            task.cancel()
            await store.http.stop()

    asyncio.run(run())


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_list_of_many_pages_is_followed_by_a_watch():
    async def scenario(store, address, listener):
        for name in 'abcde':
            store.put('servers', name, {'seq': 1})
        await until(lambda: listener.lists)
        assert sorted(listener.lists[-1]) == list('abcde')
        store.put('servers', 'f', {'seq': 1})
        store.delete('servers', 'a')
        await until(lambda: len(listener.changes) >= 2)
        last = {change.name: change for change in listener.changes}
        assert last['a'].removed
        assert not last['f'].removed

    play(scenario)


def test_forgotten_history_is_listed_anew():
    async def scenario(store, address, listener):
        await until(lambda: listener.lists)
        store.mode = 'forgetful'
        store.put('servers', 'a', {})
        await until(lambda: listener.lists[-1] == ['a'])

    play(scenario)


@pytest.mark.parametrize('mode', ['busy', 'unreadable'])
def test_an_outage_ends_with_a_watch_from_where_it_began(mode):
    async def scenario(store, address, listener):
        await until(lambda: listener.lists)
        store.mode = mode
        store.put('servers', 'x', {})
        await until(lambda: len(listener.failures) >= 2)
        store.mode = 'good'
        await until(lambda: any(c.name == 'x' for c in listener.changes))

    play(scenario)


def test_a_vm_that_does_not_follow_makes_no_calls():
    async def scenario(store, address, listener):
        listener.follows = False
        await until(lambda: listener.lists)
        await asyncio.sleep(0.5)
        assert len(store.calls) == 1

    play(scenario)


def test_a_silent_store_is_given_up():
    async def scenario(store, address, listener):
        store.mode = 'silent'
        link = StoreLink(address)
        with pytest.raises(StoreError) as caught:
            await link.call('GET', '/objects/servers', timeout=0.1)
        assert caught.value.status == 0

    play(scenario)


def test_the_own_object_is_written_again_and_removed():
    async def scenario(store, address, listener):
        for place in ('one', 'two'):
            await write_own(address, 'vms', 'vm-a', {'address': place})
        (found,) = await list_own(address, 'vms')
        assert found.content == {'address': 'two'}
        await delete_own(address, 'vms', 'vm-a')
        assert not await list_own(address, 'vms')

    play(scenario)


def test_a_list_of_stale_pages_is_complete_up_to_the_oldest():
    # Pages of a stale list may be seconds apart: taken for complete up to
    # the newest, changes on the older page would never be asked for.
    async def scenario(store, address, listener):
        for name in 'abcde':
            store.put('servers', name, {'seq': 1})
        ages = iter((0, 2, 1))
        whole = store._list
        oldest = store.revision - 2

        def stale(exchange, kind, after):
            newest = store.revision
            store.revision = newest - next(ages, 0)
            whole(exchange, kind, after)
            store.revision = newest

        store._list = stale
        listener.follows = False
        await until(lambda: listener.lists)
        assert listener.known == oldest

    play(scenario)

"""Tests that the fake store behaves as the platform's store does."""

from random import Random

from rosemaryweir.node.action import StoreGet, StorePut, StoreWatch
from rosemaryweir.node.event import StoreFailed, StoreReply, WatchEvent
from rosemaryweir.testing.fake_store import FakeStore
from rosemaryweir.testing.scheduler import Scheduler


def make_store():
    scheduler = Scheduler()
    return scheduler, FakeStore(scheduler, Random(1)), []


def test_one_of_two_conflicting_writes_succeeds():
    scheduler, store, events = make_store()
    store.call('a/agent', StorePut('x:1', 'k', 0, b'a'), events.append)
    store.call('b/agent', StorePut('x:2', 'k', 0, b'b'), events.append)
    scheduler.run(1.0)
    assert sorted(event.status for event in events) == ['conflict', 'ok']


def test_write_takes_effect_if_its_reply_is_lost():
    scheduler, store, events = make_store()
    store.lose_replies = 1.0
    store.call('a/agent', StorePut('x:1', 'k', 0, b'a'), events.append)
    scheduler.run(2.0)
    assert events == [StoreFailed('x:1', 'unknown')]
    assert store.objects['k'].content == b'a'


def test_calls_fail_only_during_an_outage():
    scheduler, store, events = make_store()
    store.set_down(True)
    store.call('a/agent', StoreGet('x:1', 'k'), events.append)
    scheduler.run(1.0)
    store.set_down(False)
    store.call('a/agent', StoreGet('x:2', 'k'), events.append)
    scheduler.run(2.0)
    assert events == [
        StoreFailed('x:1', 'unavailable'),
        StoreReply('x:2', 'missing', (), 0),
    ]


def test_watch_delivers_earlier_and_later_writes():
    scheduler, store, events = make_store()
    store.put('views/a', b'1')
    store.call('a/agent', StoreWatch('x:1', 'views/', 0), events.append)
    scheduler.run(0.1)
    store.put('views/b', b'2')
    scheduler.run(0.2)
    keys = [obj.key for event in events for obj in event.objects]
    assert keys == ['views/a', 'views/b']
    assert all(isinstance(event, WatchEvent) for event in events)

"""Stored content is deleted once nothing can need it, and not before."""

from random import Random

import pytest

from rosemaryweir.config import retention
from rosemaryweir.config.head import HEAD_KEY, NoteWriter
from rosemaryweir.config.retention import (
    MAX_ATTEMPTS_PER_ROUND,
    RETRY_DELAY_S,
    ContentCleaner,
)
from rosemaryweir.config.service import REREAD_DELAY_S, ConfigService
from rosemaryweir.config.tests.test_head import Store, run_through, submit
from rosemaryweir.config.tests.test_service import VMS, started, withdrawal
from rosemaryweir.config.tests.test_service import submit as send
from rosemaryweir.node.action import StoreDelete, StoreGet
from rosemaryweir.node.event import StoreFailed, StoreReply, Wake
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import NodeState, NodeUid
from rosemaryweir.testing.deployment import HALVORSEN, vm_settings

KEPT = 3

#: Record, one chunk, one delta.
OBJECTS = 3


def clean(cleaner, store, now=0.0):
    """Run a clean-up to its end; return its calls."""
    done = []
    waiting = list(cleaner.wake(now))
    while waiting:
        action = waiting.pop()
        done.append(action)
        waiting.extend(cleaner.take_reply(store.run(action)))
    return done


def write(store, first, last):
    for number in range(first, last + 1):
        assert submit(store, f'n-{number}', number - 1).state == 'accepted'


def begun(store, base, puts, attempt='dead'):
    """Begin an attempt that stores so many objects."""
    note = {'note': 'n-begun', 'format': 1, 'base': base}
    note['added'] = {'tenants': {'t-begun': {'weight': 1}}}
    writer = NoteWriter(note, 'note:1', attempt, 0.0)
    run_through(writer, store, writer.begin())
    waiting = list(writer.write())
    for _ in range(puts):
        reply = store.run(waiting.pop())
        waiting.extend(writer.take_reply(reply, store.config()))
    return writer, waiting


def stored(store, generation):
    record = f'config/attempt/{generation:012}-'
    return [key for key in store.objects if key.startswith(record)]


def test_stored_objects_stay_bounded_over_many_notes():
    store = Store()
    cleaner = ContentCleaner('clean', KEPT, 0.0)
    for number in range(1, 101):
        write(store, number, number)
        cleaner.schedule(number, 0.0)
        calls = clean(cleaner, store)
        assert len(calls) <= 1 + OBJECTS
    assert len(store.objects) == 1 + KEPT * OBJECTS
    assert len(store.config()['tenants']) == 100


def test_what_is_recent_by_time_is_kept():
    store = Store()
    write(store, 1, 9)
    cleaner = ContentCleaner('clean', KEPT, 60.0)
    cleaner.schedule(9, 5.0)
    assert cleaner.next_wake() == 65.0
    assert not clean(cleaner, store, 64.9)
    clean(cleaner, store, 65.0)
    assert not any(
        stored(store, number) for number in range(1, MAX_ATTEMPTS_PER_ROUND + 1)
    )
    assert stored(store, MAX_ATTEMPTS_PER_ROUND + 1)


@pytest.mark.parametrize('puts', range(5))
def test_what_a_dead_writer_left_is_deleted(puts):
    store = Store()
    begun(store, 0, puts)
    write(store, 1, KEPT + 1)
    cleaner = ContentCleaner('clean', KEPT, 0.0)
    cleaner.schedule(KEPT + 1, 0.0)
    clean(cleaner, store)
    assert not stored(store, 1)
    assert len(store.objects) == 1 + KEPT * OBJECTS


@pytest.mark.parametrize('puts', range(1, 5))
def test_writer_that_comes_back_after_its_clean_up_leaves_nothing(puts):
    store = Store()
    writer, waiting = begun(store, 0, puts)
    write(store, 1, KEPT + 1)
    cleaner = ContentCleaner('clean', KEPT, 0.0)
    cleaner.schedule(KEPT + 1, 0.0)
    clean(cleaner, store)
    run_through(writer, store, waiting)
    assert writer.outcome.state == 'conflict'
    write(store, KEPT + 2, KEPT + 2)
    cleaner.schedule(KEPT + 2, 0.0)
    clean(cleaner, store)
    assert len(store.objects) == 1 + KEPT * OBJECTS
    assert len(store.config()['tenants']) == KEPT + 2


@pytest.mark.parametrize('calls', range(1, 5))
@pytest.mark.parametrize('takes_effect', [True, False])
def test_clean_up_that_ends_halfway_is_taken_up(calls, takes_effect):
    store = Store()
    write(store, 1, KEPT + 1)
    one, other = (ContentCleaner(name, KEPT, 0.0) for name in ('one', 'other'))
    one.schedule(KEPT + 1, 0.0)
    waiting = list(one.wake(0.0))
    for _ in range(calls - 1):
        waiting = list(one.take_reply(store.run(waiting.pop())))
    action = waiting.pop()
    if takes_effect:
        store.run(action)
    one.take_failure(StoreFailed(action.call, 'unknown'), 0.0)
    assert one.next_wake() == RETRY_DELAY_S
    other.schedule(KEPT + 1, 0.0)
    clean(other, store)
    assert len(store.objects) == 1 + KEPT * OBJECTS
    clean(one, store, RETRY_DELAY_S)
    assert len(store.objects) == 1 + KEPT * OBJECTS
    assert one.next_wake() is None


def test_two_clean_ups_at_once_end():
    store = Store()
    write(store, 1, KEPT + 2)
    cleaners = [ContentCleaner(name, KEPT, 0.0) for name in ('one', 'other')]
    waiting = []
    for cleaner in cleaners:
        cleaner.schedule(KEPT + 2, 0.0)
        waiting.extend((cleaner, action) for action in cleaner.wake(0.0))
    while waiting:
        cleaner, action = waiting.pop(0)
        more = cleaner.take_reply(store.run(action))
        waiting.extend((cleaner, each) for each in more)
    assert len(store.objects) == 1 + KEPT * OBJECTS


def test_refused_delete_without_an_answer_ends_in_a_later_round():
    store = Store()
    write(store, 1, KEPT + 1)
    cleaner = ContentCleaner('clean', KEPT, 0.0)
    cleaner.schedule(KEPT + 1, 0.0)
    (listing,) = cleaner.wake(0.0)
    (first,) = cleaner.take_reply(store.run(listing))
    store.objects.pop(first.key)
    cleaner.take_failure(StoreFailed(first.call, 'unknown'), 0.0)
    calls = clean(cleaner, store, RETRY_DELAY_S)
    assert first not in calls
    assert len(store.objects) == 1 + KEPT * OBJECTS
    assert cleaner.next_wake() is None


def test_work_for_one_note_is_bounded():
    store = Store()
    write(store, 1, 50)
    cleaner = ContentCleaner('clean', KEPT, 0.0)
    cleaner.schedule(50, 0.0)
    calls = clean(cleaner, store)
    deletes = [each for each in calls if isinstance(each, StoreDelete)]
    assert len(deletes) == MAX_ATTEMPTS_PER_ROUND * OBJECTS


def content_of(store, kind):
    return [key for key in store.objects if key.startswith(f'config/{kind}/')]


def write_many(cluster, count):
    for base in range(1, count + 1):
        note = withdrawal(base, f'n-{base}')
        note['changed']['domains'] = {}
        note['added'] = {'tenants': {f't-{base}': {'weight': 1}}}
        assert send(cluster, note).status == 200


def test_agents_delete_old_content(monkeypatch):
    monkeypatch.setattr(
        retention.ContentCleaner.__init__,
        '__defaults__',
        (KEPT, 1.0),
    )
    cluster = started()
    write_many(cluster, 12)
    cluster.run(3)
    for kind in ('content', 'delta', 'attempt'):
        assert len(content_of(cluster.store, kind)) == KEPT
    cluster.start_vm(cluster.settings['vm-001'])
    cluster.run(4)
    states = [process.node.state for process in cluster.processes.values()]
    assert {state.config['generation'] for state in states} == {13}


def test_attempts_of_one_note_share_content_and_are_deleted_together():
    store = Store()
    one, first = begun(store, 0, 4, 'one')
    other, second = begun(store, 0, 2, 'other')
    assert first[0].key == HEAD_KEY
    run_through(one, store, first)
    run_through(other, store, second)
    assert one.outcome.state == 'accepted'
    assert len(stored(store, 1)) == 2
    assert len(store.config()['tenants']) == 1
    write(store, 2, KEPT + 1)
    cleaner = ContentCleaner('clean', KEPT, 0.0)
    cleaner.schedule(KEPT + 1, 0.0)
    clean(cleaner, store)
    assert len(store.objects) == 1 + KEPT * OBJECTS
    assert len(store.config()['tenants']) == KEPT + 1


def test_reader_whose_content_is_gone_reads_the_head_again(monkeypatch):
    store = Store()
    write(store, 1, 2)
    settings = vm_settings(HALVORSEN, VMS)[0]
    state = NodeState(NodeUid('vm-000', 'agent', 1), settings)
    service = ConfigService(state, Random(1))
    monkeypatch.setattr(service.agent_state, 'watches_store', lambda: False)
    node = Node(state, [service])
    reads = heads(node.handle(Wake(), 1.0))
    old = store.run(reads[0])
    write(store, 3, 3)
    waiting = gets(node.handle(old, 1.01))
    assert waiting
    while waiting:
        missing = StoreReply(waiting.pop().call, 'missing')
        waiting.extend(gets(node.handle(missing, 1.02)))
    assert service.next_wake() <= 1.02 + REREAD_DELAY_S
    (again,) = heads(node.handle(Wake(), 1.02 + REREAD_DELAY_S))
    waiting = gets(node.handle(store.run(again), 1.3))
    for action in waiting:
        node.handle(store.run(action), 1.4)
    node.handle(Wake(), 1.5)
    assert state.config['generation'] == 3


def heads(actions):
    return [each for each in gets(actions) if each.key == HEAD_KEY]


def gets(actions):
    return [each for each in actions if isinstance(each, StoreGet)]

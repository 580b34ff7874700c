"""Stored content is deleted once it cannot be needed, and not before."""

from random import Random

import pytest

from rosemaryweir.config import retention
from rosemaryweir.config.head import HEAD_KEY, NoteWriter
from rosemaryweir.config.retention import (
    MAX_RECORDS_PER_ROUND,
    RETRY_DELAY_S,
    ContentCleaner,
)
from rosemaryweir.config.service import REREAD_DELAY_S, ConfigService
from rosemaryweir.config.tests.test_head import MemoryStore, run_calls, submit
from rosemaryweir.config.tests.test_service import (
    VMS,
    start_cluster,
    withdrawal,
)
from rosemaryweir.config.tests.test_service import submit as send
from rosemaryweir.node.action import StoreDelete, StoreGet
from rosemaryweir.node.event import StoreFailed, StoreReply, Wake
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import NodeState, NodeUid
from rosemaryweir.testing.deployment import HALVORSEN, vm_settings

RETAINED = 3

#: One record, one chunk and one delta.
OBJECTS_PER_ATTEMPT = 3


def run_round(cleaner, store, now=0.0):
    """Run a clean-up round to its end; return its calls."""
    done = []
    waiting = list(cleaner.wake(now))
    while waiting:
        action = waiting.pop()
        done.append(action)
        waiting.extend(cleaner.take_reply(store.run(action)))
    return done


def write_notes(store, first, last):
    for number in range(first, last + 1):
        assert submit(store, f'n-{number}', number - 1).state == 'accepted'


def begin_attempt(store, base, puts, attempt='dead'):
    """Start an attempt and answer its first `puts` writes."""
    note = {'note': 'n-begun', 'format': 1, 'base': base}
    note['added'] = {'tenants': {'t-begun': {'weight': 1}}}
    writer = NoteWriter(note, 'note:1', attempt, 0.0)
    run_calls(writer, store, writer.begin())
    waiting = list(writer.write())
    for _ in range(puts):
        reply = store.run(waiting.pop())
        waiting.extend(writer.take_reply(reply, store.config()))
    return writer, waiting


def attempt_records(store, generation):
    record = f'config/attempt/{generation:012}-'
    return [key for key in store.objects if key.startswith(record)]


def test_stored_objects_stay_bounded_over_many_notes():
    store = MemoryStore()
    cleaner = ContentCleaner('clean', RETAINED, 0.0)
    for number in range(1, 101):
        write_notes(store, number, number)
        cleaner.schedule(number, 0.0)
        calls = run_round(cleaner, store)
        assert len(calls) <= 1 + OBJECTS_PER_ATTEMPT
    assert len(store.objects) == 1 + RETAINED * OBJECTS_PER_ATTEMPT
    assert len(store.config()['tenants']) == 100


def test_content_is_kept_for_the_retention_period():
    store = MemoryStore()
    write_notes(store, 1, 9)
    cleaner = ContentCleaner('clean', RETAINED, 60.0)
    cleaner.schedule(9, 5.0)
    assert cleaner.next_wake() == 65.0
    assert not run_round(cleaner, store, 64.9)
    run_round(cleaner, store, 65.0)
    assert not any(
        attempt_records(store, number)
        for number in range(1, MAX_RECORDS_PER_ROUND + 1)
    )
    assert attempt_records(store, MAX_RECORDS_PER_ROUND + 1)


@pytest.mark.parametrize('puts', range(5))
def test_objects_of_a_crashed_writer_are_deleted(puts):
    store = MemoryStore()
    begin_attempt(store, 0, puts)
    write_notes(store, 1, RETAINED + 1)
    cleaner = ContentCleaner('clean', RETAINED, 0.0)
    cleaner.schedule(RETAINED + 1, 0.0)
    run_round(cleaner, store)
    assert not attempt_records(store, 1)
    assert len(store.objects) == 1 + RETAINED * OBJECTS_PER_ATTEMPT


@pytest.mark.parametrize('puts', range(1, 5))
def test_writer_that_resumes_after_clean_up_leaves_nothing(puts):
    store = MemoryStore()
    writer, waiting = begin_attempt(store, 0, puts)
    write_notes(store, 1, RETAINED + 1)
    cleaner = ContentCleaner('clean', RETAINED, 0.0)
    cleaner.schedule(RETAINED + 1, 0.0)
    run_round(cleaner, store)
    run_calls(writer, store, waiting)
    assert writer.outcome.state == 'conflict'
    write_notes(store, RETAINED + 2, RETAINED + 2)
    cleaner.schedule(RETAINED + 2, 0.0)
    run_round(cleaner, store)
    assert len(store.objects) == 1 + RETAINED * OBJECTS_PER_ATTEMPT
    assert len(store.config()['tenants']) == RETAINED + 2


@pytest.mark.parametrize('calls', range(1, 5))
@pytest.mark.parametrize('takes_effect', [True, False])
def test_interrupted_round_is_completed(calls, takes_effect):
    store = MemoryStore()
    write_notes(store, 1, RETAINED + 1)
    one, other = (
        ContentCleaner(name, RETAINED, 0.0) for name in ('one', 'other')
    )
    one.schedule(RETAINED + 1, 0.0)
    waiting = list(one.wake(0.0))
    for _ in range(calls - 1):
        waiting = list(one.take_reply(store.run(waiting.pop())))
    action = waiting.pop()
    if takes_effect:
        store.run(action)
    one.take_failure(StoreFailed(action.call, 'unknown'), 0.0)
    assert one.next_wake() == RETRY_DELAY_S
    other.schedule(RETAINED + 1, 0.0)
    run_round(other, store)
    assert len(store.objects) == 1 + RETAINED * OBJECTS_PER_ATTEMPT
    run_round(one, store, RETRY_DELAY_S)
    assert len(store.objects) == 1 + RETAINED * OBJECTS_PER_ATTEMPT
    assert one.next_wake() is None


def test_concurrent_rounds_end():
    store = MemoryStore()
    write_notes(store, 1, RETAINED + 2)
    cleaners = [
        ContentCleaner(name, RETAINED, 0.0) for name in ('one', 'other')
    ]
    waiting = []
    for cleaner in cleaners:
        cleaner.schedule(RETAINED + 2, 0.0)
        waiting.extend((cleaner, action) for action in cleaner.wake(0.0))
    while waiting:
        cleaner, action = waiting.pop(0)
        more = cleaner.take_reply(store.run(action))
        waiting.extend((cleaner, each) for each in more)
    assert len(store.objects) == 1 + RETAINED * OBJECTS_PER_ATTEMPT


def test_delete_with_lost_refusal_ends_in_a_later_round():
    store = MemoryStore()
    write_notes(store, 1, RETAINED + 1)
    cleaner = ContentCleaner('clean', RETAINED, 0.0)
    cleaner.schedule(RETAINED + 1, 0.0)
    (listing,) = cleaner.wake(0.0)
    (first,) = cleaner.take_reply(store.run(listing))
    store.objects.pop(first.key)
    cleaner.take_failure(StoreFailed(first.call, 'unknown'), 0.0)
    calls = run_round(cleaner, store, RETRY_DELAY_S)
    assert first not in calls
    assert len(store.objects) == 1 + RETAINED * OBJECTS_PER_ATTEMPT
    assert cleaner.next_wake() is None


def test_deletes_for_one_note_are_bounded():
    store = MemoryStore()
    write_notes(store, 1, 50)
    cleaner = ContentCleaner('clean', RETAINED, 0.0)
    cleaner.schedule(50, 0.0)
    calls = run_round(cleaner, store)
    deletes = [each for each in calls if isinstance(each, StoreDelete)]
    assert len(deletes) == MAX_RECORDS_PER_ROUND * OBJECTS_PER_ATTEMPT


def keys_of(store, kind):
    return [key for key in store.objects if key.startswith(f'config/{kind}/')]


def submit_notes(cluster, count):
    for base in range(1, count + 1):
        note = withdrawal(base, f'n-{base}')
        note['changed']['domains'] = {}
        note['added'] = {'tenants': {f't-{base}': {'weight': 1}}}
        assert send(cluster, note).status == 200


def test_agents_delete_old_content(monkeypatch):
    monkeypatch.setattr(
        retention.ContentCleaner.__init__,
        '__defaults__',
        (RETAINED, 1.0),
    )
    cluster = start_cluster()
    submit_notes(cluster, 12)
    cluster.run(3)
    for kind in ('content', 'delta', 'attempt'):
        assert len(keys_of(cluster.store, kind)) == RETAINED
    cluster.start_vm(cluster.settings['vm-001'])
    cluster.run(4)
    states = [process.node.state for process in cluster.processes.values()]
    assert {state.config['generation'] for state in states} == {13}


def test_attempts_of_one_note_share_content_and_are_deleted_together():
    store = MemoryStore()
    one, first = begin_attempt(store, 0, 4, 'one')
    other, second = begin_attempt(store, 0, 2, 'other')
    assert first[0].key == HEAD_KEY
    run_calls(one, store, first)
    run_calls(other, store, second)
    assert one.outcome.state == 'accepted'
    assert len(attempt_records(store, 1)) == 2
    assert len(store.config()['tenants']) == 1
    write_notes(store, 2, RETAINED + 1)
    cleaner = ContentCleaner('clean', RETAINED, 0.0)
    cleaner.schedule(RETAINED + 1, 0.0)
    run_round(cleaner, store)
    assert len(store.objects) == 1 + RETAINED * OBJECTS_PER_ATTEMPT
    assert len(store.config()['tenants']) == RETAINED + 1


def test_reader_rereads_the_head_if_its_content_was_deleted(monkeypatch):
    store = MemoryStore()
    write_notes(store, 1, 2)
    settings = vm_settings(HALVORSEN, VMS)[0]
    state = NodeState(NodeUid('vm-000', 'agent', 1), settings)
    service = ConfigService(state, Random(1))
    monkeypatch.setattr(service.agent_state, 'watches_store', lambda: False)
    node = Node(state, [service])
    reads = head_reads(node.handle(Wake(), 1.0))
    old = store.run(reads[0])
    write_notes(store, 3, 3)
    waiting = store_reads(node.handle(old, 1.01))
    assert waiting
    while waiting:
        missing = StoreReply(waiting.pop().call, 'missing')
        waiting.extend(store_reads(node.handle(missing, 1.02)))
    assert service.next_wake() <= 1.02 + REREAD_DELAY_S
    (again,) = head_reads(node.handle(Wake(), 1.02 + REREAD_DELAY_S))
    waiting = store_reads(node.handle(store.run(again), 1.3))
    for action in waiting:
        node.handle(store.run(action), 1.4)
    node.handle(Wake(), 1.5)
    assert state.config['generation'] == 3


def head_reads(actions):
    return [each for each in store_reads(actions) if each.key == HEAD_KEY]


def store_reads(actions):
    return [each for each in actions if isinstance(each, StoreGet)]

"""Concurrent writers and cleaners with store faults at every call."""

import itertools

import hypothesis.strategies as st
import msgspec
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemaryweir.config.content import decode_config, join_chunks
from rosemaryweir.config.delta_chain import delta_key
from rosemaryweir.config.head import HEAD_KEY, NoteWriter, decode_head
from rosemaryweir.config.retention import ContentCleaner
from rosemaryweir.node.action import StoreDelete, StoreGet, StoreList
from rosemaryweir.node.event import StoreFailed, StoreObject, StoreReply
from rosemaryweir.node.state import empty_config

ABSENT = StoreObject('', 0, b'')
CALL_RESULTS = st.sampled_from(
    ['answered', 'answered', 'reply lost', 'write lost', 'late', 'refused'],
)


class MemoryStore:
    """Object store in memory that records the history of the head."""

    def __init__(self):
        self.objects = {}
        self.versions = itertools.count(1)
        self.heads = []
        self.delayed = []

    def run(self, action):
        if isinstance(action, StoreList):
            keys = [
                key for key in self.objects if key.startswith(action.prefix)
            ]
            listed = tuple(self.objects[key] for key in sorted(keys))
            return StoreReply(action.call, 'ok', listed)
        found = self.objects.get(action.key, ABSENT)
        if isinstance(action, StoreGet):
            objects = (found,) if found.version else ()
            status = 'ok' if objects else 'missing'
            return StoreReply(action.call, status, objects)
        if found.version != action.expected:
            return StoreReply(action.call, 'conflict', (found,))
        if isinstance(action, StoreDelete):
            self.objects.pop(action.key, None)
            return StoreReply(action.call, 'ok')
        new = StoreObject(action.key, next(self.versions), action.content)
        self.objects[action.key] = new
        if action.key == HEAD_KEY:
            self.heads.append(decode_head(new))
        return StoreReply(action.call, 'ok', (new,))

    def config(self):
        if not self.heads:
            return empty_config()
        head = self.heads[-1]
        chunks = [self.objects[key].content for key in head['chunks']]
        return decode_config(join_chunks(chunks, head['digest']))


class HeadMachine(RuleBasedStateMachine):
    """Writers at several agents, each with at most one open call."""

    def __init__(self):
        super().__init__()
        self.store = MemoryStore()
        self.now = 0.0
        self.numbers = itertools.count()
        self.writers = []
        self.calls = {}
        self.cleaners = [ContentCleaner(f'clean-{n}', 1, 0.0) for n in range(2)]
        self.open_cleanups = {}

    @rule(again=st.booleans(), current=st.booleans())
    def submit(self, again, current):
        """An operator sends a new note or repeats the latest one."""
        if again and self.writers:
            note = self.writers[-1].note
        else:
            number = next(self.numbers)
            generation = len(self.store.heads)
            note = {
                'note': f'n-{number}',
                'format': 1,
                'base': generation if current else max(0, generation - 1),
                'added': {'tenants': {f't-{number}': {'weight': 1}}},
            }
        name = f'a-{len(self.writers)}'
        writer = NoteWriter(note, f'note:{name}', name, self.now)
        self.writers.append(writer)
        self.take(writer, writer.begin())

    @rule(number=st.integers(0, 20), result=CALL_RESULTS)
    def end_call(self, number, result):
        """One call ends with a reply or a failure."""
        if not self.calls:
            return
        writer = sorted(self.calls, key=self.writers.index)[
            number % len(self.calls)
        ]
        action = self.calls.pop(writer)
        if result == 'answered':
            reply = self.store.run(action)
            self.take(writer, writer.take_reply(reply, self.store.config()))
            return
        if result == 'reply lost':
            self.store.run(action)
        if result == 'late':
            self.store.delayed.append(action)
        reason = 'unavailable' if result == 'refused' else 'unknown'
        assert writer.take_failure(StoreFailed(action.call, reason), self.now)

    @rule(number=st.integers(0, 1))
    def begin_cleanup(self, number):
        """One of two agents starts to delete all but the newest generation."""
        cleaner = self.cleaners[number]
        if cleaner.next_wake() is None and cleaner not in self.open_cleanups:
            cleaner.schedule(len(self.store.heads), self.now)
        self.take_cleanup(cleaner, cleaner.wake(self.now))

    @rule(
        number=st.integers(0, 1),
        steps=st.integers(1, 8),
        result=CALL_RESULTS,
    )
    def continue_cleanup(self, number, steps, result):
        """Calls of a round succeed; the open one may then fail."""
        cleaner = self.cleaners[number]
        for _ in range(steps):
            if cleaner in self.open_cleanups:
                reply = self.store.run(self.open_cleanups.pop(cleaner))
                self.take_cleanup(cleaner, cleaner.take_reply(reply))
        action = self.open_cleanups.get(cleaner)
        if action is not None and result != 'answered':
            del self.open_cleanups[cleaner]
            if result == 'reply lost':
                self.store.run(action)
            failed = StoreFailed(action.call, 'unknown')
            cleaner.take_failure(failed, self.now - 10)

    def take_cleanup(self, cleaner, actions):
        for action in actions:
            assert cleaner not in self.open_cleanups
            self.open_cleanups[cleaner] = action

    @rule()
    def apply_delayed_write(self):
        """A write that was reported as failed takes effect later."""
        if self.store.delayed:
            self.store.run(self.store.delayed.pop(0))

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def advance_time(self, seconds):
        self.now += seconds
        for writer in self.writers:
            self.take(writer, writer.wake(self.now))
            if writer.step == 'syncing':
                writer.resume(self.store.config())
            if writer.step == 'announcing' and writer not in self.calls:
                self.take(writer, writer.write())

    def take(self, writer, actions):
        for action in actions:
            assert writer not in self.calls
            self.calls[writer] = action

    @invariant()
    def generations_form_a_chain(self):
        generations = [head['generation'] for head in self.store.heads]
        assert generations == list(range(1, len(generations) + 1))

    @invariant()
    def no_note_is_applied_twice(self):
        notes = [head['note'] for head in self.store.heads]
        assert len(set(notes)) == len(notes)

    @invariant()
    def outcomes_match_the_heads(self):
        made = {head['note']: head['generation'] for head in self.store.heads}
        for writer in self.writers:
            outcome = writer.outcome
            if outcome is None:
                continue
            name = writer.note['note']
            if outcome.state in {'accepted', 'already'}:
                assert made[name] == outcome.generation
            if outcome.state == 'store_down':
                others = [
                    other
                    for other in self.writers
                    if other.note is writer.note and other is not writer
                ]
                assert name not in made or others

    @invariant()
    def delta_of_newest_generation_is_stored(self):
        if self.store.heads:
            newest = self.store.heads[-1]['recent'][0]
            assert delta_key(newest['digest']) in self.store.objects

    @invariant()
    def accepted_notes_are_in_force(self):
        accepted = {head['note'] for head in self.store.heads}
        tenants = self.store.config()['tenants']
        assert set(tenants) == {f't-{name[2:]}' for name in accepted}


HeadMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
test_head_machine = HeadMachine.TestCase


def run_calls(writer, store, actions):
    for action in actions:
        reply = store.run(action)
        more = writer.take_reply(reply, store.config())
        run_calls(writer, store, more)


def submit(store, name, base, attempt='a'):
    note = {'note': name, 'format': 1, 'base': base}
    note['added'] = {'tenants': {f't-{name[2:]}': {'weight': 1}}}
    writer = NoteWriter(note, 'note:1', attempt, 0.0)
    run_calls(writer, store, writer.begin())
    if writer.step == 'announcing':
        run_calls(writer, store, writer.write())
    return writer.outcome


def test_note_sent_again_is_not_applied_again():
    store = MemoryStore()
    assert submit(store, 'n-1', 0).state == 'accepted'
    assert submit(store, 'n-1', 0) == ('already', 1, '', (), ())
    assert len(store.heads) == 1


def test_conflict_names_the_note_applied_before():
    store = MemoryStore()
    submit(store, 'n-1', 0)
    outcome = submit(store, 'n-2', 0)
    assert outcome.state == 'conflict'
    assert 'n-1 made generation 1 (tenants.t-1)' in outcome.detail


def test_content_is_split_into_values_below_the_size_limit():
    store = MemoryStore()
    note = {'note': 'n-1', 'format': 1, 'base': 0}
    note['added'] = {
        'tenants': {f't-{number}': {'weight': 1} for number in range(60_000)},
    }
    writer = NoteWriter(note, 'note:1', 'a', 0.0)
    run_calls(writer, store, writer.begin())
    run_calls(writer, store, writer.write())
    assert writer.outcome.state == 'accepted'
    sizes = [len(obj.content) for obj in store.objects.values()]
    assert len(sizes) > 2
    assert max(sizes) <= 1_000_000
    assert len(msgspec.json.encode(store.heads[-1])) < 10_000
    assert len(store.config()['tenants']) == 60_000

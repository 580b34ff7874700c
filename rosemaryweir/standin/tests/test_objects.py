"""Tests the stand-in store against a simple model (stateful test)."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemaryweir.standin.objects import ObjectStore

KEYS = st.sampled_from(['a', 'a/1', 'a/2', 'b'])


class StoreMachine(RuleBasedStateMachine):
    """Writes need the expected version; watches miss no change."""

    def __init__(self):
        super().__init__()
        self.store = ObjectStore()
        self.model = {}
        self.versions = set()
        self.seen = {}
        self.revision = 0

    @rule(key=KEYS, content=st.binary(max_size=3), fresh=st.booleans())
    def put(self, key, content, fresh):
        version = self.model.get(key, (0, b''))[0]
        expected = version if fresh else version + 1
        outcome = self.store.put(key, expected, content)
        assert outcome.written is fresh
        if fresh:
            assert outcome.item.version not in self.versions
            self.versions.add(outcome.item.version)
            self.model[key] = (outcome.item.version, content)
        else:
            assert outcome.item.version == version

    @rule(key=KEYS, fresh=st.booleans())
    def delete(self, key, fresh):
        version = self.model.get(key, (0, b''))[0]
        outcome = self.store.delete(key, version if fresh else version + 1)
        assert outcome.written is fresh
        if fresh:
            self.model.pop(key, None)

    @rule()
    def watch(self):
        for change in self.store.changes_since('a', self.revision):
            assert change.revision > self.revision
            self.revision = change.revision
            if change.item.version:
                self.seen[change.item.key] = change.item
            else:
                self.seen.pop(change.item.key, None)
        self.revision = self.store.revision
        listed = {item.key: item for item in self.store.list('a')}
        assert self.seen == listed

    @invariant()
    def equals_the_model(self):
        found = {
            item.key: (item.version, item.content)
            for item in self.store.list('')
        }
        assert found == self.model
        assert len(self.store) == len(self.model)


StoreMachine.TestCase.settings = settings(derandomize=True, max_examples=60)
TestStoreMachine = StoreMachine.TestCase


def test_store_reports_that_old_changes_are_dropped():
    store = ObjectStore()
    version = 0
    for _ in range(10_050):
        version = store.put('a', version, b'').item.version
    assert not store.has_all_changes_since(10)
    assert store.has_all_changes_since(store.revision)
    assert not store.has_all_changes_since(store.revision + 1)

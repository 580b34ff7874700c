"""The stand-in store against a plain model, as a state machine."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemaryweir.standin.objects import ObjectStore

KEYS = st.sampled_from(['a', 'a/1', 'a/2', 'b'])


class StoreMachine(RuleBasedStateMachine):
    """Writes take effect only at the expected version; watches miss none."""

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
        for change in self.store.since('a', self.revision):
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
    def agrees_with_the_model(self):
        found = {
            item.key: (item.version, item.content)
            for item in self.store.list('')
        }
        assert found == self.model
        assert len(self.store) == len(self.model)


StoreMachine.TestCase.settings = settings(derandomize=True, max_examples=60)
TestStoreMachine = StoreMachine.TestCase


def test_history_is_bounded_and_says_so():
    store = ObjectStore()
    version = 0
    for _ in range(10_050):
        version = store.put('a', version, b'').item.version
    assert not store.remembers(10)
    assert store.remembers(store.revision)
    assert not store.remembers(store.revision + 1)

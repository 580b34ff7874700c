"""Tables hold the newest state, whoever tells it and in whatever order."""

from hypothesis import given
from hypothesis import strategies as st

from rosemaryweir.catalog.relay import relay_answer, take_relayed
from rosemaryweir.catalog.table import Change, ObjectTable

HISTORY = st.lists(
    st.tuples(st.sampled_from('abc'), st.booleans()),
    min_size=1,
    max_size=20,
)


def changes_of(history):
    return [
        Change(name, revision, None if removed else {'at': revision})
        for revision, (name, removed) in enumerate(history, start=1)
    ]


def state(table):
    return {change.name: change.revision for change in table.live()}


@given(HISTORY, st.randoms())
def test_any_order_of_news_gives_the_same_state(history, rng):
    changes = changes_of(history)
    right = ObjectTable()
    right.update(changes, len(changes))
    shuffled = [*changes, *rng.sample(changes, len(changes) // 2)]
    rng.shuffle(shuffled)
    table = ObjectTable()
    for change in shuffled:
        table.update([change], 0)
    assert state(table) == state(right)


@given(HISTORY, st.integers(min_value=0, max_value=20))
def test_a_relay_brings_another_vm_up_to_date(history, cut):
    changes = changes_of(history)
    cut = min(cut, len(changes))
    behind = ObjectTable()
    behind.update(changes[:cut], cut)
    ahead = ObjectTable()
    ahead.update(changes, len(changes))
    take_relayed(behind, relay_answer(ahead, behind.complete))
    assert state(behind) == state(ahead)
    assert behind.complete == len(changes)


def test_an_old_list_takes_nothing_back():
    table = ObjectTable()
    table.update([Change('a', 9, {'new': True})], 9)
    table.replace([Change('a', 3, {'old': True})], 5)
    assert state(table) == {'a': 9}
    table.replace([], 5)
    assert state(table) == {'a': 9}

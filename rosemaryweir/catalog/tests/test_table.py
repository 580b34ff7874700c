"""Tests that a table holds the newest state, from any source in any order."""

from hypothesis import given
from hypothesis import strategies as st

from rosemaryweir.catalog.relay import apply_relay_answer, build_relay_answer
from rosemaryweir.catalog.table import ObjectTable, ObjectVersion

HISTORY = st.lists(
    st.tuples(st.sampled_from('abc'), st.booleans()),
    min_size=1,
    max_size=20,
)


def to_changes(history):
    return [
        ObjectVersion(name, revision, None if removed else {'at': revision})
        for revision, (name, removed) in enumerate(history, start=1)
    ]


def revisions(table):
    return {change.name: change.revision for change in table.existing()}


@given(HISTORY, st.randoms())
def test_any_order_of_changes_gives_the_same_state(history, rng):
    changes = to_changes(history)
    in_order = ObjectTable()
    in_order.merge_changes(changes, len(changes))
    shuffled = [*changes, *rng.sample(changes, len(changes) // 2)]
    rng.shuffle(shuffled)
    table = ObjectTable()
    for change in shuffled:
        table.merge_changes([change], 0)
    assert revisions(table) == revisions(in_order)


@given(HISTORY, st.integers(min_value=0, max_value=20))
def test_a_relay_brings_another_vm_up_to_date(history, cut):
    changes = to_changes(history)
    cut = min(cut, len(changes))
    behind = ObjectTable()
    behind.merge_changes(changes[:cut], cut)
    ahead = ObjectTable()
    ahead.merge_changes(changes, len(changes))
    apply_relay_answer(
        behind, build_relay_answer(ahead, behind.complete_revision)
    )
    assert revisions(behind) == revisions(ahead)
    assert behind.complete_revision == len(changes)


def test_an_old_list_reverts_no_newer_change():
    table = ObjectTable()
    table.merge_changes([ObjectVersion('a', 9, {'new': True})], 9)
    table.merge_list([ObjectVersion('a', 3, {'old': True})], 5)
    assert revisions(table) == {'a': 9}
    table.merge_list([], 5)
    assert revisions(table) == {'a': 9}

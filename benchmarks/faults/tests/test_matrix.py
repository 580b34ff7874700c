"""Runs the mutations and a sample of the fault matrix."""

import pytest

from benchmarks.faults.mutations import mutations
from benchmarks.faults.promises import promises
from benchmarks.matrix import diagonal, finds_mutation, pairs, run_cell

SEED = 1


@pytest.mark.parametrize('name', sorted(mutations()))
def test_a_mutation_is_found(name):
    assert finds_mutation(mutations()[name])


def test_every_promise_has_a_mutation():
    broken = {each.promise for each in mutations().values()}
    assert broken == {name.partition(' ')[0] for name in promises()}


@pytest.mark.parametrize(
    'cell',
    [*diagonal(SEED), *pairs(SEED, 4)],
    ids=lambda cell: f'{cell.step}/{"+".join(cell.faults)}',
)
def test_a_cell_keeps_every_promise(cell):
    cell_result = run_cell(cell)
    assert cell_result.violations == []

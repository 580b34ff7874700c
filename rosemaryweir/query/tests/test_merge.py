"""Tests that a merge never mixes versions, in any order of partials."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from rosemaryweir.query.merge import Merge

LAYOUT = 3
SHARDS = [f's{number}' for number in range(6)]
VERSIONS = st.integers(1, 4)


class MergeMachine(RuleBasedStateMachine):
    """Adds partials of any shard, layout and version, with duplicates."""

    @initialize()
    def start_merge(self):
        self.merge = Merge(LAYOUT, SHARDS)
        self.first = {}

    @rule(
        shard=st.sampled_from(SHARDS),
        layout=st.integers(LAYOUT - 1, LAYOUT + 1),
        version=VERSIONS,
        copy=st.integers(0, 3),
    )
    def add_partial(self, shard, layout, version, copy):
        rows = [[shard, f'{shard}@{layout}.{version}#{copy}']]
        is_first = layout == LAYOUT and (version, shard) not in self.first
        assert self.merge.add(shard, layout, version, rows) == is_first
        if is_first:
            self.first[version, shard] = rows[0][1]

    @invariant()
    def answers_match_the_partials(self):
        best = self.merge.best_version(2)
        assert self.merge.covered_count(best) == max(
            [0, *map(self.merge.covered_count, self.merge.versions())],
        )
        for version in range(1, 5):
            self.check(version, self.merge.answer(version))

    def check(self, version, merged):
        coverage = merged.coverage
        assert merged.snapshot == {'layout': LAYOUT, 'version': version}
        assert coverage['total'] == len(SHARDS)
        assert coverage['covered'] + len(coverage['missing']) == len(SHARDS)
        assert [row['shard'] for row in merged.rows] == [
            shard for shard in SHARDS if shard not in coverage['missing']
        ]
        for row in merged.rows:
            assert row['text'] == self.first[version, row['shard']]
            assert row['text'].partition('#')[0] == (
                f'{row["shard"]}@{LAYOUT}.{version}'
            )


MergeMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
)
TestMerge = MergeMachine.TestCase

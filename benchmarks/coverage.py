"""Benchmark ``coverage``: stated coverage while replicas and layouts change.

Answers are checked against their rows: each row states the layout and version
from which a target served it, and a target runs only what was sent to it.
"""

from collections.abc import Callable, Iterator
from copy import deepcopy
from random import Random
from typing import Any, NamedTuple

from benchmarks.query_load import SERVICE, QueryLoad, make_cluster
from benchmarks.report import Report, at_least, at_most, benchmark
from rosemaryweir.schema.generated.config import ClassPolicy, Shard
from rosemaryweir.testing import Ask, Cluster

__all__ = ['coverage']

SHARDS = 2
SPLIT_SHARDS = 3
ANSWER_COUNT = 50300
QUERIES_PER_S = 200.0
#: Time between index changes, and time in which targets switch.
INDEX_INTERVAL_S = 3.0
INDEX_SPREAD_S = 1.0
#: Time for which a target also serves the previous version.
OVERLAP_S = 2.0
LOSS_INTERVAL_S = 2.0
LOSS_DURATION_S = 1.0
LAYOUT_INTERVAL_S = 9.0
LAYOUT_SPREAD_S = 0.3
RUN_STEP_S = 0.5
SLOTS = 8
DEADLINE_MS = 1000


class AnswerCheck(NamedTuple):
    """Names of the wrong statements in an answer, and its coverage."""

    faults: tuple[str, ...]
    coverage: float


class TargetChurn:
    """Changes targets, index versions and layouts during the load.

    ``layouts`` maps each layout to its shards; a target serves one layout.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.rng = Random(seed)
        self.version = 1
        self.layouts = {1: set(self._service()['shards'])}
        self._after(INDEX_INTERVAL_S, self.change_index)
        self._after(LOSS_INTERVAL_S, self.stop_replicas)
        self._after(LAYOUT_INTERVAL_S, self.repartition)

    def change_index(self) -> None:
        """Add a new version to all targets at random times."""
        self.version += 1
        for target in self.cluster.targets.values():
            wait = self.rng.random() * INDEX_SPREAD_S
            self._after(wait, self._add_version, target, self.version)
            self._after(
                wait + OVERLAP_S, self._drop_older, target, self.version
            )
        self._after(INDEX_INTERVAL_S, self.change_index)

    def stop_replicas(self) -> None:
        """Stop one replica of each shard for `LOSS_DURATION_S`."""
        for shard in self._service()['shards'].values():
            target = self.cluster.targets[self.rng.choice(shard['targets'])]
            if target.up:
                target.stop()
                self._after(LOSS_DURATION_S, self._restart, target)
        self._after(LOSS_INTERVAL_S, self.stop_replicas)

    def repartition(self) -> None:
        """Change to a layout with another number of shards, on new targets.

        The old targets stay, as queries pinned to their layout still run.
        """
        config = deepcopy(self.cluster.config)
        service = config['services'][SERVICE]
        layout = service['layout'] + 1
        count = SPLIT_SHARDS if layout % 2 == 0 else SHARDS
        old = list(config['targets'].values())
        service['layout'] = layout
        service['shards'] = {
            f'{SERVICE}-l{layout}-{shard}': Shard(
                targets=[
                    f'{SERVICE}-l{layout}-{shard}-{replica}'
                    for replica in range(3)
                ],
            )
            for shard in range(count)
        }
        names = [
            name
            for shard in service['shards'].values()
            for name in shard['targets']
        ]
        for place, name in enumerate(names):
            config['targets'][name] = deepcopy(old[place % len(old)])
            config['targets'][name]['domain'] = 'abc'[place % 3]
        config['generation'] += 1
        self.layouts[layout] = set(service['shards'])
        self._create(config, names)
        self._after(LAYOUT_SPREAD_S, self.cluster.set_config, config)
        self._after(LAYOUT_INTERVAL_S, self.repartition)

    def _create(self, config: Any, names: list[str]) -> None:
        self.cluster.add_targets(config)
        for name in names:
            target = self.cluster.targets[name]
            target.cold = False
            target.versions = (self.version,)

    def _service(self) -> Any:
        return self.cluster.config['services'][SERVICE]

    def _add_version(self, target: Any, version: int) -> None:
        target.versions = (*target.versions, version)

    def _drop_older(self, target: Any, version: int) -> None:
        target.versions = tuple(
            each for each in target.versions if each >= version
        )

    def _restart(self, target: Any) -> None:
        target.start()
        target.cold = False

    def _after(self, wait: float, call: Callable[..., Any], *args: Any) -> None:
        self.cluster.scheduler.after(wait, call, *args)


def check_answer(answer: Any, layouts: dict[int, set[str]]) -> AnswerCheck:
    """Compare the statements of an answer with its rows."""
    snapshot = answer['snapshot']
    claimed = answer['coverage']
    shards = layouts[snapshot['layout']]
    served = {row['shard'] for row in answer['rows']}
    expected = f'{snapshot["layout"]}.{snapshot["version"]}'
    faults = dict(_faults(answer, claimed, shards, served))
    mixed = [
        row
        for row in answer['rows']
        if row['text'] != f'{row["shard"]}@{expected}'
    ]
    faults['mixed snapshot'] = bool(mixed)
    return AnswerCheck(
        tuple(name for name, holds in faults.items() if holds),
        claimed['covered'] / claimed['total'],
    )


def _faults(
    answer: Any,
    claimed: Any,
    shards: set[str],
    served: set[str],
) -> Iterator[tuple[str, bool]]:
    yield 'wrong total', claimed['total'] != len(shards)
    yield 'wrong covered', claimed['covered'] != len(served)
    yield 'wrong missing', set(claimed['missing']) != shards - served
    yield 'shard twice', len(answer['rows']) != len(served)
    yield 'unknown shard', not served <= shards
    complete = claimed['covered'] == claimed['total']
    yield 'wrong outcome', (answer['outcome'] == 'complete') != complete


def _policy() -> ClassPolicy:
    return ClassPolicy(
        deadline_ms=DEADLINE_MS,
        answer='complete',
        coverage_floor=0.9,
    )


def _run(seed: int, count: int) -> tuple[list[Ask], TargetChurn]:
    cluster = make_cluster(SHARDS, seed, SLOTS, _policy())
    churn = TargetChurn(cluster, seed)
    load = QueryLoad(cluster, QUERIES_PER_S, seed)
    asks: list[Ask] = []
    while len(asks) < count:
        asks.extend(load.run(RUN_STEP_S))
        for target in cluster.targets.values():
            target.runs.clear()
    cluster.run(DEADLINE_MS / 1000)
    return asks, churn


@benchmark('coverage')
def coverage(seed: int, quick: bool) -> Report:
    """Count untrue answers and measure their coverage."""
    asks, churn = _run(seed, ANSWER_COUNT)
    answers = [ask.answer for ask in asks if ask.status == 200]
    answer_checks = [check_answer(answer, churn.layouts) for answer in answers]
    faults = [
        fault for answer_check in answer_checks for fault in answer_check.faults
    ]
    mean = sum(answer_check.coverage for answer_check in answer_checks) / len(
        asks
    )
    untrue = sum(1 for answer_check in answer_checks if answer_check.faults)
    return Report(
        'coverage',
        seed,
        {
            'asked': len(asks),
            'answers': len(answers),
            'complete': sum(
                answer_check.coverage == 1 for answer_check in answer_checks
            ),
            'snapshots': len(
                {tuple(answer['snapshot'].values()) for answer in answers}
            ),
            'faults': {name: faults.count(name) for name in set(faults)},
        },
        {},
        (
            at_least('answers', len(answers), 50000),
            at_most('untrue answers', untrue, 0),
            at_least('mean coverage of all asked', mean, 0.999),
        ),
    )

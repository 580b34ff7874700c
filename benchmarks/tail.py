"""Benchmark ``tail``: tail latency with 5% of the targets ten times slower.

Queries use 120 shards.  The load is 60% of the capacity of the weakest shard,
in which one of three targets is a straggler.  All runs have the same targets,
stragglers and arrivals; they differ in hedging and in the choice of replicas.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from time import perf_counter
from typing import Any, NamedTuple

from benchmarks.query_load import (
    SERVICE,
    SLOT_HELD_S,
    QueryLoad,
    make_cluster,
    quantile,
    query_services,
)
from benchmarks.report import Report, at_least, at_most, benchmark
from rosemaryweir.query.budget import TokenBudget
from rosemaryweir.query.hedge import Hedging
from rosemaryweir.query.observed_target import VersionKey
from rosemaryweir.query.replica import EXCLUDED_SCORE, Replica, score
from rosemaryweir.query.service import QueryService
from rosemaryweir.query.service_state import ServiceState
from rosemaryweir.testing import Ask, Cluster

__all__ = ['tail']

SHARDS = 120
REPLICAS = 3
SLOTS = 3
STRAGGLING_SHARE = 0.05
SLOWDOWN = 10
LOAD_SHARE = 0.6
# Time to warm up, and then until entries have detected the stragglers.
WARM_UP_S = 0.6
ONSET_S = 2.5
#: The baseline never detects stragglers and needs no such time.
BASELINE_ONSET_S = 0.5
# Duration of the measurement.
MEASURED_S = 20.0
QUICK_MEASURED_S = 1.2
SETTLE_S = 2.2
UNANSWERED_LATENCY_S = 2.0
MS_PER_S = 1000


class TailResult(NamedTuple):
    """Result of one run; latencies are in ms."""

    queries: int
    complete: float
    p50: float
    p99: float
    p999: float
    onset_p99: float
    extra: float
    runs: float
    us_per_piece: float


def choose_random_replica(
    replicas: Sequence[Replica],
    key: VersionKey,
    rng: Random,
    now: float,
) -> Replica | None:
    """Return a random replica that may serve."""
    able = [each for each in replicas if score(each, key, now) < EXCLUDED_SCORE]
    return rng.choice(able) if able else None


class NoHedging(Hedging):
    """Hedging with an empty budget."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = TokenBudget(0, 0)


class UnlimitedHedging(Hedging):
    """Hedging with an unlimited budget."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = TokenBudget(float('inf'), float('inf'))


def hedge_with(kind: Callable[[], Hedging]) -> Callable[[QueryService], None]:
    """Return a function that replaces the hedging of an entry."""

    def prepare(part: QueryService) -> None:
        service_state = ServiceState(SERVICE)
        hedging = kind()
        service_state.hedging = lambda class_name: hedging  # type: ignore[method-assign]
        part.service_states[SERVICE] = service_state

    return prepare


def disable_hedging(part: QueryService) -> None:
    """Make the entry choose random replicas and never hedge."""
    hedge_with(NoHedging)(part)
    part.runner.choose_first = choose_random_replica


def keep_hedging(part: QueryService) -> None:
    """Leave the hedging of the entry unchanged."""


def choose_stragglers(seed: int) -> list[str]:
    """Return the stragglers, each in another shard."""
    rng = Random(seed)
    count = int(SHARDS * REPLICAS * STRAGGLING_SHARE)
    return [
        f'{SERVICE}-{shard:03d}-{rng.randrange(REPLICAS)}'
        for shard in rng.sample(range(SHARDS), count)
    ]


def capacity() -> float:
    """Return the queries per second that the weakest shard can serve."""
    healthy = REPLICAS - 1 + 1 / SLOWDOWN
    return healthy * SLOTS / SLOT_HELD_S


def run_load(
    seed: int,
    seconds: float,
    prepare: Callable[[QueryService], None],
    onset_s: float = ONSET_S,
) -> TailResult:
    """Measure one run of the load."""
    cluster = make_cluster(SHARDS, seed, SLOTS)
    for part in query_services(cluster):
        prepare(part)
    load = QueryLoad(cluster, LOAD_SHARE * capacity(), seed)
    load.run(WARM_UP_S)
    for name in choose_stragglers(seed):
        cluster.targets[name].factor = SLOWDOWN
    onset = load.run(onset_s)
    before = _attempt_counts(cluster)
    started = perf_counter()
    asks = load.run(seconds, SETTLE_S)
    spent = perf_counter() - started
    first, extra, runs = (
        after - then
        for after, then in zip(_attempt_counts(cluster), before, strict=True)
    )
    times = _latencies_ms(asks)
    statuses = Counter((ask.answer or {}).get('outcome') for ask in asks)
    return TailResult(
        queries=len(asks),
        complete=statuses['complete'] / len(asks),
        p50=quantile(times, 0.5),
        p99=quantile(times, 0.99),
        p999=quantile(times, 0.999),
        onset_p99=quantile(_latencies_ms(onset), 0.99),
        extra=extra / first,
        runs=runs / first,
        us_per_piece=spent / first * 1e6,
    )


def _latencies_ms(asks: Sequence[Ask]) -> list[float]:
    """Return latencies of complete answers, else `UNANSWERED_LATENCY_S`."""
    return [MS_PER_S * _latency_s(ask) for ask in asks]


def _latency_s(ask: Ask) -> float:
    return (
        ask.answered - ask.asked if _is_complete(ask) else UNANSWERED_LATENCY_S
    )


def _is_complete(ask: Ask) -> bool:
    return ask.status == 200 and ask.answer['outcome'] == 'complete'


def _attempt_counts(cluster: Cluster) -> tuple[int, int, int]:
    parts = list(query_services(cluster))
    return (
        sum(part.runner.first_attempts for part in parts),
        sum(part.runner.extra_attempts for part in parts),
        sum(len(target.runs) for target in cluster.targets.values()),
    )


def _figures(result: TailResult) -> dict[str, Any]:
    return {name: round(value, 4) for name, value in result._asdict().items()}


@benchmark('tail')
def tail(seed: int, quick: bool) -> Report:
    """Run with and without hedging, and with hedging without a budget."""
    seconds = QUICK_MEASURED_S if quick else MEASURED_S
    measured = run_load(seed, seconds, keep_hedging)
    baseline = run_load(seed, seconds, disable_hedging, BASELINE_ONSET_S)
    baselines = {'no_hedge_random_replica': _figures(baseline)}
    if not quick:
        baselines['no_hedge'] = _figures(
            run_load(seed, seconds, hedge_with(NoHedging)),
        )
        baselines['hedge_without_budget'] = _figures(
            run_load(seed, seconds, hedge_with(UnlimitedHedging)),
        )
    return Report(
        'tail',
        seed,
        {'load_queries_per_s': round(LOAD_SHARE * capacity(), 1)}
        | _figures(measured),
        baselines,
        (
            at_most(
                'p99 against no hedging', measured.p99 / baseline.p99, 1 / 5
            ),
            at_most(
                'p99.9 against no hedging',
                measured.p999 / baseline.p999,
                1 / 10,
            ),
            at_most('extra attempts', measured.extra, 0.05),
            at_most('p99 in ms', measured.p99, 96),
            at_least('share of complete answers', measured.complete, 0.999),
        ),
    )

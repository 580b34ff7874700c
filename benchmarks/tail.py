"""Tail latency with stragglers: 120-server queries, 5% of targets at 10x.

The load is 60% of the capacity of the targets as they are: that of the weakest
shard, of which one target in three straggles.  Every run has the same targets,
stragglers and arrivals; the runs differ in what the entries may do.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from time import perf_counter
from typing import Any, NamedTuple

from benchmarks.query_load import (
    HELD_S,
    SERVICE,
    Load,
    entries,
    make_cluster,
    quantile,
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
SLOWNESS = 10
LOAD_SHARE = 0.6
#: Time to warm up, and to get to know the stragglers, in seconds.
WARM_S = 0.6
ONSET_S = 2.5
#: The baseline needs no time to get to know them: it never does.
ONSET_BASELINE_S = 0.5
#: Time measured, in seconds.
MEASURED_S = 20.0
MEASURED_QUICK_S = 1.2
SETTLE_S = 2.2
UNANSWERED_S = 2.0
MS = 1000


class Tail(NamedTuple):
    """What one run showed; times in ms."""

    queries: int
    complete: float
    p50: float
    p99: float
    p999: float
    onset_p99: float
    extra: float
    runs: float
    us_per_piece: float


def random_replica(
    replicas: Sequence[Replica],
    key: VersionKey,
    rng: Random,
    now: float,
) -> Replica | None:
    """Choose any replica that may serve."""
    able = [each for each in replicas if score(each, key, now) < EXCLUDED_SCORE]
    return rng.choice(able) if able else None


class NoHedging(Hedging):
    """Hedging without a budget to spend."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = TokenBudget(0, 0)


class Unbounded(Hedging):
    """Hedging whose budget never ends."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = TokenBudget(float('inf'), float('inf'))


def hedge_with(kind: Callable[[], Hedging]) -> Callable[[QueryService], None]:
    """Return what gives the entry another kind of hedging."""

    def prepare(part: QueryService) -> None:
        service_state = ServiceState(SERVICE)
        hedging = kind()
        service_state.hedging = lambda class_name: hedging  # type: ignore[method-assign]
        part.service_states[SERVICE] = service_state

    return prepare


def no_hedge(part: QueryService) -> None:
    """Let the entry take random replicas and never hedge."""
    hedge_with(NoHedging)(part)
    part.runner.choose_first = random_replica


def as_it_is(part: QueryService) -> None:
    """Leave the entry as it is."""


def stragglers(seed: int) -> list[str]:
    """Return the stragglers: as many shards have one as there are."""
    rng = Random(seed)
    count = int(SHARDS * REPLICAS * STRAGGLING_SHARE)
    return [
        f'{SERVICE}-{shard:03d}-{rng.randrange(REPLICAS)}'
        for shard in rng.sample(range(SHARDS), count)
    ]


def capacity() -> float:
    """Return the queries a second that the weakest shard bears."""
    healthy = REPLICAS - 1 + 1 / SLOWNESS
    return healthy * SLOTS / HELD_S


def run_one(
    seed: int,
    seconds: float,
    prepare: Callable[[QueryService], None],
    onset_s: float = ONSET_S,
) -> Tail:
    """Run the load once."""
    cluster = make_cluster(SHARDS, seed, SLOTS)
    for part in entries(cluster):
        prepare(part)
    load = Load(cluster, LOAD_SHARE * capacity(), seed)
    load.run(WARM_S)
    for name in stragglers(seed):
        cluster.targets[name].factor = SLOWNESS
    onset = load.run(onset_s)
    before = _counts(cluster)
    started = perf_counter()
    asks = load.run(seconds, SETTLE_S)
    spent = perf_counter() - started
    first, extra, runs = (
        after - then
        for after, then in zip(_counts(cluster), before, strict=True)
    )
    times = _times(asks)
    statuses = Counter((ask.answer or {}).get('outcome') for ask in asks)
    return Tail(
        queries=len(asks),
        complete=statuses['complete'] / len(asks),
        p50=quantile(times, 0.5),
        p99=quantile(times, 0.99),
        p999=quantile(times, 0.999),
        onset_p99=quantile(_times(onset), 0.99),
        extra=extra / first,
        runs=runs / first,
        us_per_piece=spent / first * 1e6,
    )


def _times(asks: Sequence[Ask]) -> list[float]:
    """Return the times to a complete answer; without one, the deadline."""
    return [MS * _time(ask) for ask in asks]


def _time(ask: Ask) -> float:
    return ask.answered - ask.asked if _is_complete(ask) else UNANSWERED_S


def _is_complete(ask: Ask) -> bool:
    return ask.status == 200 and ask.answer['outcome'] == 'complete'


def _counts(cluster: Cluster) -> tuple[int, int, int]:
    parts = list(entries(cluster))
    return (
        sum(part.runner.first_attempts for part in parts),
        sum(part.runner.extra_attempts for part in parts),
        sum(len(target.runs) for target in cluster.targets.values()),
    )


def _figures(result: Tail) -> dict[str, Any]:
    return {name: round(value, 4) for name, value in result._asdict().items()}


@benchmark('tail')
def tail(seed: int, quick: bool) -> Report:
    """Run with and without hedging, and with hedging without a budget."""
    seconds = MEASURED_QUICK_S if quick else MEASURED_S
    mine = run_one(seed, seconds, as_it_is)
    base = run_one(seed, seconds, no_hedge, ONSET_BASELINE_S)
    baselines = {'no_hedge_random_replica': _figures(base)}
    if not quick:
        baselines['no_hedge'] = _figures(
            run_one(seed, seconds, hedge_with(NoHedging)),
        )
        baselines['hedge_without_budget'] = _figures(
            run_one(seed, seconds, hedge_with(Unbounded)),
        )
    return Report(
        'tail',
        seed,
        {'load_queries_per_s': round(LOAD_SHARE * capacity(), 1)}
        | _figures(mine),
        baselines,
        (
            at_most('p99 against no hedging', mine.p99 / base.p99, 1 / 5),
            at_most('p99.9 against no hedging', mine.p999 / base.p999, 1 / 10),
            at_most('extra attempts', mine.extra, 0.05),
            at_most('p99 in ms', mine.p99, 96),
            at_least('share of complete answers', mine.complete, 0.999),
        ),
    )

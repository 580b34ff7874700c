"""Benchmark ``overload``: goodput and fairness at twice the capacity.

It also compares the peak load of targets with their slots.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

from benchmarks.query_load import (
    SLOT_HELD_S,
    QueryLoad,
    make_cluster,
    query_services,
    total_slots,
)
from benchmarks.report import Report, at_least, at_most, benchmark
from rosemaryweir.query.limit import MAX_LIMIT
from rosemaryweir.query.service import QueryService
from rosemaryweir.schema.generated.config import ClassPolicy, Tenant
from rosemaryweir.testing import Ask, Cluster

__all__ = ['overload']

SHARDS = 10
SLOTS = 3
OVERLOAD_FACTOR = 2.0
PROBE_SHARE = 1.0
#: Tenants, repeated by their share of the requests; all weights are equal.
TENANTS = ('loud', 'loud', 'loud', 'loud', 'loud', 'loud', 'soft', 'quiet')
WARM_UP_S = 1.0
MEASURED_S = 12.0
QUICK_MEASURED_S = 3.0
BASELINE_S = 0.3
SETTLE_S = 1.2
MIN_TENANT_SHARE = 0.5


class OverloadResult(NamedTuple):
    """Result of one run; rates are in queries per second."""

    offered: float
    goodput: float
    peak_to_slots: float
    extra: float
    runs: float
    refused: dict[str, int]
    least_tenant: float


def remove_limits(part: QueryService) -> None:
    """Remove the admission limits of an entry."""
    for service_state in part.service_states.values():
        service_state.admission.limit.max_in_flight = MAX_LIMIT


def _make_tenant_cluster(seed: int) -> Cluster:
    policy = ClassPolicy(
        deadline_ms=1000,
        answer='complete',
        coverage_floor=0.99,
    )
    cluster = make_cluster(SHARDS, seed, SLOTS, policy)
    cluster.config['tenants'] = {
        name: Tenant(weight=1) for name in set(TENANTS)
    }
    return cluster


def capacity(cluster: Cluster) -> float:
    """Return the queries per second that the slots can serve.

    A slot is held for the service time and both network delays.
    """
    return total_slots(cluster) / (SLOT_HELD_S * SHARDS)


def run_load(seed: int, seconds: float, admit_all: bool) -> OverloadResult:
    """Measure one run of the load."""
    cluster = _make_tenant_cluster(seed)
    bound = capacity(cluster)
    load = QueryLoad(cluster, bound * 0.5, seed, TENANTS)
    load.run(WARM_UP_S / 2)
    load.rate = bound * OVERLOAD_FACTOR
    if admit_all:
        for part in query_services(cluster):
            remove_limits(part)
    load.run(WARM_UP_S)
    before = _attempt_counts(cluster)
    asks = load.run(seconds)
    counts = [
        after - then
        for after, then in zip(_attempt_counts(cluster), before, strict=True)
    ]
    cluster.run(SETTLE_S)
    good = [ask for ask in asks if _is_good(ask)]
    reasons = Counter(
        ask.answer['reason'] for ask in asks if ask.status not in {0, 200}
    )
    return OverloadResult(
        len(asks) / seconds,
        len(good) / seconds,
        max(
            target.peak / target.spec.slots
            for target in cluster.targets.values()
        ),
        counts[1] / counts[0],
        counts[2] / counts[0],
        dict(reasons),
        _least_tenant(asks, good),
    )


def _least_tenant(asks: Sequence[Ask], good: Sequence[Ask]) -> float:
    """Return the lowest share of its due goodput that a tenant got.

    Due is the lesser of its requests and an equal part of the goodput.
    """
    asked = Counter(ask.body['tenant'] for ask in asks)
    got = Counter(ask.body['tenant'] for ask in good)
    part = len(good) / len(asked)
    if not good:
        return 0.0
    return min(got[name] / min(asked[name], part) for name in asked)


def _is_good(ask: Ask) -> bool:
    return ask.status == 200 and ask.answer['outcome'] == 'complete'


def _attempt_counts(cluster: Cluster) -> tuple[int, int, int]:
    parts = list(query_services(cluster))
    return (
        sum(part.runner.first_attempts for part in parts),
        sum(part.runner.extra_attempts for part in parts),
        sum(len(target.runs) for target in cluster.targets.values()),
    )


def _figures(result: OverloadResult) -> dict[str, Any]:
    return {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in result._asdict().items()
    }


@benchmark('overload')
def overload(seed: int, quick: bool) -> Report:
    """Offer twice the capacity, with and without admission control."""
    seconds = QUICK_MEASURED_S if quick else MEASURED_S
    bound = capacity(_make_tenant_cluster(seed))
    measured = run_load(seed, seconds, admit_all=False)
    baseline = run_load(seed, BASELINE_S, admit_all=True)
    return Report(
        'overload',
        seed,
        {'capacity': round(bound, 1)} | _figures(measured),
        {'no_admission': _figures(baseline)},
        (
            at_least('goodput to capacity', measured.goodput / bound, 0.9),
            at_most('peak in flight to slots', measured.peak_to_slots, 1),
            at_most('extra attempts that ran', measured.runs - 1, 0.01),
            at_least('least tenant', measured.least_tenant, MIN_TENANT_SHARE),
        ),
    )

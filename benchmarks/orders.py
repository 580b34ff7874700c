"""Benchmark ``orders``: orders under faults, and store calls under load.

Checks use only what the fakes recorded: runs at targets, the store's history,
messages sent by entries, and answers to callers.
"""

from collections import Counter
from random import Random
from typing import Any

from benchmarks.faults.catalogue import faults
from benchmarks.order_baselines import (
    measure_single_writes,
    measure_without_claims,
)
from benchmarks.order_callers import (
    EntryTraffic,
    OrderCallers,
    OutcomeHistory,
    PlacedOrder,
)
from benchmarks.report import Report, at_least, at_most, benchmark
from rosemaryweir.testing import DEPLOYMENTS, Cluster, config_of, vm_settings

__all__ = ['run']

VM_COUNT = 9
FULL_ORDER_COUNT = 100_000
QUICK_ORDER_COUNT = 6_000
FAULT_ORDERS_PER_S = 300.0
FAULT_INTERVAL_S = 0.8
RECOVERY_S = 30.0
#: Time until the leaves are ready for orders.
WARM_UP_S = 3.0
#: Time by which an outcome is durable unless a fault interrupts the order.
DURABLE_WITHIN_S = 2.0
#: Orders per second, number of orders, and their number with ``--quick``.
LOADS = ((1, 60, 20), (100, 3000, 1000), (1000, 15000, 4000))
# Limits of the store: several hundred writes and about 2000 reads a second.
MAX_STORE_WRITES_PER_S = 300
MAX_STORE_READS_PER_S = 2000
MAX_VALUE_BYTES = 1_000_000
P99_SHARE = 0.99


def _cluster(seed: int) -> tuple[Cluster, EntryTraffic, OutcomeHistory]:
    traffic = EntryTraffic()
    deployment = DEPLOYMENTS['halvorsen']
    cluster = Cluster(
        vm_settings(deployment, VM_COUNT),
        config_of(deployment),
        seed,
        static=True,
        size_of=traffic.size_of,
    )
    outcomes = OutcomeHistory()
    cluster.store.history = outcomes
    traffic.watch(cluster)
    cluster.run(WARM_UP_S)
    return cluster, traffic, outcomes


def _services() -> tuple[str, ...]:
    sizes = DEPLOYMENTS['halvorsen'].services
    return tuple(size.name for size in sizes if size.work == 'order')


def _runs(cluster: Cluster) -> dict[str, list[float]]:
    runs: dict[str, list[float]] = {}
    for target in cluster.targets.values():
        for each in target.runs:
            if each.work == 'order':
                runs.setdefault(each.subject, []).append(each.when)
    return runs


def _is_untrue_not_run(order: PlacedOrder, runs: list[float]) -> bool:
    """Return whether the order ran despite a `not_run` answer.

    Runs after a new try that followed the answer do not count.
    """
    return any(
        given.ran == 'not_run'
        and any(
            ran <= given.when
            or not any(given.when <= asked <= ran for asked in order.try_times)
            for ran in runs
        )
        for given in order.answers
    )


def _interrupted_orders(
    traffic: EntryTraffic, outcomes: OutcomeHistory
) -> set[str]:
    """Return the keys of orders interrupted after their first byte.

    These were sent to a leaf, but their outcome was not durable in time.
    """
    never = float('inf')
    return {
        key
        for key, sent in traffic.send_times.items()
        if outcomes.durable_outcomes.get(key, (never,))[0] - sent[0]
        > DURABLE_WITHIN_S
    }


def _under_faults(seed: int, count: int) -> dict[str, Any]:
    rng = Random(seed)
    cluster, traffic, outcomes = _cluster(seed)
    callers = OrderCallers(cluster, _services(), rng)
    last = callers.place(count, FAULT_ORDERS_PER_S)
    known = sorted(faults().items())
    injected: Counter[str] = Counter()

    def inject() -> None:
        name, fault = rng.choice(known)
        injected[name] += 1
        fault.inject(cluster, rng)
        if cluster.now < last + WARM_UP_S:
            wait = rng.expovariate(1 / FAULT_INTERVAL_S)
            cluster.scheduler.after(wait, inject)

    cluster.scheduler.after(2.0, inject)
    cluster.run(last + RECOVERY_S)
    runs = _runs(cluster)
    unknown = [
        order
        for order in callers.orders
        if any(given.outcome == 'unknown' for given in order.answers)
    ]
    interrupted = _interrupted_orders(traffic, outcomes)
    last_answers = Counter(
        order.answers[-1].outcome if order.answers else 'nothing'
        for order in callers.orders
    )
    return {
        'orders': len(callers.orders),
        'tries': sum(len(order.try_times) for order in callers.orders),
        'faults': dict(sorted(injected.items())),
        'ran_twice': sum(len(when) > 1 for when in runs.values()),
        'untrue_not_run': sum(
            _is_untrue_not_run(order, runs.get(order.order_key, []))
            for order in callers.orders
        ),
        'done_but_not_run': sum(
            order.answers[-1].outcome == 'done' and order.order_key not in runs
            for order in callers.orders
            if order.answers
        ),
        'outcomes_changed': outcomes.changed_count,
        'unknown': len(unknown),
        'unknown_without_send': sum(
            order.order_key not in traffic.send_times for order in unknown
        ),
        'struck_after_first_byte': len(interrupted),
        'last_answers': dict(last_answers),
        'largest_value_bytes': outcomes.largest_bytes,
        'sends_per_order': sum(map(len, traffic.send_times.values())) / count,
    }


def _under_load(seed: int, rate: float, count: int) -> dict[str, float]:
    cluster, traffic, outcomes = _cluster(seed)
    callers = OrderCallers(cluster, _services(), Random(seed))
    last = callers.place(count, rate)
    cluster.run(last)
    writes, reads = traffic.write_count, traffic.read_count
    cluster.run(5)
    latencies = sorted(callers.first_latencies)
    done = sum(
        bool(order.answers) and order.answers[-1].outcome == 'done'
        for order in callers.orders
    )
    return {
        'writes_per_order': traffic.write_count / count,
        'reads_per_order': traffic.read_count / count,
        'writes_per_s': writes / last,
        'reads_per_s': reads / last,
        'p50_ms': latencies[len(latencies) // 2] * 1000,
        'p99_ms': latencies[int(len(latencies) * P99_SHARE)] * 1000,
        'done': done / count,
        'largest_value_bytes': outcomes.largest_bytes,
    }


@benchmark('orders')
def run(seed: int, quick: bool) -> Report:
    """Place orders under all faults, then at three rates without faults."""
    count = QUICK_ORDER_COUNT if quick else FULL_ORDER_COUNT
    under_faults = _under_faults(seed, count)
    loads = {
        rate: _under_load(seed, rate, few if quick else many)
        for rate, many, few in LOADS
    }
    interrupted = under_faults['struck_after_first_byte']
    peak = loads[LOADS[-1][0]]
    checks = (
        at_least('orders', under_faults['orders'], count),
        at_most('orders run twice', under_faults['ran_twice'], 0),
        at_most('untrue not_run', under_faults['untrue_not_run'], 0),
        at_most('done without a run', under_faults['done_but_not_run'], 0),
        at_most(
            'recorded outcomes changed', under_faults['outcomes_changed'], 0
        ),
        at_most(
            'unknown / struck after first byte',
            under_faults['unknown'] / max(1, interrupted),
            1,
        ),
        at_most(
            'store writes a second at 1000 orders a second',
            peak['writes_per_s'],
            MAX_STORE_WRITES_PER_S,
        ),
        at_most(
            'store reads a second at 1000 orders a second',
            peak['reads_per_s'],
            MAX_STORE_READS_PER_S,
        ),
        at_most(
            'largest value in bytes',
            max(
                under_faults['largest_value_bytes'], peak['largest_value_bytes']
            ),
            MAX_VALUE_BYTES,
        ),
    )
    figures = {
        'under_faults': under_faults,
        **{f'at_{rate}_a_second': loads[rate] for rate, _, _ in LOADS},
    }
    baselines = {
        'without_claim': measure_without_claims(seed, _cluster, _services()),
        'a_write_for_each_change': measure_single_writes(
            seed,
            _cluster,
            _services(),
        ),
    }
    return Report('orders', seed, figures, baselines, checks)

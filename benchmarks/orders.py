"""Orders at most once, under every fault; store writes under load.

Checks read what the fakes saw: the targets' runs, the store's history, the
messages that left an entry, the callers' answers.
"""

from collections import Counter
from random import Random
from typing import Any

from benchmarks.faults.catalogue import faults
from benchmarks.order_baselines import per_order_writes, unclaimed
from benchmarks.order_callers import Callers, Placed, StoreLog, Wire
from benchmarks.report import Report, at_least, at_most, benchmark
from rosemaryweir.testing import DEPLOYMENTS, Cluster, config_of, vm_settings

__all__ = ['run']

VMS = 9
FULL_ORDERS = 100_000
QUICK_ORDERS = 6_000
FAULT_RATE = 300.0
FAULT_EVERY_S = 0.8
REST_S = 30.0
#: Time for the leaves to come up before orders are placed, in seconds.
WARM_UP_S = 3.0
#: Time within which an outcome must be durable if no fault struck, in s.
DURABLE_S = 2.0
#: Orders a second, and how many of them; the second for ``--quick``.
LOADS = ((1, 60, 20), (100, 3000, 1000), (1000, 15000, 4000))
#: "Several hundred writes and about two thousand reads a second".
STORE_WRITES_PER_S = 300
STORE_READS_PER_S = 2000
VALUE_BYTES = 1_000_000
PERCENTILE = 0.99


def _cluster(seed: int) -> tuple[Cluster, Wire, StoreLog]:
    wire = Wire()
    deployment = DEPLOYMENTS['halvorsen']
    cluster = Cluster(
        vm_settings(deployment, VMS),
        config_of(deployment),
        seed,
        static=True,
        size_of=wire.size_of,
    )
    log = StoreLog()
    cluster.store.history = log
    wire.watch(cluster)
    cluster.run(WARM_UP_S)
    return cluster, wire, log


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


def _untrue(order: Placed, runs: list[float]) -> bool:
    """Return whether a `not_run` was untrue.

    It is if the order had run by then, or ran later without a new try.
    """
    return any(
        said.ran == 'not_run'
        and any(
            ran <= said.when
            or not any(said.when <= asked <= ran for asked in order.asked)
            for ran in runs
        )
        for said in order.said
    )


def _struck(wire: Wire, log: StoreLog) -> set[str]:
    """Return the keys that a fault struck after the first byte.

    An order left for a leaf, and its outcome was not durable in time.
    """
    late = float('inf')
    return {
        key
        for key, sent in wire.sends.items()
        if log.durable.get(key, (late,))[0] - sent[0] > DURABLE_S
    }


def _under_faults(seed: int, count: int) -> dict[str, Any]:
    rng = Random(seed)
    cluster, wire, log = _cluster(seed)
    callers = Callers(cluster, _services(), rng)
    last = callers.place(count, FAULT_RATE)
    known = sorted(faults().items())
    struck: Counter[str] = Counter()

    def strike() -> None:
        name, fault = rng.choice(known)
        struck[name] += 1
        fault.strike(cluster, rng)
        if cluster.now < last + WARM_UP_S:
            wait = rng.expovariate(1 / FAULT_EVERY_S)
            cluster.scheduler.after(wait, strike)

    cluster.scheduler.after(2.0, strike)
    cluster.run(last + REST_S)
    runs = _runs(cluster)
    unknown = [
        order
        for order in callers.placed
        if any(said.told == 'unknown' for said in order.said)
    ]
    after_byte = _struck(wire, log)
    told = Counter(
        order.said[-1].told if order.said else 'nothing'
        for order in callers.placed
    )
    return {
        'orders': len(callers.placed),
        'tries': sum(len(order.asked) for order in callers.placed),
        'faults': dict(sorted(struck.items())),
        'ran_twice': sum(len(when) > 1 for when in runs.values()),
        'untrue_not_run': sum(
            _untrue(order, runs.get(order.order_key, []))
            for order in callers.placed
        ),
        'done_but_not_run': sum(
            order.said[-1].told == 'done' and order.order_key not in runs
            for order in callers.placed
            if order.said
        ),
        'outcomes_changed': log.changed,
        'unknown': len(unknown),
        'unknown_without_send': sum(
            order.order_key not in wire.sends for order in unknown
        ),
        'struck_after_first_byte': len(after_byte),
        'last_answers': dict(told),
        'largest_value_bytes': log.largest,
        'sends_per_order': sum(map(len, wire.sends.values())) / count,
    }


def _under_load(seed: int, rate: float, count: int) -> dict[str, float]:
    cluster, wire, log = _cluster(seed)
    callers = Callers(cluster, _services(), Random(seed))
    last = callers.place(count, rate)
    cluster.run(last)
    writes, reads = wire.writes, wire.reads
    cluster.run(5)
    waits = sorted(callers.waits)
    done = sum(
        bool(order.said) and order.said[-1].told == 'done'
        for order in callers.placed
    )
    return {
        'writes_per_order': wire.writes / count,
        'reads_per_order': wire.reads / count,
        'writes_per_s': writes / last,
        'reads_per_s': reads / last,
        'p50_ms': waits[len(waits) // 2] * 1000,
        'p99_ms': waits[int(len(waits) * PERCENTILE)] * 1000,
        'done': done / count,
        'largest_value_bytes': log.largest,
    }


@benchmark('orders')
def run(seed: int, quick: bool) -> Report:
    """Place orders under every fault, then at three loads without any."""
    count = QUICK_ORDERS if quick else FULL_ORDERS
    faulty = _under_faults(seed, count)
    loads = {
        rate: _under_load(seed, rate, few if quick else many)
        for rate, many, few in LOADS
    }
    struck = faulty['struck_after_first_byte']
    peak = loads[LOADS[-1][0]]
    checks = (
        at_least('orders', faulty['orders'], count),
        at_most('orders run twice', faulty['ran_twice'], 0),
        at_most('untrue not_run', faulty['untrue_not_run'], 0),
        at_most('done without a run', faulty['done_but_not_run'], 0),
        at_most('recorded outcomes changed', faulty['outcomes_changed'], 0),
        at_most(
            'unknown / struck after first byte',
            faulty['unknown'] / max(1, struck),
            1,
        ),
        at_most(
            'store writes a second at 1000 orders a second',
            peak['writes_per_s'],
            STORE_WRITES_PER_S,
        ),
        at_most(
            'store reads a second at 1000 orders a second',
            peak['reads_per_s'],
            STORE_READS_PER_S,
        ),
        at_most(
            'largest value in bytes',
            max(faulty['largest_value_bytes'], peak['largest_value_bytes']),
            VALUE_BYTES,
        ),
    )
    figures = {
        'under_faults': faulty,
        **{f'at_{rate}_a_second': loads[rate] for rate, _, _ in LOADS},
    }
    baselines = {
        'without_claim': unclaimed(seed, _cluster, _services()),
        'a_write_for_each_change': per_order_writes(
            seed,
            _cluster,
            _services(),
        ),
    }
    return Report('orders', seed, figures, baselines, checks)

"""Baselines of ``orders``: no claims, and one store write per change."""

import contextlib
from collections.abc import Callable, Iterable, Iterator
from random import Random

from benchmarks.faults.catalogue import faults
from benchmarks.order_callers import EntryTraffic, OrderCallers, OutcomeHistory
from rosemaryweir.node.action import Action
from rosemaryweir.orders import pending_writes, write_rate
from rosemaryweir.orders.bucket_index import BucketIndex
from rosemaryweir.orders.bucket_writer import AttemptResult, StoreCallResult
from rosemaryweir.orders.bucket_writers import BucketWriters
from rosemaryweir.orders.segment import Claim
from rosemaryweir.orders.service import OrderService
from rosemaryweir.testing import Cluster

__all__ = ['measure_single_writes', 'measure_without_claims']

MakeCluster = Callable[[int], tuple[Cluster, EntryTraffic, OutcomeHistory]]

ORDER_COUNT = 2000
ORDERS_PER_S = 100.0
UNLIMITED_WRITES_PER_S = 1.0e6


class _NoClaims(BucketWriters):
    """Grants every claim immediately, without a store write."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self._granted: list[Claim] = []
        self._due: float | None = None

    def add_claim(self, claim: Claim, due: float) -> None:
        self._granted.append(claim)
        self._due = due

    def add_update(self, update: object, now: float) -> None:
        """Discard the update."""

    def next_wake(self) -> float | None:
        return self._due

    def start_due(self, now: float) -> Iterable[Action]:
        return ()

    def time_out_calls(self, now: float) -> StoreCallResult:
        granted = tuple(
            AttemptResult('ours', claim.order_key, claim.attempt_id)
            for claim in self._granted
        )
        self._granted.clear()
        self._due = None
        return StoreCallResult(attempt_results=granted)


def _disable_claims(cluster: Cluster) -> None:
    for process in cluster.processes.values():
        if process.name.endswith('/entry'):
            processor = process.node.part(OrderService).processor
            if not isinstance(processor.writers, _NoClaims):
                processor.writers = _NoClaims(Random(1))
                processor.completion.writers = processor.writers


def measure_without_claims(
    seed: int,
    make: MakeCluster,
    services: tuple[str, ...],
) -> dict[str, float]:
    """Return how many orders run twice without claims."""
    cluster, _, _ = make(seed)
    rng = Random(seed)
    callers = OrderCallers(cluster, services, rng)
    last = callers.place(ORDER_COUNT, ORDERS_PER_S)
    known = sorted(faults().items())
    _disable_claims(cluster)
    while cluster.now < last:
        rng.choice(known)[1].inject(cluster, rng)
        cluster.run(0.8)
        _disable_claims(cluster)
    cluster.run(15)
    runs: dict[str, int] = {}
    for target in cluster.targets.values():
        for each in target.runs:
            runs[each.subject] = runs.get(each.subject, 0) + 1
    doubled = sum(count > 1 for count in runs.values())
    return {'orders': ORDER_COUNT, 'ran_twice': doubled}


def measure_single_writes(
    seed: int,
    make: MakeCluster,
    services: tuple[str, ...],
) -> dict[str, float]:
    """Return the writes per order if each write carries one change."""
    with _single_writes():
        cluster, traffic, _ = make(seed)
        callers = OrderCallers(cluster, services, Random(seed))
        last = callers.place(ORDER_COUNT, ORDERS_PER_S)
        cluster.run(last)
        writes = traffic.write_count
        cluster.run(10)
    return {
        'orders_per_s': ORDERS_PER_S,
        'writes_per_order': traffic.write_count / ORDER_COUNT,
        'writes_per_s': writes / last,
    }


@contextlib.contextmanager
def _single_writes() -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        original = (
            pending_writes.PendingWrites.batch,
            write_rate.TOTAL_WRITES_PER_S,
        )
        pending_writes.PendingWrites.batch = _single_batch  # type: ignore[method-assign]
        stack.callback(
            setattr, pending_writes.PendingWrites, 'batch', original[0]
        )
        write_rate.TOTAL_WRITES_PER_S = UNLIMITED_WRITES_PER_S
        stack.callback(setattr, write_rate, 'TOTAL_WRITES_PER_S', original[1])
        yield


def _single_batch(
    self: pending_writes.PendingWrites,
    index: BucketIndex,
    segment: int,
) -> pending_writes.WriteBatch:
    for update in self.updates.values():
        if index.segment_of(update.order_key) == segment:
            return (), (update,)
    for claim in self.claims.values():
        if index.segment_of(claim.order_key) == segment:
            return (claim,), ()
    return (), ()

"""Open-loop query loads on a cluster in virtual time."""

from collections.abc import Iterable, Iterator, Sequence
from random import Random
from typing import Any

from rosemaryweir.query.service import QueryService
from rosemaryweir.schema.generated.config import ClassPolicy
from rosemaryweir.testing import (
    Ask,
    Cluster,
    Deployment,
    ServiceSize,
    config_of,
    vm_settings,
)

__all__ = [
    'MEAN_SERVICE_S',
    'SERVICE',
    'SLOT_HELD_S',
    'QueryLoad',
    'make_cluster',
    'quantile',
    'query_services',
    'total_slots',
]

SERVICE = 'find'
#: Mean service time of targets whose median is 10 ms.
MEAN_SERVICE_S = 0.0122
#: Mean time for which a slot is held: the service time and the network delays
#: of request and reply.
SLOT_HELD_S = 0.0132
DOMAINS = ('a', 'b', 'c')
VM_COUNT = 6
#: Time until new leaves own their targets.
OWNERSHIP_S = 2.5


def make_cluster(
    shards: int,
    seed: int,
    slots: int = 2,
    policy: ClassPolicy | None = None,
    warm: bool = True,
) -> Cluster:
    """Return a cluster with one query service, without agents."""
    size = ServiceSize(SERVICE, 'query', shards, 3, slots, 25, 6.0, 1, 20)
    policy = policy or ClassPolicy(
        deadline_ms=2000,
        answer='complete',
        coverage_floor=0.99,
    )
    deployment = Deployment('bench', DOMAINS, (size,), {'default': policy})
    cluster = Cluster(
        vm_settings(deployment, VM_COUNT),
        config_of(deployment),
        seed=seed,
        static=True,
    )
    if warm:
        for target in cluster.targets.values():
            target.cold = False
    cluster.run(OWNERSHIP_S)
    return cluster


def query_services(cluster: Cluster) -> Iterator[QueryService]:
    """Yield the query service of each entry."""
    for process in cluster.processes.values():
        if process.node.state.uid.role == 'entry':
            yield process.node.part(QueryService)


def total_slots(cluster: Cluster) -> int:
    """Return the sum of the slots of all targets."""
    return sum(target.spec.slots for target in cluster.targets.values())


def quantile(samples: Iterable[float], share: float) -> float:
    """Return the quantile of samples."""
    ranked = sorted(samples)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


class QueryLoad:
    """Open-loop callers: they send at a rate, whatever the answers.

    Parameters
    ----------
    cluster : Cluster
        Cluster that receives the queries.
    rate : float
        Queries a second.
    seed : int
        Seed of the arrivals.
    tenants : sequence of str
        Tenants, each drawn in proportion to how often it is listed.
    **body_fields : Any
        Further fields of the request bodies.
    """

    def __init__(
        self,
        cluster: Cluster,
        rate: float,
        seed: int,
        tenants: Sequence[str] = ('default',),
        **body_fields: Any,
    ) -> None:
        self.cluster = cluster
        self.rate = rate
        self.rng = Random(seed)
        self.tenants = tenants
        self.body_fields = body_fields
        self.vms = sorted(cluster.settings)
        self.asks: list[Ask] = []
        self.until = 0.0

    def run(self, seconds: float, settle: float = 0) -> list[Ask]:
        """Send queries for some seconds and return them."""
        first = len(self.asks)
        self.until = self.cluster.now + seconds
        self._schedule_next()
        self.cluster.run(seconds + settle)
        return self.asks[first:]

    def _schedule_next(self) -> None:
        wait = self.rng.expovariate(self.rate)
        if self.cluster.now + wait < self.until:
            self.cluster.scheduler.after(wait, self._ask)

    def _ask(self) -> None:
        body = {
            'service': SERVICE,
            'query': 'text',
            'tenant': self.rng.choice(self.tenants),
            **self.body_fields,
        }
        vm = self.rng.choice(self.vms)
        self.asks.append(self.cluster.ask(vm, 'query', body))
        self._schedule_next()

"""Faults that the matrix found at the cold limit, each by itself."""

from rosemaryweir.testing import (
    DEPLOYMENTS,
    Cluster,
    Deployment,
    ServiceSize,
    config_of,
    steady,
    vm_settings,
)

ONE = Deployment(
    'one',
    ('nordvest-a',),
    (ServiceSize('print-orders', 'order', 1, 1, 2, 100, 1.0),),
    DEPLOYMENTS['halvorsen'].classes,
)
WARM_AFTER = 20


class Bench:
    """One VM and one target that bears one order while it is cold."""

    def __init__(self):
        self.cluster = Cluster(
            vm_settings(ONE, 1),
            config_of(ONE),
            static=True,
            service_time=steady(0.01),
        )
        self.target = next(iter(self.cluster.targets.values()))
        self.asked = 0
        self.cluster.run(3)

    def order(self, wait, deadline_ms=2000):
        """Place an order, and let time pass."""
        self.asked += 1
        body = {
            'service': 'print-orders',
            'order_key': f'k{self.asked}',
            'body': '',
            'deadline_ms': deadline_ms,
        }
        self.cluster.ask('vm-000', 'order', body)
        self.cluster.run(wait)


def test_an_overdue_order_holds_its_slot():
    bench = Bench()
    bench.target.factor = 100.0
    bench.order(1.0, deadline_ms=300)
    assert len(bench.target.running) == 1
    bench.order(0.5)
    assert bench.target.collapses == 0


def test_a_target_cold_soon_after_it_warmed():
    bench = Bench()
    for _ in range(WARM_AFTER + 1):
        bench.order(0.3)
    assert not bench.target.cold
    bench.target.make_cold()
    for _ in range(5):
        bench.order(0.3)
    bench.order(0)
    bench.order(0.5)
    assert bench.target.collapses == 0

"""Regression tests of the cold limit, for faults found by the matrix."""

from rosemaryweir.testing import (
    DEPLOYMENTS,
    Cluster,
    Deployment,
    ServiceSize,
    config_of,
    steady,
    vm_settings,
)

ONE_TARGET = Deployment(
    'one',
    ('nordvest-a',),
    (ServiceSize('print-orders', 'order', 1, 1, 2, 100, 1.0),),
    DEPLOYMENTS['halvorsen'].classes,
)
WARM_AFTER = 20


class ColdTargetSetup:
    """One VM and one target that can run one order while it is cold."""

    def __init__(self):
        self.cluster = Cluster(
            vm_settings(ONE_TARGET, 1),
            config_of(ONE_TARGET),
            static=True,
            service_time=steady(0.01),
        )
        self.target = next(iter(self.cluster.targets.values()))
        self.order_count = 0
        self.cluster.run(3)

    def order(self, wait, deadline_ms=2000):
        """Place an order and run the cluster for some seconds."""
        self.order_count += 1
        body = {
            'service': 'print-orders',
            'order_key': f'k{self.order_count}',
            'body': '',
            'deadline_ms': deadline_ms,
        }
        self.cluster.ask('vm-000', 'order', body)
        self.cluster.run(wait)


def test_an_overdue_order_holds_its_slot():
    setup = ColdTargetSetup()
    setup.target.factor = 100.0
    setup.order(1.0, deadline_ms=300)
    assert len(setup.target.running) == 1
    setup.order(0.5)
    assert setup.target.collapses == 0


def test_a_target_cold_soon_after_it_warmed():
    setup = ColdTargetSetup()
    for _ in range(WARM_AFTER + 1):
        setup.order(0.3)
    assert not setup.target.cold
    setup.target.make_cold()
    for _ in range(5):
        setup.order(0.3)
    setup.order(0)
    setup.order(0.5)
    assert setup.target.collapses == 0

"""Tests that a fleet learns of a broken target by few lost requests."""

from random import Random

import pytest

from rosemaryweir.gateway.tests.simulation import (
    GatewaySimulation,
    order_route,
)
from rosemaryweir.presence.alerts import ALERT_CHECK_INTERVAL_S, AlertPolicy

VMS = 60
FAN_OUT = 5
#: Orders of each VM per second: few, as in a large fleet.
RATE = 0.7
#: Orders per second that try a target again which may have recovered.
PROBES = 2


class Fleet:
    """VMs that send orders to the same targets and tell each other of them."""

    def __init__(self, seed, tell=True):
        self._rng = Random(seed)
        self._tell = tell
        self._policies = [AlertPolicy() for _ in range(VMS)]
        self.vms = [
            GatewaySimulation(
                ['orders'],
                routes=[order_route('orders')],
                targets_per_service=3,
                connections=2 * VMS,
                vms=VMS,
                own=f'vm-{number}',
            )
            for number in range(VMS)
        ]
        self.names = sorted(self.vms[0].targets)

    def run(self, seconds):
        """Send orders and pass on what VMs tell each other."""
        for _ in range(round(seconds / ALERT_CHECK_INTERVAL_S)):
            for vm in self.vms:
                if self._rng.random() < RATE * ALERT_CHECK_INTERVAL_S:
                    vm.send_request('/order/1', time_left=1.0)
                vm.run(ALERT_CHECK_INTERVAL_S)
            if self._tell:
                self._exchange_alerts()

    def break_target(self, name, mode):
        for vm in self.vms:
            vm.targets[name].mode = mode

    def lost(self):
        """Return the number of orders without success."""
        return sum(
            response.status != 200
            for vm in self.vms
            for _, response in vm.responses.values()
        )

    def arrivals(self, name):
        return sum(len(vm.targets[name].arrivals) for vm in self.vms)

    def _exchange_alerts(self):
        # What is new to a VM goes on at once, until it is new to none.
        waiting = list(range(VMS))
        while waiting:
            number = waiting.pop()
            vm = self.vms[number]
            slow = vm.gateway.target_registry.slow_targets(vm.now)
            found = self._policies[number].take(slow, vm.now)
            for peer in self._rng.sample(range(VMS), FAN_OUT) if found else ():
                registry = self.vms[peer].gateway.target_registry
                registry.apply_peer_slowness(found, vm.now)
                waiting.append(peer)


@pytest.mark.parametrize('mode', ['silent', 'lost', 'errors'])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_broken_target_gets_no_orders_once_one_vm_has_noticed(mode, seed):
    # 27 orders of 195 VMs went to one silent target within 1.3 s: each VM
    # learned of it by losing its own.
    fleet = Fleet(seed)
    fleet.run(2)
    assert fleet.lost() == 0
    fleet.break_target(fleet.names[0], mode)
    fleet.run(0.5)
    before = fleet.arrivals(fleet.names[0])
    fleet.run(3)
    # Its share would be 42.
    assert fleet.arrivals(fleet.names[0]) - before <= 3 * PROBES


def test_all_vms_use_a_target_again_that_has_recovered():
    fleet = Fleet(4)
    fleet.run(1)
    fleet.break_target(fleet.names[0], 'lost')
    fleet.run(1)
    fleet.break_target(fleet.names[0], 'good')
    fleet.run(5)
    before = fleet.arrivals(fleet.names[0])
    fleet.run(3)
    assert fleet.arrivals(fleet.names[0]) - before > 3 * VMS * RATE / 6


def test_alerts_end_by_themselves():
    # What a VM passes on has decayed since it was told: no rumour stays.
    fleet = Fleet(5)
    registries = [vm.gateway.target_registry for vm in fleet.vms]
    registries[0].apply_peer_slowness({fleet.names[0]: 1000.0}, 100.0)
    fleet.run(4)
    assert not any(
        registry.slow_targets(fleet.vms[0].now) for registry in registries
    )


def test_an_alert_is_repeated_only_if_it_became_worse():
    policy = AlertPolicy()
    assert policy.take({'a': 4.0}, 1.0) == {'a': 4.0}
    # It decays as it does with those who were told, which tells nobody more.
    assert policy.take({'a': 4.0}, 1.1) == {}
    assert policy.take({'a': 2.1}, 2.0) == {}
    assert policy.take({'a': 8.0}, 2.1) == {'a': 8.0}
    assert policy.take({'a': 12.0}, 2.2) == {}
    assert policy.take({'a': 12.0}, 3.3) == {'a': 12.0}

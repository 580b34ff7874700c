"""Tests that VMs find each other and detect those that are gone."""

from random import Random

import pytest

from rosemaryweir.presence.directory import select_front_addresses
from rosemaryweir.presence.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    WATCHERS_PER_KIND,
    PeerTable,
    VmState,
    silence_limit,
)

KIND = 'config'


def initial_state(number):
    return VmState(
        f'vm-{number}',
        f'd{number % 3}',
        f'10.0.0.{number}:7740',
        f'10.0.0.{number}:8226',
        1,
        0,
        ready=False,
        leaving=False,
        load=0.0,
    )


class SimulatedVms:
    """VMs whose heartbeats reach each other unless a link is cut."""

    def __init__(self, size, seed):
        self.now = 100.0
        self.tables = {
            f'10.0.0.{number}:7740': PeerTable(
                initial_state(number), Random(seed + number)
            )
            for number in range(size)
        }
        self.down = set()
        self.cut_links = set()
        self.answered_by_store = set(self.tables)
        seeds = list(self.tables)[:3]
        for peers in self.tables.values():
            peers.add_candidates(seeds)

    def run(self, seconds):
        for _ in range(round(seconds / HEARTBEAT_INTERVAL_S)):
            self.now += HEARTBEAT_INTERVAL_S
            for address, peers in self.tables.items():
                if address not in self.down:
                    self._send_heartbeat(address, peers)

    def _send_heartbeat(self, address, peers):
        watches = peers.should_watch(KIND, self.now)
        kinds = (KIND,) if watches and address in self.answered_by_store else ()
        heartbeat, recipients = peers.next_heartbeat(
            True,
            False,
            0.1,
            kinds,
            {},
            {},
            self.now,
        )
        for recipient in recipients:
            reached = recipient not in self.down
            if (
                reached
                and frozenset((address, recipient)) not in self.cut_links
            ):
                self.tables[recipient].receive(heartbeat, self.now)

    def alive(self, address):
        return {vm.name for vm in self.tables[address].alive(self.now)}


@pytest.mark.parametrize('size', [6, 9, 79])
def test_all_find_each_other_from_three_seeds(size):
    vms = SimulatedVms(size, seed=3)
    vms.run(6)
    assert all(len(vms.alive(address)) == size for address in vms.tables)


@pytest.mark.parametrize('size', [6, 79])
def test_no_vm_is_considered_gone_while_all_send_heartbeats(size):
    vms = SimulatedVms(size, seed=5)
    vms.run(6)
    for _ in range(60):
        vms.run(HEARTBEAT_INTERVAL_S)
        assert all(
            len(vms.alive(address)) >= size * 0.97 for address in vms.tables
        )


@pytest.mark.parametrize('size', [6, 79])
def test_a_vm_that_is_gone_leaves_the_directory(size):
    vms = SimulatedVms(size, seed=4)
    vms.run(6)
    vms.down.add('10.0.0.5:7740')
    vms.run(2 * silence_limit(size))
    for address, peers in vms.tables.items():
        if address not in vms.down:
            serving = peers.serving(vms.now)
            addresses = select_front_addresses(
                serving, 'd0', {'d0': 1.0}, Random(1)
            )
            assert '10.0.0.5:8226' not in addresses


def test_vms_learn_of_each_other_despite_cut_links():
    vms = SimulatedVms(9, seed=6)
    vms.run(5)
    for first in range(3):
        for second in range(3, 6):
            vms.cut_links.add(
                frozenset((f'10.0.0.{first}:7740', f'10.0.0.{second}:7740')),
            )
    vms.run(10)
    assert len(vms.alive('10.0.0.0:7740')) >= 8


@pytest.mark.parametrize('size', [1, 2, 6, 79])
def test_a_few_vms_watch_each_kind(size):
    vms = SimulatedVms(size, seed=8)
    vms.run(8)
    watching = [
        peers
        for peers in vms.tables.values()
        if peers.should_watch(KIND, vms.now)
    ]
    assert (
        min(size, WATCHERS_PER_KIND) <= len(watching) <= WATCHERS_PER_KIND + 1
    )


def test_others_watch_when_the_store_refuses_the_watchers():
    vms = SimulatedVms(9, seed=9)
    vms.run(8)
    refused = {
        address
        for address, peers in vms.tables.items()
        if peers.should_watch(KIND, vms.now)
    }
    vms.answered_by_store -= refused
    vms.run(5)
    others = [
        address
        for address, peers in vms.tables.items()
        if peers.should_watch(KIND, vms.now) and address not in refused
    ]
    assert len(others) >= WATCHERS_PER_KIND


def test_a_vm_that_is_cut_off_keeps_to_its_budget_share():
    # It sees itself alone while the others go on without it.  Each side must
    # still leave the other its share of the retry budget of the targets.
    vms = SimulatedVms(6, seed=2)
    vms.run(6)
    isolated = '10.0.0.4:7740'
    vms.cut_links = {
        frozenset((isolated, address))
        for address in vms.tables
        if address != isolated
    }
    vms.run(10)
    assert len(vms.alive(isolated)) == 1
    assert len(vms.tables[isolated].possibly_alive(vms.now)) == 6
    assert len(vms.tables['10.0.0.0:7740'].possibly_alive(vms.now)) == 6
    vms.run(20)
    assert len(vms.tables[isolated].possibly_alive(vms.now)) == 1


def test_few_heartbeats_leave_a_failure_domain():
    # Each carries counters of all VMs, and traffic between failure domains is
    # expensive.
    vms = SimulatedVms(79, seed=7)
    vms.run(12)
    remote = 0
    for peers in vms.tables.values():
        for _ in range(10):
            _, recipients = peers.next_heartbeat(
                True, False, 0, (), {}, {}, vms.now
            )
            remote += sum(
                vms.tables[recipient].own.domain != peers.own.domain
                for recipient in recipients
            )
    assert remote / 10 <= 3 * 6 * 1.3

"""Tests that VMs find each other and detect those that are gone."""

from collections import Counter
from random import Random

import msgspec
import pytest

from rosemaryweir.presence.directory import select_front_addresses
from rosemaryweir.presence.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    WATCHERS_PER_KIND,
    PeerTable,
    VmState,
    encode_heartbeat,
    silence_limit,
)

KIND = 'config'


def initial_state(number, domains=3):
    return VmState(
        f'vm-{number}',
        f'd{number % domains}',
        f'10.0.0.{number}:7740',
        f'10.0.0.{number}:8226',
        1,
        0,
        ready=False,
        leaving=False,
        load=0.0,
    )


class SimulatedVms:
    """VMs whose heartbeats reach each other unless lost or a link is cut.

    Parameters
    ----------
    size, seed, domains : int
        Number of VMs, seed of the random numbers, number of failure domains.
    registered : bool
        Whether each VM knows the addresses of all from the store.
    loss : float
        Share of the heartbeats that is lost.
    """

    def __init__(self, size, seed, domains=3, registered=False, loss=0):
        self.now = 100.0
        self.tables = {
            f'10.0.0.{number}:7740': PeerTable(
                initial_state(number, domains), Random(seed + number)
            )
            for number in range(size)
        }
        self.down = set()
        self.cut_links = set()
        self.answered_by_store = set(self.tables)
        #: Bytes of each heartbeat, by whether it left its failure domain.
        self.sent_bytes = Counter()
        self._domains = {
            address: peers.own.domain for address, peers in self.tables.items()
        }
        self._loss = loss
        self._rng = Random(seed)
        self._registered = registered
        for peers in self.tables.values():
            self.introduce(peers)

    def introduce(self, peers):
        """Tell a VM the seeds, and the registered VMs if there are any."""
        peers.add_candidates(list(self.tables)[:3])
        if self._registered:
            for address, domain in self._domains.items():
                peers.add_candidates([address], domain)

    def run(self, seconds):
        for _ in range(round(seconds / HEARTBEAT_INTERVAL_S)):
            self.now += HEARTBEAT_INTERVAL_S
            for address, peers in self.tables.items():
                if address not in self.down:
                    self._send_heartbeat(address, peers)

    def restart(self, address, incarnation):
        """Replace a VM by one that knows nothing."""
        own = msgspec.structs.replace(
            self.tables[address].own, incarnation=incarnation, counter=0
        )
        self.tables[address] = PeerTable(own, Random(incarnation))
        self.introduce(self.tables[address])

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
        self._deliver(address, heartbeat, recipients)
        self._deliver(address, *peers.remote_heartbeat(heartbeat, self.now))

    def _deliver(self, address, heartbeat, recipients):
        size = len(encode_heartbeat(heartbeat))
        for recipient in recipients:
            remote = self._domains[recipient] != self._domains[address]
            self.sent_bytes[remote] += size
            reached = recipient not in self.down
            cut = frozenset((address, recipient)) in self.cut_links
            if reached and not cut and self._rng.random() >= self._loss:
                self._receive(recipient, heartbeat)

    def _receive(self, recipient, heartbeat):
        peers = self.tables[recipient]
        peers.receive(heartbeat, self.now)
        if peers.should_request_states(heartbeat, self.now):
            sender = self.tables[heartbeat.sender.address]
            peers.merge_all_states(sender.known_states(self.now), self.now)

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
            heartbeat, recipients = peers.next_heartbeat(
                True, False, 0, (), {}, {}, vms.now
            )
            _, others = peers.remote_heartbeat(heartbeat, vms.now)
            remote += sum(
                vms.tables[recipient].own.domain != peers.own.domain
                for recipient in (*recipients, *others)
            )
    assert remote / 10 <= 3 * 6 * 1.3


#: Bytes a second that heartbeats of one VM may take at any size of the fleet.
MAX_BYTES_PER_S = 9000


@pytest.mark.parametrize('size', [79, 195, 300])
def test_the_bytes_of_heartbeats_do_not_grow_with_the_fleet(size):
    vms = SimulatedVms(size, seed=11, domains=5, registered=True)
    vms.run(20)
    vms.sent_bytes.clear()
    vms.run(4)
    assert vms.sent_bytes.total() / size / 4 <= MAX_BYTES_PER_S


def test_a_restart_of_a_large_fleet_sends_little_between_domains():
    # Every VM is news to every other one. When each of them sent twenty
    # states to VMs of other domains while news came, this took 30 MB.
    vms = SimulatedVms(195, seed=12, domains=5, registered=True)
    vms.run(10)
    assert vms.sent_bytes[True] <= 4e6
    assert all(len(vms.alive(address)) >= 190 for address in vms.tables)


@pytest.mark.parametrize('size', [70, 195])
def test_lost_heartbeats_make_no_vm_seem_gone(size):
    vms = SimulatedVms(size, seed=13, domains=5, registered=True, loss=0.05)
    vms.run(12)
    missing = []
    for _ in range(20):
        vms.run(HEARTBEAT_INTERVAL_S)
        missing.extend(size - len(vms.alive(address)) for address in vms.tables)
    assert sum(missing) / len(missing) <= 0.01 * size


def test_a_vm_that_restarts_learns_of_a_large_fleet_at_once():
    vms = SimulatedVms(195, seed=14, domains=5, registered=True)
    vms.run(12)
    vms.restart('10.0.0.50:7740', incarnation=2)
    vms.run(1)
    assert len(vms.alive('10.0.0.50:7740')) >= 190


def test_a_vm_whose_wall_clock_went_back_is_known_again():
    vms = SimulatedVms(9, seed=15)
    vms.run(6)
    for peers in vms.tables.values():
        peers.own = msgspec.structs.replace(peers.own, incarnation=5)
    vms.run(3)
    vms.restart('10.0.0.4:7740', incarnation=3)
    vms.run(8)
    for address, peers in vms.tables.items():
        if address != '10.0.0.4:7740':
            known = {vm.name: vm for vm in peers.alive(vms.now)}
            assert known['vm-4'].incarnation > 5


def test_all_vms_are_told_when_one_leaves_in_few_bytes():
    vms = SimulatedVms(195, seed=16, domains=5, registered=True)
    vms.run(8)
    peers = vms.tables['10.0.0.7:7740']
    heartbeat, recipients = peers.next_heartbeat(
        True, True, 0.1, (), {KIND: 7}, {}, vms.now
    )
    assert set(recipients) == set(vms.tables) - {peers.own.address}
    assert len(encode_heartbeat(heartbeat)) <= 200

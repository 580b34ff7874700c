"""VMs find each other, and notice those that are gone."""

from random import Random

import pytest

from rosemaryweir.presence.directory import caller_addresses
from rosemaryweir.presence.heartbeats import (
    FOLLOWERS,
    HEARTBEAT_INTERVAL_S,
    PeerTable,
    VmState,
    silence,
)

KIND = 'config'


def news(number):
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


class Fleet:
    """VMs whose beats reach each other unless a way is cut."""

    def __init__(self, size, seed):
        self.now = 100.0
        self.vms = {
            f'10.0.0.{number}:7740': PeerTable(
                news(number), Random(seed + number)
            )
            for number in range(size)
        }
        self.down = set()
        self.cut = set()
        self.following = set(self.vms)
        seeds = list(self.vms)[:3]
        for members in self.vms.values():
            members.lead(seeds)

    def run(self, seconds):
        for _ in range(round(seconds / HEARTBEAT_INTERVAL_S)):
            self.now += HEARTBEAT_INTERVAL_S
            for address, members in self.vms.items():
                if address not in self.down:
                    self._beat(address, members)

    def _beat(self, address, members):
        follows = members.should_follow(KIND, self.now)
        kinds = (KIND,) if follows and address in self.following else ()
        beat, hearers = members.beat(
            True,
            False,
            0.1,
            kinds,
            {},
            {},
            self.now,
        )
        for hearer in hearers:
            reached = hearer not in self.down
            if reached and frozenset((address, hearer)) not in self.cut:
                self.vms[hearer].hear(beat, self.now)

    def alive(self, address):
        return {vm.name for vm in self.vms[address].alive(self.now)}


@pytest.mark.parametrize('size', [6, 9, 79])
def test_all_find_each_other_from_three_seeds(size):
    fleet = Fleet(size, seed=3)
    fleet.run(6)
    assert all(len(fleet.alive(address)) == size for address in fleet.vms)


@pytest.mark.parametrize('size', [6, 79])
def test_no_vm_is_lost_while_all_beat(size):
    fleet = Fleet(size, seed=5)
    fleet.run(6)
    for _ in range(60):
        fleet.run(HEARTBEAT_INTERVAL_S)
        assert all(len(fleet.alive(each)) >= size * 0.97 for each in fleet.vms)


@pytest.mark.parametrize('size', [6, 79])
def test_a_vm_that_is_gone_leaves_the_directory(size):
    fleet = Fleet(size, seed=4)
    fleet.run(6)
    fleet.down.add('10.0.0.5:7740')
    fleet.run(2 * silence(size))
    for address, members in fleet.vms.items():
        if address not in fleet.down:
            serving = members.serving(fleet.now)
            named = caller_addresses(serving, 'd0', {'d0': 1.0}, Random(1))
            assert '10.0.0.5:8226' not in named


def test_vms_hear_of_each_other_past_a_cut_way():
    fleet = Fleet(9, seed=6)
    fleet.run(5)
    for near in range(3):
        for far in range(3, 6):
            fleet.cut.add(
                frozenset((f'10.0.0.{near}:7740', f'10.0.0.{far}:7740')),
            )
    fleet.run(10)
    assert len(fleet.alive('10.0.0.0:7740')) >= 8


@pytest.mark.parametrize('size', [1, 2, 6, 79])
def test_a_few_vms_follow_each_kind(size):
    fleet = Fleet(size, seed=8)
    fleet.run(8)
    following = [
        members
        for members in fleet.vms.values()
        if members.should_follow(KIND, fleet.now)
    ]
    assert min(size, FOLLOWERS) <= len(following) <= FOLLOWERS + 1


def test_others_follow_when_the_store_refuses_those_that_did():
    fleet = Fleet(9, seed=9)
    fleet.run(8)
    refused = {
        address
        for address, members in fleet.vms.items()
        if members.should_follow(KIND, fleet.now)
    }
    fleet.following -= refused
    fleet.run(5)
    others = [
        address
        for address, members in fleet.vms.items()
        if members.should_follow(KIND, fleet.now) and address not in refused
    ]
    assert len(others) >= FOLLOWERS


def test_a_vm_that_is_cut_off_keeps_to_its_part():
    # It sees itself alone, and the others go on without it: each must leave
    # the other its part in the extra sends that targets bear.
    fleet = Fleet(6, seed=2)
    fleet.run(6)
    lone = '10.0.0.4:7740'
    fleet.cut = {
        frozenset((lone, address)) for address in fleet.vms if address != lone
    }
    fleet.run(10)
    assert len(fleet.alive(lone)) == 1
    assert len(fleet.vms[lone].known(fleet.now)) == 6
    assert len(fleet.vms['10.0.0.0:7740'].known(fleet.now)) == 6
    fleet.run(20)
    assert len(fleet.vms[lone].known(fleet.now)) == 1


def test_few_beats_leave_a_failure_domain():
    # Each tells of all VMs; bytes between failure domains are dear.
    fleet = Fleet(79, seed=7)
    fleet.run(12)
    far = 0
    for members in fleet.vms.values():
        for _ in range(10):
            _, hearers = members.beat(True, False, 0, (), {}, {}, fleet.now)
            far += sum(
                fleet.vms[hearer].own.domain != members.own.domain
                for hearer in hearers
            )
    assert far / 10 <= 3 * 6 * 1.3

"""Tests that callers get the addresses of VMs with spare capacity."""

from random import Random

import msgspec

from rosemaryweir.presence.directory import select_front_addresses
from rosemaryweir.presence.heartbeats import VmState

DOMAINS = ('d0', 'd1', 'd2')
FULL_COVERAGE = dict.fromkeys(DOMAINS, 1.0)


def make_vm(number, domain, capacity=1.0, load=0.03):
    return VmState(
        f'vm-{number}',
        domain,
        f'10.0.0.{number}:1',
        f'10.0.0.{number}:2',
        1,
        1,
        ready=True,
        leaving=False,
        load=load,
        capacity=capacity,
    )


def mixed_vms(load=0.03):
    """Return two large VMs and 20 small ones per failure domain."""
    large = [
        make_vm(number, DOMAINS[number % 3], 2.15, load) for number in range(6)
    ]
    small = [
        make_vm(number, DOMAINS[number % 3], 0.516) for number in range(6, 66)
    ]
    return large, small


def select_vms(serving, domain='d0', domain_coverage=FULL_COVERAGE):
    found = set(
        select_front_addresses(serving, domain, domain_coverage, Random(1))
    )
    return [vm for vm in serving if vm.front_address in found]


def test_large_vms_of_the_own_failure_domain_are_selected():
    large, small = mixed_vms(load=0.3)
    assert select_vms(large + small) == [
        vm for vm in large if vm.domain == 'd0'
    ]


def test_large_remote_vms_are_preferred_to_small_local_ones():
    large, small = mixed_vms(load=0.3)
    gone = next(vm for vm in large if vm.domain == 'd0')
    remaining = [vm for vm in large if vm is not gone]
    assert select_vms(remaining + small) == remaining


def test_an_overloaded_failure_domain_is_spread_over_all_large_vms():
    large, small = mixed_vms(load=0.1)
    busy = [
        msgspec.structs.replace(vm, load=0.9) if vm.domain == 'd0' else vm
        for vm in large
    ]
    calm = [vm for vm in busy if vm.domain != 'd0']
    assert select_vms(busy + small) == calm


def test_small_vms_help_when_the_large_ones_are_full():
    large, small = mixed_vms(load=0.95)
    found = select_vms(large + small)
    assert set(found) >= {vm for vm in small if vm.domain == 'd0'}


def test_equal_vms_of_the_own_failure_domain_share_the_load():
    vms = [
        make_vm(number, DOMAINS[number % 3], load=0.2 + number / 100)
        for number in range(9)
    ]
    assert select_vms(vms) == [vm for vm in vms if vm.domain == 'd0']


def test_a_single_local_vm_is_not_the_only_address():
    vms = [make_vm(0, 'd0'), make_vm(1, 'd1'), make_vm(2, 'd2')]
    assert select_vms(vms) == vms


def test_a_busy_vm_is_left_out():
    vms = [make_vm(0, 'd0', load=0.9), make_vm(1, 'd0'), make_vm(2, 'd0')]
    assert select_vms(vms) == vms[1:]


def test_an_answer_holds_at_most_64_addresses():
    vms = [make_vm(number, 'd0') for number in range(200)]
    assert len(select_vms(vms)) == 64


def test_no_address_while_no_vm_serves():
    assert select_front_addresses([], 'd0', {}, Random(1)) == []


def test_callers_in_a_domain_without_targets_get_vms_of_other_domains():
    # From a VM of their own domain, each of the 36 sub-requests of a query
    # would cross failure domains.
    large, small = mixed_vms(load=0.3)
    domain_coverage = {'d1': 1.0, 'd2': 1.0}
    found = select_vms(large + small, 'd0', domain_coverage)
    assert found == [vm for vm in large if vm.domain != 'd0']
    assert {vm.domain for vm in select_vms(large, 'd1', domain_coverage)} == {
        'd1'
    }


def test_without_known_targets_local_vms_are_selected():
    large, small = mixed_vms(load=0.3)
    found = select_vms(large + small, 'd0', {})
    assert found == [vm for vm in large if vm.domain == 'd0']

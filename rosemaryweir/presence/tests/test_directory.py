"""Callers are sent to VMs that have time for them."""

from random import Random

import msgspec

from rosemaryweir.presence.directory import caller_addresses
from rosemaryweir.presence.heartbeats import VmState

DOMAINS = ('d0', 'd1', 'd2')
WHOLE = dict.fromkeys(DOMAINS, 1.0)


def vm(number, domain, capacity=1.0, load=0.03):
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


def grown(load=0.03):
    """Two large VMs and twenty small ones in each failure domain."""
    large = [vm(at, DOMAINS[at % 3], 2.15, load) for at in range(6)]
    small = [vm(at, DOMAINS[at % 3], 0.516) for at in range(6, 66)]
    return large, small


def named(serving, domain='d0', reach=WHOLE):
    found = set(caller_addresses(serving, domain, reach, Random(1)))
    return [one for one in serving if one.caller_address in found]


def test_large_vms_of_the_own_failure_domain_are_named():
    large, small = grown(load=0.3)
    assert named(large + small) == [one for one in large if one.domain == 'd0']


def test_large_vms_elsewhere_take_over_before_small_ones():
    large, small = grown(load=0.3)
    gone = next(one for one in large if one.domain == 'd0')
    left = [one for one in large if one is not gone]
    assert named(left + small) == left


def test_an_overloaded_failure_domain_is_spread_over_all_large_vms():
    large, small = grown(load=0.1)
    busy = [
        msgspec.structs.replace(one, load=0.9) if one.domain == 'd0' else one
        for one in large
    ]
    calm = [one for one in busy if one.domain != 'd0']
    assert named(busy + small) == calm


def test_small_vms_help_when_the_large_ones_are_full():
    large, small = grown(load=0.95)
    found = named(large + small)
    assert set(found) >= {one for one in small if one.domain == 'd0'}


def test_equal_vms_of_the_own_failure_domain_share_the_load():
    vms = [vm(at, DOMAINS[at % 3], load=0.2 + at / 100) for at in range(9)]
    assert named(vms) == [one for one in vms if one.domain == 'd0']


def test_a_lone_vm_of_a_failure_domain_is_not_named_alone():
    vms = [vm(0, 'd0'), vm(1, 'd1'), vm(2, 'd2')]
    assert named(vms) == vms


def test_a_busy_vm_is_left_out():
    vms = [vm(0, 'd0', load=0.9), vm(1, 'd0'), vm(2, 'd0')]
    assert named(vms) == vms[1:]


def test_no_more_than_an_answer_holds():
    vms = [vm(at, 'd0') for at in range(200)]
    assert len(named(vms)) == 64


def test_nobody_serves():
    assert caller_addresses([], 'd0', {}, Random(1)) == []


def test_callers_far_from_all_targets_are_sent_to_where_these_are():
    # Asked from there, each of 36 shards would cross failure domains.
    large, small = grown(load=0.3)
    reach = {'d1': 1.0, 'd2': 1.0}
    found = named(large + small, 'd0', reach)
    assert found == [one for one in large if one.domain != 'd0']
    assert {one.domain for one in named(large, 'd1', reach)} == {'d1'}


def test_a_vm_that_knows_no_targets_names_near_ones():
    large, small = grown(load=0.3)
    found = named(large + small, 'd0', {})
    assert found == [one for one in large if one.domain == 'd0']

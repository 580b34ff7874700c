"""One order through every step, with a fault at each."""

import pytest

from rosemaryweir.node.event import CallerGone, ShutdownAsked
from rosemaryweir.node.state import Lease
from rosemaryweir.orders.keys import BUCKET_COUNT
from rosemaryweir.orders.segment import RECLAIM_WINDOW_S
from rosemaryweir.orders.tests.rig import EPOCH, Rig

READ, WRITE = 0, 1


def claimed(rig, vm='vm-000', **options):
    """Place an order whose claim has become durable; it is sent."""
    req = rig.ask(vm, **options)
    rig.answer_store()
    rig.answer_store()
    assert len(rig.sends) == 1
    return req


def answer_all_of(rig, vm):
    """Answer the store calls of one entry; others hang."""
    while vm in (entries := [call.entry for call in rig.calls]):
        rig.answer_store(entries.index(vm))


def test_an_order_is_claimed_sent_recorded():
    rig = Rig()
    req = claimed(rig)
    assert rig.records()['k1']['state'] == 'claimed'
    rig.answer_send()
    assert rig.said(req) == ('done', False)
    rig.settle(2)
    assert rig.records()['k1']['state'] == 'done'
    assert not rig.nodes['vm-000'].busy(rig.now)


@pytest.mark.parametrize('outcome', ['done', 'failed', 'unknown'])
def test_a_retry_elsewhere_gets_the_recorded_outcome(outcome):
    rig = Rig()
    req = claimed(rig)
    rig.answer_send(outcome=outcome)
    rig.settle(2)
    again = rig.ask('vm-001')
    rig.settle(2)
    assert rig.said(req) == (outcome, False)
    assert rig.said(again) == (outcome, True)
    assert len(rig.runs) <= 1


def test_nothing_is_sent_before_the_claim_is_durable():
    rig = Rig()
    rig.ask('vm-000')
    assert not rig.sends
    rig.answer_store()
    assert not rig.sends


@pytest.mark.parametrize('fault', ['unavailable', 'lost', 'reply lost'])
@pytest.mark.parametrize('step', [READ, WRITE])
def test_one_store_fault_before_the_send_is_overcome(step, fault):
    rig = Rig()
    req = rig.ask('vm-000', deadline_ms=5000)
    for _ in range(step):
        rig.answer_store()
    rig.answer_store(fault=fault)
    rig.settle(3)
    assert rig.said(req) == ('done', False)
    assert rig.runs == ['k1']


@pytest.mark.parametrize('fault', ['unavailable', 'lost', 'reply lost'])
def test_outage_before_the_send_is_not_run_and_the_key_stays_usable(fault):
    rig = Rig()
    req = rig.ask('vm-000', deadline_ms=20000)
    rig.answer_store()
    for _ in range(3):
        rig.answer_store(fault=fault)
        rig.pass_time(1.5)
    assert rig.said(req) == ('store_down', 'not_run')
    assert not rig.runs
    again = rig.ask('vm-001', deadline_ms=5000)
    rig.settle(5)
    assert rig.said(again) == ('done', False)
    assert rig.runs == ['k1']


def test_a_write_that_lands_after_the_refusal_is_released():
    rig = Rig()
    req = rig.ask('vm-000', deadline_ms=20000)
    rig.answer_store()
    late = rig.calls.pop()
    rig.pass_time(2.5)
    for _ in range(2):
        rig.answer_store(fault='unavailable')
        rig.pass_time(1.5)
    assert rig.said(req) == ('store_down', 'not_run')
    rig._apply(late.action)
    assert rig.records()['k1']['state'] == 'claimed'
    rig.settle(5)
    assert rig.records()['k1']['state'] == 'released'
    again = rig.ask('vm-002')
    rig.settle(5)
    assert rig.said(again) == ('done', False)


def test_a_retry_without_a_look_at_the_record_is_not_told_not_run():
    rig = Rig()
    claimed(rig)
    rig.answer_send(outcome='lost after')
    again = rig.ask('vm-001', deadline_ms=20000)
    for _ in range(3):
        rig.answer_store(fault='unavailable')
        rig.pass_time(1.5)
    assert rig.said(again) == ('store_down', 'unknown')


def test_outage_after_the_outcome_delays_the_record_only():
    rig = Rig()
    req = claimed(rig)
    rig.answer_send()
    assert rig.said(req) == ('done', False)
    for _ in range(8):
        rig.pass_time(1.5)
        rig.answer_store(fault='unavailable')
    assert rig.nodes['vm-000'].busy(rig.now)
    rig.settle(3)
    assert rig.records()['k1']['state'] == 'done'


def test_no_answer_of_the_leaf_is_unknown_and_never_sent_again():
    rig = Rig()
    req = claimed(rig)
    rig.answer_send(outcome='lost')
    rig.pass_time(1.1)
    assert rig.said(req) == ('unknown', False)
    again = rig.ask('vm-001', deadline_ms=500)
    rig.settle(15)
    assert rig.said(again) == ('unknown', True)
    assert not rig.runs
    assert rig.records()['k1']['state'] == 'unknown'


def test_a_late_outcome_is_still_recorded():
    rig = Rig()
    req = claimed(rig)
    rig.pass_time(1.1)
    assert rig.said(req) == ('unknown', False)
    rig.answer_send()
    again = rig.ask('vm-000')
    assert rig.said(again) == ('done', True)
    rig.settle(2)
    assert rig.records()['k1']['state'] == 'done'


def test_refused_orders_go_to_other_targets_then_free_the_key():
    rig = Rig()
    req = claimed(rig)
    targets = set()
    while rig.sends:
        targets.add(rig.sends[0].action.message['target'])
        rig.answer_send(outcome='refused')
    assert len(targets) == 3
    assert rig.said(req) == ('no_capacity', 'not_run')
    rig.settle(2)
    again = rig.ask('vm-001')
    rig.settle(2)
    assert rig.said(again) == ('done', False)
    assert rig.runs == ['k1']


def test_a_lease_that_lapsed_before_the_send_stops_it():
    rig = Rig()
    req = rig.ask('vm-000')
    rig.answer_store()
    rig.nodes['vm-000'].state.lease = Lease(0.0, 'fenced')
    rig.answer_store()
    assert not rig.sends
    assert rig.said(req) == ('fenced', 'not_run')


def test_a_withdrawn_domain_gets_no_order():
    rig = Rig()
    rig.ask('vm-000')
    rig.answer_store()
    rig.nodes['vm-000'].state.suspended = frozenset(['nordvest-a'])
    rig.answer_store()
    target = rig.sends[0].action.message['target']
    domains = rig.nodes['vm-000'].state.config['targets']
    assert domains[target]['domain'] != 'nordvest-a'


def test_a_pause_past_the_deadline_stops_the_send():
    rig = Rig()
    req = rig.ask('vm-000')
    rig.answer_store()
    rig.now += 5.0
    rig.answer_store()
    assert not rig.sends
    assert rig.said(req) == ('deadline', 'not_run')


def test_a_claim_withdrawn_while_it_is_written_is_released():
    rig = Rig()
    req = rig.ask('vm-000', deadline_ms=50)
    rig.answer_store()
    rig.pass_time(0.1)
    assert rig.said(req) == ('deadline', 'not_run')
    rig.settle(2)
    assert rig.records()['k1']['state'] == 'released'
    assert not rig.nodes['vm-000'].busy(rig.now)


def test_a_dead_entrys_claim_is_unknown():
    rig = Rig()
    claimed(rig)
    rig.kill('vm-000')
    again = rig.ask('vm-001', deadline_ms=500)
    rig.settle(3)
    assert rig.said(again) == ('unknown', True)
    assert rig.runs == ['k1']


def test_a_restarted_entry_knows_that_its_predecessor_is_gone():
    rig = Rig()
    claimed(rig)
    rig.kill('vm-000')
    rig.now += 1.0
    rig.start('vm-000')
    again = rig.ask('vm-000')
    rig.answer_store()
    assert rig.said(again) == ('unknown', True)


def test_two_entries_racing_one_key_send_once():
    rig = Rig()
    first = rig.ask('vm-000')
    second = rig.ask('vm-001')
    for _ in range(4):
        rig.answer_store()
    assert len(rig.sends) == 1
    rig.settle(3)
    assert rig.said(first) == ('done', False)
    assert rig.said(second) == ('done', True)


def test_another_order_under_the_same_key_is_refused():
    rig = Rig()
    claimed(rig)
    here = rig.ask('vm-000', body='other')
    rig.answer_send()
    there = rig.ask('vm-001', body='other')
    rig.settle(2)
    assert rig.said(here) == ('mismatch', 'not_run')
    assert rig.said(there) == ('mismatch', 'not_run')


def test_orders_share_writes():
    rig = Rig()
    for number in range(400):
        rig.ask('vm-000', f'k{number}', deadline_ms=10000)
    writes = 0
    while len(rig.runs) < 400:
        while rig.calls:
            writes += hasattr(rig.calls[0].action, 'expected')
            rig.answer_store()
        while rig.sends:
            rig.answer_send()
        rig.pass_time(0.01)
    assert writes <= 3 * BUCKET_COUNT


def test_hanging_up_does_not_stop_an_order():
    rig = Rig()
    req = claimed(rig)
    rig.give('vm-000', CallerGone(req))
    rig.answer_send()
    rig.settle(2)
    assert req not in rig.answers
    assert rig.records()['k1']['state'] == 'done'


def test_hanging_up_before_the_send_stops_an_order():
    rig = Rig()
    req = rig.ask('vm-000')
    rig.answer_store()
    rig.give('vm-000', CallerGone(req))
    rig.answer_store()
    assert not rig.sends
    rig.settle(2)
    assert rig.records()['k1']['state'] == 'released'


def test_an_older_request_does_not_run_after_a_later_one_was_not_run():
    rig = Rig()
    older = rig.ask('vm-000', deadline_ms=5000)
    rig.pass_time(0.1)
    later = rig.ask('vm-001')
    rig.answer_store(1)
    rig.answer_store(1)
    while rig.sends:
        rig.answer_send(outcome='refused')
    assert rig.said(later) == ('no_capacity', 'not_run')
    rig.settle(3)
    assert rig.said(older) == ('conflict', 'not_run')
    assert not rig.runs


@pytest.mark.parametrize('skew', [-300, 300])
def test_no_clock_lets_an_abandoned_request_run_after_not_run(skew):
    rig = Rig()
    rig.skew['vm-000'] = skew
    abandoned = rig.ask('vm-000', deadline_ms=20000)
    rig.pass_time(RECLAIM_WINDOW_S + 0.1)
    later = rig.ask('vm-001')
    answer_all_of(rig, 'vm-001')
    while rig.sends:
        rig.answer_send(outcome='refused')
    assert rig.said(later) == ('no_capacity', 'not_run')
    answer_all_of(rig, 'vm-001')
    rig.settle(3)
    assert rig.said(abandoned) == ('conflict', 'not_run')
    assert not rig.runs


@pytest.mark.parametrize('skew', [-300, 300])
def test_a_clock_that_is_off_keeps_no_key_from_its_retry(skew):
    rig = Rig()
    rig.skew['vm-000'] = skew
    rig.ask('vm-000')
    rig.settle(1, outcome='refused')
    retry = rig.ask('vm-001')
    rig.settle(1)
    assert rig.said(retry) == ('done', False)


@pytest.mark.parametrize('step', [-86400 * 2, -300, 300, 86400 * 2])
def test_a_clock_step_runs_no_order_twice(step):
    rig = Rig()
    first = rig.ask('vm-000', 'k1')
    rig.settle(1)
    rig.skew = dict.fromkeys(('vm-000', 'vm-001'), step)
    retries = [rig.ask(vm, 'k1') for vm in ('vm-000', 'vm-001', 'vm-002')]
    rig.settle(2)
    assert rig.said(first) == ('done', False)
    assert [rig.said(req) for req in retries] == [('done', True)] * 3
    assert rig.runs == ['k1']


def test_an_order_without_callers_or_answer_ends():
    rig = Rig()
    req = claimed(rig)
    rig.give('vm-000', CallerGone(req))
    rig.answer_send(outcome='lost')
    rig.settle(15)
    assert rig.records()['k1']['state'] == 'unknown'
    assert not rig.nodes['vm-000'].busy(rig.now)


def test_shutdown_waits_for_the_record():
    rig = Rig()
    claimed(rig)
    node = rig.nodes['vm-000']
    rig.give('vm-000', ShutdownAsked())
    assert node.busy(rig.now)
    rig.settle(2)
    assert not node.busy(rig.now)
    assert rig.records()['k1']['state'] == 'done'


def test_wall_clock_of_the_claim_is_the_arrival():
    rig = Rig()
    claimed(rig)
    assert rig.records()['k1']['claimed_at'] == EPOCH

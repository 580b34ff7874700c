"""Processing of single orders, with a fault at each step."""

import pytest

from rosemaryweir.node.event import CallerGone, ShutdownAsked
from rosemaryweir.node.state import Lease
from rosemaryweir.orders.keys import BUCKET_COUNT
from rosemaryweir.orders.segment import RECLAIM_WINDOW_S
from rosemaryweir.orders.tests.order_cluster import (
    START_WALL_TIME,
    OrderCluster,
)

READ, WRITE = 0, 1


def place_claimed_order(cluster, vm='vm-000', **options):
    """Place an order, make its claim durable, and check that it is sent."""
    req = cluster.ask(vm, **options)
    cluster.answer_store()
    cluster.answer_store()
    assert len(cluster.sends) == 1
    return req


def answer_store_calls_of(cluster, vm):
    """Answer the store calls of one entry only."""
    while vm in (entries := [call.entry for call in cluster.store_calls]):
        cluster.answer_store(entries.index(vm))


def test_an_order_is_claimed_sent_recorded():
    cluster = OrderCluster()
    req = place_claimed_order(cluster)
    assert cluster.records()['k1']['state'] == 'claimed'
    cluster.answer_send()
    assert cluster.result_of(req) == ('done', False)
    cluster.settle(2)
    assert cluster.records()['k1']['state'] == 'done'
    assert not cluster.nodes['vm-000'].busy(cluster.now)


@pytest.mark.parametrize('outcome', ['done', 'failed', 'unknown'])
def test_a_retry_elsewhere_gets_the_recorded_outcome(outcome):
    cluster = OrderCluster()
    req = place_claimed_order(cluster)
    cluster.answer_send(outcome=outcome)
    cluster.settle(2)
    again = cluster.ask('vm-001')
    cluster.settle(2)
    assert cluster.result_of(req) == (outcome, False)
    assert cluster.result_of(again) == (outcome, True)
    assert len(cluster.order_runs) <= 1


def test_nothing_is_sent_before_the_claim_is_durable():
    cluster = OrderCluster()
    cluster.ask('vm-000')
    assert not cluster.sends
    cluster.answer_store()
    assert not cluster.sends


@pytest.mark.parametrize('fault', ['unavailable', 'lost', 'reply lost'])
@pytest.mark.parametrize('step', [READ, WRITE])
def test_one_store_fault_before_the_send_is_overcome(step, fault):
    cluster = OrderCluster()
    req = cluster.ask('vm-000', deadline_ms=5000)
    for _ in range(step):
        cluster.answer_store()
    cluster.answer_store(fault=fault)
    cluster.settle(3)
    assert cluster.result_of(req) == ('done', False)
    assert cluster.order_runs == ['k1']


@pytest.mark.parametrize('fault', ['unavailable', 'lost', 'reply lost'])
def test_outage_before_the_send_is_not_run_and_the_key_stays_usable(fault):
    cluster = OrderCluster()
    req = cluster.ask('vm-000', deadline_ms=20000)
    cluster.answer_store()
    for _ in range(3):
        cluster.answer_store(fault=fault)
        cluster.advance_time(1.5)
    assert cluster.result_of(req) == ('store_down', 'not_run')
    assert not cluster.order_runs
    again = cluster.ask('vm-001', deadline_ms=5000)
    cluster.settle(5)
    assert cluster.result_of(again) == ('done', False)
    assert cluster.order_runs == ['k1']


def test_a_write_that_lands_after_the_refusal_is_released():
    cluster = OrderCluster()
    req = cluster.ask('vm-000', deadline_ms=20000)
    cluster.answer_store()
    late = cluster.store_calls.pop()
    cluster.advance_time(2.5)
    for _ in range(2):
        cluster.answer_store(fault='unavailable')
        cluster.advance_time(1.5)
    assert cluster.result_of(req) == ('store_down', 'not_run')
    cluster._apply(late.action)
    assert cluster.records()['k1']['state'] == 'claimed'
    cluster.settle(5)
    assert cluster.records()['k1']['state'] == 'released'
    again = cluster.ask('vm-002')
    cluster.settle(5)
    assert cluster.result_of(again) == ('done', False)


def test_a_retry_without_a_look_at_the_record_is_not_told_not_run():
    cluster = OrderCluster()
    place_claimed_order(cluster)
    cluster.answer_send(outcome='lost after')
    again = cluster.ask('vm-001', deadline_ms=20000)
    for _ in range(3):
        cluster.answer_store(fault='unavailable')
        cluster.advance_time(1.5)
    assert cluster.result_of(again) == ('store_down', 'unknown')


def test_outage_after_the_outcome_delays_the_record_only():
    cluster = OrderCluster()
    req = place_claimed_order(cluster)
    cluster.answer_send()
    assert cluster.result_of(req) == ('done', False)
    for _ in range(8):
        cluster.advance_time(1.5)
        cluster.answer_store(fault='unavailable')
    assert cluster.nodes['vm-000'].busy(cluster.now)
    cluster.settle(3)
    assert cluster.records()['k1']['state'] == 'done'


def test_no_answer_of_the_leaf_is_unknown_and_never_sent_again():
    cluster = OrderCluster()
    req = place_claimed_order(cluster)
    cluster.answer_send(outcome='lost')
    cluster.advance_time(1.1)
    assert cluster.result_of(req) == ('unknown', False)
    again = cluster.ask('vm-001', deadline_ms=500)
    cluster.settle(15)
    assert cluster.result_of(again) == ('unknown', True)
    assert not cluster.order_runs
    assert cluster.records()['k1']['state'] == 'unknown'


def test_a_late_outcome_is_still_recorded():
    cluster = OrderCluster()
    req = place_claimed_order(cluster)
    cluster.advance_time(1.1)
    assert cluster.result_of(req) == ('unknown', False)
    cluster.answer_send()
    again = cluster.ask('vm-000')
    assert cluster.result_of(again) == ('done', True)
    cluster.settle(2)
    assert cluster.records()['k1']['state'] == 'done'


def test_refused_orders_go_to_other_targets_then_free_the_key():
    cluster = OrderCluster()
    req = place_claimed_order(cluster)
    targets = set()
    while cluster.sends:
        targets.add(cluster.sends[0].action.message['target'])
        cluster.answer_send(outcome='refused')
    assert len(targets) == 3
    assert cluster.result_of(req) == ('no_capacity', 'not_run')
    cluster.settle(2)
    again = cluster.ask('vm-001')
    cluster.settle(2)
    assert cluster.result_of(again) == ('done', False)
    assert cluster.order_runs == ['k1']


def test_a_lease_that_lapsed_before_the_send_stops_it():
    cluster = OrderCluster()
    req = cluster.ask('vm-000')
    cluster.answer_store()
    cluster.nodes['vm-000'].state.lease = Lease(0.0, 'fenced')
    cluster.answer_store()
    assert not cluster.sends
    assert cluster.result_of(req) == ('fenced', 'not_run')


def test_a_withdrawn_domain_gets_no_order():
    cluster = OrderCluster()
    cluster.ask('vm-000')
    cluster.answer_store()
    cluster.nodes['vm-000'].state.suspended = frozenset(['nordvest-a'])
    cluster.answer_store()
    target = cluster.sends[0].action.message['target']
    domains = cluster.nodes['vm-000'].state.config['targets']
    assert domains[target]['domain'] != 'nordvest-a'


def test_a_pause_past_the_deadline_stops_the_send():
    cluster = OrderCluster()
    req = cluster.ask('vm-000')
    cluster.answer_store()
    cluster.now += 5.0
    cluster.answer_store()
    assert not cluster.sends
    assert cluster.result_of(req) == ('deadline', 'not_run')


def test_a_claim_withdrawn_while_it_is_written_is_released():
    cluster = OrderCluster()
    req = cluster.ask('vm-000', deadline_ms=50)
    cluster.answer_store()
    cluster.advance_time(0.1)
    assert cluster.result_of(req) == ('deadline', 'not_run')
    cluster.settle(2)
    assert cluster.records()['k1']['state'] == 'released'
    assert not cluster.nodes['vm-000'].busy(cluster.now)


def test_a_dead_entrys_claim_is_unknown():
    cluster = OrderCluster()
    place_claimed_order(cluster)
    cluster.stop('vm-000')
    again = cluster.ask('vm-001', deadline_ms=500)
    cluster.settle(3)
    assert cluster.result_of(again) == ('unknown', True)
    assert cluster.order_runs == ['k1']


def test_a_restarted_entry_knows_that_its_predecessor_is_gone():
    cluster = OrderCluster()
    place_claimed_order(cluster)
    cluster.stop('vm-000')
    cluster.now += 1.0
    cluster.start('vm-000')
    again = cluster.ask('vm-000')
    cluster.answer_store()
    assert cluster.result_of(again) == ('unknown', True)


def test_two_entries_racing_one_key_send_once():
    cluster = OrderCluster()
    first = cluster.ask('vm-000')
    second = cluster.ask('vm-001')
    for _ in range(4):
        cluster.answer_store()
    assert len(cluster.sends) == 1
    cluster.settle(3)
    assert cluster.result_of(first) == ('done', False)
    assert cluster.result_of(second) == ('done', True)


def test_another_order_under_the_same_key_is_refused():
    cluster = OrderCluster()
    place_claimed_order(cluster)
    here = cluster.ask('vm-000', body='other')
    cluster.answer_send()
    there = cluster.ask('vm-001', body='other')
    cluster.settle(2)
    assert cluster.result_of(here) == ('mismatch', 'not_run')
    assert cluster.result_of(there) == ('mismatch', 'not_run')


def test_orders_share_writes():
    cluster = OrderCluster()
    for number in range(400):
        cluster.ask('vm-000', f'k{number}', deadline_ms=10000)
    writes = 0
    while len(cluster.order_runs) < 400:
        while cluster.store_calls:
            writes += hasattr(cluster.store_calls[0].action, 'expected')
            cluster.answer_store()
        while cluster.sends:
            cluster.answer_send()
        cluster.advance_time(0.01)
    assert writes <= 3 * BUCKET_COUNT


def test_hanging_up_does_not_stop_an_order():
    cluster = OrderCluster()
    req = place_claimed_order(cluster)
    cluster.send_event('vm-000', CallerGone(req))
    cluster.answer_send()
    cluster.settle(2)
    assert req not in cluster.answers
    assert cluster.records()['k1']['state'] == 'done'


def test_hanging_up_before_the_send_stops_an_order():
    cluster = OrderCluster()
    req = cluster.ask('vm-000')
    cluster.answer_store()
    cluster.send_event('vm-000', CallerGone(req))
    cluster.answer_store()
    assert not cluster.sends
    cluster.settle(2)
    assert cluster.records()['k1']['state'] == 'released'


def test_an_older_request_does_not_run_after_a_later_one_was_not_run():
    cluster = OrderCluster()
    older = cluster.ask('vm-000', deadline_ms=5000)
    cluster.advance_time(0.1)
    later = cluster.ask('vm-001')
    cluster.answer_store(1)
    cluster.answer_store(1)
    while cluster.sends:
        cluster.answer_send(outcome='refused')
    assert cluster.result_of(later) == ('no_capacity', 'not_run')
    cluster.settle(3)
    assert cluster.result_of(older) == ('conflict', 'not_run')
    assert not cluster.order_runs


@pytest.mark.parametrize('skew', [-300, 300])
def test_no_clock_lets_an_abandoned_request_run_after_not_run(skew):
    cluster = OrderCluster()
    cluster.skew['vm-000'] = skew
    abandoned = cluster.ask('vm-000', deadline_ms=20000)
    cluster.advance_time(RECLAIM_WINDOW_S + 0.1)
    later = cluster.ask('vm-001')
    answer_store_calls_of(cluster, 'vm-001')
    while cluster.sends:
        cluster.answer_send(outcome='refused')
    assert cluster.result_of(later) == ('no_capacity', 'not_run')
    answer_store_calls_of(cluster, 'vm-001')
    cluster.settle(3)
    assert cluster.result_of(abandoned) == ('conflict', 'not_run')
    assert not cluster.order_runs


@pytest.mark.parametrize('skew', [-300, 300])
def test_a_clock_that_is_off_keeps_no_key_from_its_retry(skew):
    cluster = OrderCluster()
    cluster.skew['vm-000'] = skew
    cluster.ask('vm-000')
    cluster.settle(1, outcome='refused')
    retry = cluster.ask('vm-001')
    cluster.settle(1)
    assert cluster.result_of(retry) == ('done', False)


@pytest.mark.parametrize('step', [-86400 * 2, -300, 300, 86400 * 2])
def test_a_clock_step_runs_no_order_twice(step):
    cluster = OrderCluster()
    first = cluster.ask('vm-000', 'k1')
    cluster.settle(1)
    cluster.skew = dict.fromkeys(('vm-000', 'vm-001'), step)
    retries = [cluster.ask(vm, 'k1') for vm in ('vm-000', 'vm-001', 'vm-002')]
    cluster.settle(2)
    assert cluster.result_of(first) == ('done', False)
    assert [cluster.result_of(req) for req in retries] == [('done', True)] * 3
    assert cluster.order_runs == ['k1']


def test_an_order_without_callers_or_answer_ends():
    cluster = OrderCluster()
    req = place_claimed_order(cluster)
    cluster.send_event('vm-000', CallerGone(req))
    cluster.answer_send(outcome='lost')
    cluster.settle(15)
    assert cluster.records()['k1']['state'] == 'unknown'
    assert not cluster.nodes['vm-000'].busy(cluster.now)


def test_shutdown_waits_for_the_record():
    cluster = OrderCluster()
    place_claimed_order(cluster)
    node = cluster.nodes['vm-000']
    cluster.send_event('vm-000', ShutdownAsked())
    assert node.busy(cluster.now)
    cluster.settle(2)
    assert not node.busy(cluster.now)
    assert cluster.records()['k1']['state'] == 'done'


def test_wall_clock_of_the_claim_is_the_arrival():
    cluster = OrderCluster()
    place_claimed_order(cluster)
    assert cluster.records()['k1']['claimed_at'] == START_WALL_TIME

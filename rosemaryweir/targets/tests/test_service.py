"""Tests of a whole leaf under single faults."""

import pytest

from rosemaryweir.node.action import CancelAttempt, Exit
from rosemaryweir.node.event import (
    PeerMessage,
    PlatformList,
    ShutdownAsked,
    TargetHealth,
)
from rosemaryweir.node.state import Lease
from rosemaryweir.targets.tests.leaf_harness import LeafHarness, config, view


@pytest.fixture
def leaf():
    return LeafHarness()


@pytest.fixture
def warm_leaf(leaf):
    leaf.warm_up()
    return leaf


def test_sub_query_is_answered(leaf):
    attempt = leaf.send_query()
    leaf.open_connections()
    leaf.reply(leaf.sends[-1])
    assert leaf.outcomes() == {attempt: ('ok', 'yes')}
    assert leaf.messages[-1]['loads'][0]['cold']


def test_cold_target_gets_only_its_cold_slots(leaf):
    for _ in range(4):
        leaf.send_query()
    leaf.open_connections()
    assert len(leaf.sends) == 1


def test_warm_target_gets_all_its_slots_and_no_more(warm_leaf):
    sent = len(warm_leaf.sends)
    for _ in range(6):
        warm_leaf.send_query()
        warm_leaf.open_connections()
    assert len(warm_leaf.sends) - sent == 3


@pytest.mark.parametrize('kind', ['crossed', 'unasked'])
def test_reply_to_another_attempt_closes_its_connection(warm_leaf, kind):
    attempt = warm_leaf.send_query()
    send = warm_leaf.sends[-1]
    if kind == 'unasked':
        warm_leaf.reply(send)
        warm_leaf.reply(send)
        assert warm_leaf.outcomes()[attempt] == ('ok', 'yes')
    else:
        warm_leaf.reply(send, attempt='another')
        assert warm_leaf.outcomes()[attempt] == ('cut', 'unknown')
    assert [each.reason for each in warm_leaf.closings] == ['crossed']


def test_attempt_on_closed_connection_holds_its_slot_until_deadline(leaf):
    first = leaf.send_query(remaining_ms=300)
    leaf.open_connections()
    leaf.close_connection(leaf.sends[-1].conn, idle=False)
    assert leaf.outcomes()[first] == ('cut', 'unknown')
    leaf.send_query(remaining_ms=2000)
    leaf.open_connections()
    assert len(leaf.sends) == 1
    leaf.advance_to(leaf.now + 0.45)
    leaf.open_connections()
    assert len(leaf.sends) == 2


def test_overdue_order_holds_its_slot_past_its_deadline(leaf):
    leaf.send_order('o1', remaining_ms=300)
    leaf.open_connections()
    leaf.advance_to(leaf.now + 0.4)
    assert leaf.order_results() == [('o1', 'unknown')]
    leaf.send_order('o2', remaining_ms=2000)
    leaf.open_connections()
    assert len(leaf.sends) == 1
    leaf.advance_to(leaf.now + 3.0)
    assert leaf.order_results()[-1] == ('o2', 'refused')


def test_silent_connection_is_closed_and_target_stays_warm(warm_leaf):
    silent = warm_leaf.send_query()
    for _ in range(3):
        warm_leaf.send_query()
        warm_leaf.open_connections()
        warm_leaf.advance_to(warm_leaf.now + 0.01)
        warm_leaf.reply(warm_leaf.sends[-1])
    warm_leaf.advance_to(warm_leaf.now + 0.1)
    assert warm_leaf.outcomes()[silent] == ('cut', 'unknown')
    assert [each.reason for each in warm_leaf.closings] == ['silent']
    assert not warm_leaf.part.exclusions
    assert not warm_leaf.target_state().warmth.cold


def test_single_overdue_attempt_is_cancelled_to_check_connection(warm_leaf):
    silent = warm_leaf.send_query()
    warm_leaf.advance_to(warm_leaf.now + 0.4)
    assert any(
        isinstance(each, CancelAttempt) for each in warm_leaf.other_actions
    )
    assert warm_leaf.outcomes()[silent] == ('cut', 'unknown')
    assert [each.reason for each in warm_leaf.closings] == ['silent']


def test_target_that_restarted_with_connections_closed_is_cold(warm_leaf):
    for conn in tuple(warm_leaf.target_state().pool.conns):
        warm_leaf.close_connection(conn)
    sent = len(warm_leaf.sends)
    for _ in range(3):
        warm_leaf.send_query()
        warm_leaf.open_connections()
    assert len(warm_leaf.sends) - sent == 1
    warm_leaf.reply(warm_leaf.sends[-1], incarnation=2)
    warm_leaf.open_connections()
    assert len(warm_leaf.sends) - sent == 2
    assert warm_leaf.target_state().warmth.cold


def test_first_connection_after_none_gets_the_cold_limit(warm_leaf):
    send = warm_leaf.sends[-1]
    warm_leaf.reply(send, attempt='stray')
    sent = len(warm_leaf.sends)
    for _ in range(3):
        warm_leaf.send_query()
        warm_leaf.open_connections()
    assert len(warm_leaf.sends) - sent == 1


def test_full_limit_returns_if_incarnation_is_unchanged_after_reset(warm_leaf):
    warm_leaf.close_connection(next(iter(warm_leaf.target_state().pool.conns)))
    assert warm_leaf.target_state().allowed == 1
    warm_leaf.send_query()
    warm_leaf.open_connections()
    warm_leaf.reply(warm_leaf.sends[-1])
    assert warm_leaf.target_state().allowed == 3


def test_nothing_is_sent_after_the_lease_expired(warm_leaf):
    sent = len(warm_leaf.sends)
    warm_leaf.state.lease = Lease(warm_leaf.now, 'lapsed')
    attempt = warm_leaf.send_query()
    assert warm_leaf.outcomes()[attempt] == ('not_owner', 'no')
    assert len(warm_leaf.sends) == sent


def test_queued_attempt_is_refused_when_the_lease_expires(leaf):
    attempts = [leaf.send_query() for _ in range(2)]
    leaf.open_connections()
    leaf.state.lease = Lease(leaf.now, 'lapsed')
    leaf.reply(leaf.sends[-1])
    leaf.advance_to(leaf.now + 0.2)
    assert leaf.outcomes()[attempts[1]] == ('not_owner', 'no')
    assert len(leaf.sends) == 1


def test_withdrawn_domain_gets_no_new_work_but_completes_old(leaf):
    running, waiting = leaf.send_query(), leaf.send_query()
    leaf.open_connections()
    leaf.state.take_config(config(generation=2, state='out'))
    late = leaf.send_query()
    leaf.reply(leaf.sends[-1])
    leaf.advance_to(leaf.now + 0.2)
    assert leaf.outcomes() == {
        running: ('ok', 'yes'),
        waiting: ('out', 'no'),
        late: ('out', 'no'),
    }


def test_domain_that_returns_is_cold(warm_leaf):
    warm_leaf.state.take_config(config(generation=2, state='out'))
    warm_leaf.advance_to(warm_leaf.now + 1.0)
    warm_leaf.state.take_config(config(generation=3))
    warm_leaf.send_query()
    assert warm_leaf.target_state().warmth.cold
    assert warm_leaf.target_state().allowed == 1


@pytest.mark.parametrize('sign', ['reply', 'list', 'health', 'closes'])
def test_any_sign_of_leaving_excludes_a_target(warm_leaf, sign):
    if sign == 'reply':
        warm_leaf.send_query()
        warm_leaf.reply(warm_leaf.sends[-1], status='draining')
    if sign == 'list':
        warm_leaf.handle(PlatformList((), ('t',)))
    if sign == 'health':
        warm_leaf.handle(TargetHealth('t', 'draining', 0.0, 1))
    if sign == 'closes':
        for _ in range(2):
            warm_leaf.send_query()
        warm_leaf.open_connections()
        for conn in tuple(warm_leaf.target_state().pool.conns):
            warm_leaf.close_connection(conn, reason='closed')
    attempt = warm_leaf.send_query()
    assert warm_leaf.outcomes()[attempt] == ('out', 'no')
    warm_leaf.handle(TargetHealth('t', 'ready', 0.0, 1))
    attempt = warm_leaf.send_query()
    assert warm_leaf.outcomes()[attempt] == ('out', 'no')
    warm_leaf.handle(TargetHealth('t', 'ready', 0.0, 2))
    warm_leaf.send_query()
    assert not warm_leaf.part.exclusions
    assert warm_leaf.target_state().warmth.cold


def test_queued_attempt_is_refused_by_its_deadline(leaf):
    leaf.send_query(remaining_ms=500)
    waiting = leaf.send_query(remaining_ms=50)
    leaf.open_connections()
    leaf.advance_to(leaf.now + 0.06)
    assert leaf.outcomes()[waiting] == ('shed', 'no')


def test_query_is_refused_while_time_is_left_for_another_target(leaf):
    leaf.send_query(remaining_ms=1000)
    waiting = leaf.send_query(remaining_ms=1000)
    leaf.open_connections()
    leaf.advance_to(leaf.now + 0.35)
    assert leaf.outcomes()[waiting] == ('shed', 'no')


def test_cancelled_attempt_holds_its_slot_until_answered(leaf):
    first, second, third = (
        leaf.send_query(),
        leaf.send_query(),
        leaf.send_query(),
    )
    leaf.open_connections()
    leaf.cancel_query(first)
    leaf.cancel_query(second)
    assert leaf.outcomes()[second] == ('cancelled', 'no')
    assert len(leaf.sends) == 1
    leaf.reply(leaf.sends[-1], status='cancelled')
    assert leaf.sends[-1].attempt == third


def test_order_is_sent_once(leaf):
    leaf.send_order('o1')
    leaf.open_connections()
    leaf.send_order('o1')
    leaf.reply(leaf.sends[-1], reply='r')
    leaf.send_order('o1')
    assert [send.attempt for send in leaf.sends] == ['o1']
    assert leaf.order_results() == [('o1', 'done'), ('o1', 'done')]


@pytest.mark.parametrize(
    ('fault', 'outcome'),
    [
        ('shed', 'refused'),
        ('draining', 'refused'),
        ('failed', 'failed'),
        ('cut', 'unknown'),
        ('timeout', 'unknown'),
        ('crossed', 'unknown'),
    ],
)
def test_outcome_of_an_order(leaf, fault, outcome):
    leaf.send_order('o1', remaining_ms=300)
    leaf.open_connections()
    send = leaf.sends[-1]
    if fault == 'cut':
        leaf.close_connection(send.conn, idle=False)
    elif fault == 'timeout':
        leaf.advance_to(leaf.now + 0.4)
    elif fault == 'crossed':
        leaf.reply(send, attempt='another')
    else:
        leaf.reply(send, status=fault)
    assert leaf.order_results() == [('o1', outcome)]
    assert len(leaf.sends) == 1


def test_order_past_its_deadline_is_refused(leaf):
    leaf.send_order('o1', remaining_ms=0.0)
    leaf.open_connections()
    assert leaf.order_results() == [('o1', 'refused')]
    assert not leaf.sends


def test_order_is_not_sent_on_a_long_idle_connection(warm_leaf):
    old = next(iter(warm_leaf.target_state().pool.conns))
    warm_leaf.advance_to(warm_leaf.now + 5.0)
    warm_leaf.send_order('o1')
    warm_leaf.open_connections()
    assert warm_leaf.sends[-1].attempt == 'o1'
    assert warm_leaf.sends[-1].conn != old


def test_target_of_another_leaf_is_released_once_no_attempt_runs():
    leaf = LeafHarness(vms=('vm1',))
    leaf.send_query('t')
    leaf.send_query('u')
    leaf.open_connections()
    leaf.state.take_view(view(2, ('vm2',)))
    leaf.advance_to(leaf.now + 0.2)
    assert not [m for m in leaf.messages if m['kind'] == 'released']
    for send in tuple(leaf.sends):
        leaf.reply(send)
    leaf.advance_to(leaf.now + 0.2)
    # The view contains vm2 alone, so its leaf gets the release.
    sent = [m for m in leaf.messages if m['kind'] == 'released']
    assert sent[0]['targets'] == ['t', 'u']
    assert sent[0]['view'] == 2


def test_new_target_is_used_only_after_its_release():
    leaf = LeafHarness(vms=('vm2',))
    leaf.state.take_view(view(2, ('vm1',)))
    attempt = leaf.send_query()
    assert leaf.outcomes()[attempt] == ('not_owner', 'no')
    message = {
        'kind': 'released',
        'domain': 'd',
        'view': 2,
        'targets': ['t'],
    }
    leaf.handle(PeerMessage('vm2/leaf', 1, message))
    leaf.send_query()
    leaf.open_connections()
    assert len(leaf.sends) == 1


def test_shutdown_waits_for_work_in_flight(leaf):
    attempt = leaf.send_query(remaining_ms=2000)
    leaf.open_connections()
    leaf.handle(ShutdownAsked())
    leaf.reply(leaf.sends[-1])
    assert leaf.outcomes()[attempt] == ('ok', 'yes')
    assert not any(isinstance(each, Exit) for each in leaf.other_actions)
    leaf.advance_to(leaf.now + 6.0)
    assert any(isinstance(each, Exit) for each in leaf.other_actions)

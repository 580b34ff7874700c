"""Tests of a leaf as a whole, fault by fault."""

import pytest

from rosemaryweir.node.action import CancelAttempt, Exit
from rosemaryweir.node.event import (
    PeerMessage,
    PlatformList,
    ShutdownAsked,
    TargetHealth,
)
from rosemaryweir.node.state import Lease
from rosemaryweir.targets.tests.leaf import Leaf, config, view


@pytest.fixture
def leaf():
    return Leaf()


@pytest.fixture
def warm(leaf):
    leaf.warm_up()
    return leaf


def test_answers_a_piece(leaf):
    attempt = leaf.ask()
    leaf.open_all()
    leaf.reply(leaf.sends[-1])
    assert leaf.outcomes() == {attempt: ('ok', 'yes')}
    assert leaf.messages[-1]['loads'][0]['cold']


def test_cold_target_gets_its_cold_slots(leaf):
    for _ in range(4):
        leaf.ask()
    leaf.open_all()
    assert len(leaf.sends) == 1


def test_warm_target_gets_its_slots_and_no_more(warm):
    sent = len(warm.sends)
    for _ in range(6):
        warm.ask()
        warm.open_all()
    assert len(warm.sends) - sent == 3


@pytest.mark.parametrize('how', ['crossed', 'unasked'])
def test_wrong_reply_closes_its_connection(warm, how):
    attempt = warm.ask()
    send = warm.sends[-1]
    if how == 'unasked':
        warm.reply(send)
        warm.reply(send)
        assert warm.outcomes()[attempt] == ('ok', 'yes')
    else:
        warm.reply(send, attempt='another')
        assert warm.outcomes()[attempt] == ('cut', 'unknown')
    assert [each.reason for each in warm.closed] == ['crossed']


def test_cut_attempt_holds_its_slot_until_its_deadline(leaf):
    first = leaf.ask(remaining_ms=300)
    leaf.open_all()
    leaf.hang_up(leaf.sends[-1].conn, idle=False)
    assert leaf.outcomes()[first] == ('cut', 'unknown')
    leaf.ask(remaining_ms=2000)
    leaf.open_all()
    assert len(leaf.sends) == 1
    leaf.to(leaf.now + 0.45)
    leaf.open_all()
    assert len(leaf.sends) == 2


def test_overdue_order_holds_its_slot_past_its_deadline(leaf):
    leaf.order('o1', remaining_ms=300)
    leaf.open_all()
    leaf.to(leaf.now + 0.4)
    assert leaf.orders() == [('o1', 'unknown')]
    leaf.order('o2', remaining_ms=2000)
    leaf.open_all()
    assert len(leaf.sends) == 1
    leaf.to(leaf.now + 3.0)
    assert leaf.orders()[-1] == ('o2', 'refused')


def test_silent_connection_is_condemned_not_the_target(warm):
    silent = warm.ask()
    for _ in range(3):
        warm.ask()
        warm.open_all()
        warm.to(warm.now + 0.01)
        warm.reply(warm.sends[-1])
    warm.to(warm.now + 0.1)
    assert warm.outcomes()[silent] == ('cut', 'unknown')
    assert [each.reason for each in warm.closed] == ['silent']
    assert not warm.part.exclusions
    assert not warm.target_state().warmth.cold


def test_alone_overdue_attempt_is_verified_by_cancelling(warm):
    silent = warm.ask()
    warm.to(warm.now + 0.4)
    assert any(isinstance(each, CancelAttempt) for each in warm.others)
    assert warm.outcomes()[silent] == ('cut', 'unknown')
    assert [each.reason for each in warm.closed] == ['silent']


def test_target_that_restarted_unseen_is_taken_for_cold(warm):
    for conn in tuple(warm.target_state().pool.conns):
        warm.hang_up(conn)
    sent = len(warm.sends)
    for _ in range(3):
        warm.ask()
        warm.open_all()
    assert len(warm.sends) - sent == 1
    warm.reply(warm.sends[-1], incarnation=2)
    warm.open_all()
    assert len(warm.sends) - sent == 2
    assert warm.target_state().warmth.cold


def test_target_that_restarted_with_no_connection_open_is_unsure(warm):
    send = warm.sends[-1]
    warm.reply(send, attempt='stray')
    sent = len(warm.sends)
    for _ in range(3):
        warm.ask()
        warm.open_all()
    assert len(warm.sends) - sent == 1


def test_broken_connection_of_the_same_incarnation_is_forgiven(warm):
    warm.hang_up(next(iter(warm.target_state().pool.conns)))
    assert warm.target_state().allowed == 1
    warm.ask()
    warm.open_all()
    warm.reply(warm.sends[-1])
    assert warm.target_state().allowed == 3


def test_no_send_after_the_lease_lapsed(warm):
    sent = len(warm.sends)
    warm.state.lease = Lease(warm.now, 'lapsed')
    attempt = warm.ask()
    assert warm.outcomes()[attempt] == ('not_owner', 'no')
    assert len(warm.sends) == sent


def test_waiting_work_is_refused_when_the_lease_lapses_meanwhile(leaf):
    attempts = [leaf.ask() for _ in range(2)]
    leaf.open_all()
    leaf.state.lease = Lease(leaf.now, 'lapsed')
    leaf.reply(leaf.sends[-1])
    leaf.to(leaf.now + 0.2)
    assert leaf.outcomes()[attempts[1]] == ('not_owner', 'no')
    assert len(leaf.sends) == 1


def test_withdrawn_domain_gets_nothing_and_work_in_flight_completes(leaf):
    running, waiting = leaf.ask(), leaf.ask()
    leaf.open_all()
    leaf.state.take_config(config(generation=2, state='out'))
    late = leaf.ask()
    leaf.reply(leaf.sends[-1])
    leaf.to(leaf.now + 0.2)
    assert leaf.outcomes() == {
        running: ('ok', 'yes'),
        waiting: ('out', 'no'),
        late: ('out', 'no'),
    }


def test_domain_that_returns_is_cold(warm):
    warm.state.take_config(config(generation=2, state='out'))
    warm.to(warm.now + 1.0)
    warm.state.take_config(config(generation=3))
    warm.ask()
    assert warm.target_state().warmth.cold
    assert warm.target_state().allowed == 1


@pytest.mark.parametrize('sign', ['reply', 'list', 'health', 'closes'])
def test_any_sign_excludes_a_leaving_target(warm, sign):
    if sign == 'reply':
        warm.ask()
        warm.reply(warm.sends[-1], status='draining')
    if sign == 'list':
        warm.give(PlatformList((), ('t',)))
    if sign == 'health':
        warm.give(TargetHealth('t', 'draining', 0.0, 1))
    if sign == 'closes':
        for _ in range(2):
            warm.ask()
        warm.open_all()
        for conn in tuple(warm.target_state().pool.conns):
            warm.hang_up(conn, reason='closed')
    attempt = warm.ask()
    assert warm.outcomes()[attempt] == ('out', 'no')
    warm.give(TargetHealth('t', 'ready', 0.0, 1))
    attempt = warm.ask()
    assert warm.outcomes()[attempt] == ('out', 'no')
    warm.give(TargetHealth('t', 'ready', 0.0, 2))
    warm.ask()
    assert not warm.part.exclusions
    assert warm.target_state().warmth.cold


def test_queued_work_is_refused_rather_than_held_past_its_deadline(leaf):
    leaf.ask(remaining_ms=500)
    waiting = leaf.ask(remaining_ms=50)
    leaf.open_all()
    leaf.to(leaf.now + 0.06)
    assert leaf.outcomes()[waiting] == ('shed', 'no')


def test_query_is_refused_while_it_can_still_go_elsewhere(leaf):
    leaf.ask(remaining_ms=1000)
    waiting = leaf.ask(remaining_ms=1000)
    leaf.open_all()
    leaf.to(leaf.now + 0.35)
    assert leaf.outcomes()[waiting] == ('shed', 'no')


def test_cancelled_attempt_holds_its_slot_until_answered(leaf):
    first, second, third = leaf.ask(), leaf.ask(), leaf.ask()
    leaf.open_all()
    leaf.cancel(first)
    leaf.cancel(second)
    assert leaf.outcomes()[second] == ('cancelled', 'no')
    assert len(leaf.sends) == 1
    leaf.reply(leaf.sends[-1], status='cancelled')
    assert leaf.sends[-1].attempt == third


def test_order_goes_once(leaf):
    leaf.order('o1')
    leaf.open_all()
    leaf.order('o1')
    leaf.reply(leaf.sends[-1], reply='r')
    leaf.order('o1')
    assert [send.attempt for send in leaf.sends] == ['o1']
    assert leaf.orders() == [('o1', 'done'), ('o1', 'done')]


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
    leaf.order('o1', remaining_ms=300)
    leaf.open_all()
    send = leaf.sends[-1]
    if fault == 'cut':
        leaf.hang_up(send.conn, idle=False)
    elif fault == 'timeout':
        leaf.to(leaf.now + 0.4)
    elif fault == 'crossed':
        leaf.reply(send, attempt='another')
    else:
        leaf.reply(send, status=fault)
    assert leaf.orders() == [('o1', outcome)]
    assert len(leaf.sends) == 1


def test_stale_order_is_refused(leaf):
    leaf.order('o1', remaining_ms=0.0)
    leaf.open_all()
    assert leaf.orders() == [('o1', 'refused')]
    assert not leaf.sends


def test_order_does_not_go_on_a_connection_long_idle(warm):
    old = next(iter(warm.target_state().pool.conns))
    warm.to(warm.now + 5.0)
    warm.order('o1')
    warm.open_all()
    assert warm.sends[-1].attempt == 'o1'
    assert warm.sends[-1].conn != old


def test_lost_target_is_released_when_nothing_runs_there():
    leaf = Leaf(vms=('vm1',))
    leaf.ask('t')
    leaf.ask('u')
    leaf.open_all()
    leaf.state.take_view(view(2, ('vm2',)))
    leaf.to(leaf.now + 0.2)
    assert not [m for m in leaf.messages if m['kind'] == 'released']
    for send in tuple(leaf.sends):
        leaf.reply(send)
    leaf.to(leaf.now + 0.2)
    # vm2 alone is known now, so its leaf gets the release.
    sent = [m for m in leaf.messages if m['kind'] == 'released']
    assert sent[0]['targets'] == ['t', 'u']
    assert sent[0]['view'] == 2


def test_gained_target_waits_for_its_release():
    leaf = Leaf(vms=('vm2',))
    leaf.state.take_view(view(2, ('vm1',)))
    attempt = leaf.ask()
    assert leaf.outcomes()[attempt] == ('not_owner', 'no')
    message = {
        'kind': 'released',
        'domain': 'd',
        'view': 2,
        'targets': ['t'],
    }
    leaf.give(PeerMessage('vm2/leaf', 1, message))
    leaf.ask()
    leaf.open_all()
    assert len(leaf.sends) == 1


def test_shutdown_waits_for_work_in_flight(leaf):
    attempt = leaf.ask(remaining_ms=2000)
    leaf.open_all()
    leaf.give(ShutdownAsked())
    leaf.reply(leaf.sends[-1])
    assert leaf.outcomes()[attempt] == ('ok', 'yes')
    assert not any(isinstance(each, Exit) for each in leaf.others)
    leaf.to(leaf.now + 6.0)
    assert any(isinstance(each, Exit) for each in leaf.others)

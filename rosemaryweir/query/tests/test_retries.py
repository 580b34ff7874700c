"""Hedges and retries of the entry, against leaves that a test answers for."""

import pytest

from rosemaryweir.query import service as query_service
from rosemaryweir.query.observed_target import SHUT_S
from rosemaryweir.query.tests.entry_bench import Bench, accounts


@pytest.fixture
def bench():
    made = Bench()
    made.warm_up()
    return made


def test_silence_is_hedged_elsewhere_and_the_loser_is_cancelled(bench):
    bench.ask(1)
    first, *rest = bench.take()
    for send in rest:
        bench.answer(send)
    bench.until(bench.now + 0.07)
    hedges = bench.take()
    assert {send.to for send in hedges}.isdisjoint({first.to})
    for send in hedges:
        bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'
    cancelled = bench.take('cancel_query')
    assert {send.to for send in cancelled} == {first.to}
    assert accounts(bench) == (0, 0, 0, 0)
    bench.answer(first)
    assert query_service.STRAY in bench.logs
    assert len(bench.replies) == 2


@pytest.mark.parametrize(
    'outcome',
    ['shed', 'not_owner', 'timeout', 'cut', 'failed', 'cancelled', 'out'],
)
def test_other_replica_serves_what_one_did_not(bench, outcome):
    bench.ask(1)
    sends = bench.take()
    asked = {
        piece['shard']: piece['target']
        for send in sends
        for piece in send.message['pieces']
    }
    for send in sends:
        bench.answer(send, outcome=outcome)
    again = bench.take()
    pieces = [piece for send in again for piece in send.message['pieces']]
    assert {piece['shard'] for piece in pieces} == set(asked)
    assert all(piece['target'] != asked[piece['shard']] for piece in pieces)
    for send in again:
        bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'


def test_replica_that_refused_a_moment_ago_is_hedged_to(bench):
    bench.ask(1)
    first, *rest = bench.take()
    for send in rest:
        bench.answer(send)
    (piece,) = first.message['pieces'][:1]
    bench.answer(first, first.message['pieces'][1:])
    bench.answer(first, [piece], outcome='shed')
    tried = {piece['target']}
    (second,) = bench.take()
    bench.answer(second, outcome='shed')
    tried.add(second.message['pieces'][0]['target'])
    (third,) = bench.take()
    assert third.message['pieces'][0]['target'] not in tried
    bench.until(bench.now + 0.07)
    hedges = bench.take()
    assert {
        each['target'] for send in hedges for each in send.message['pieces']
    } <= tried
    bench.answer(hedges[0])
    assert bench.replies[1].body['outcome'] == 'complete'


def test_refused_first_attempts_pay_for_their_retries(bench):
    retries = bench.part.service_states['find'].retry_budget
    retries.tokens = 1
    bench.ask(1)
    for send in bench.take():
        bench.answer(send, outcome='shed')
    again = [piece for send in bench.take() for piece in send.message['pieces']]
    assert len(again) >= 3


def test_targets_that_no_leaf_may_use_are_asked_now_and_then(bench):
    bench.ask(1)
    began = bench.now
    asked = 0
    while bench.now < began + 0.5:
        for send in bench.take():
            asked += len(send.message['pieces'])
            bench.answer(send, outcome='not_owner')
        bench.until(bench.now + 0.001)
    assert bench.part.status(bench.now)['not_run'] == {'not_owner': asked}
    assert 12 < asked <= 12 * 0.5 / SHUT_S
    for send in bench.take():
        bench.answer(send)
    bench.until(bench.now + 0.1)
    for send in bench.take():
        bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'


def test_shard_that_could_not_be_asked_at_first_costs_no_retry(bench):
    for sight in bench.part.fleet.sights.values():
        sight.closes(bench.now)
    service_state = bench.part.service_states['find']
    before = service_state.retry_budget.tokens
    bench.ask(1)
    assert not bench.take()
    for _ in range(100):
        bench.until(bench.now + 0.001)
        for send in bench.take():
            bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'
    assert bench.part.runner.extra_attempts == 0
    assert service_state.retry_budget.tokens >= before


@pytest.mark.parametrize('full', [False, True])
def test_while_requests_wait_only_free_slots_are_hedged_to(bench, full):
    service_state = bench.part.service_states['find']
    service_state.admission.limit.max_in_flight = 1
    bench.ask(1)
    bench.ask(2)
    assert service_state.admission.pressed
    first, *rest = bench.take()
    for send in rest:
        bench.answer(send)
    for sight in bench.part.fleet.sights.values():
        sight.reported = sight.limit * full
        sight.reported_at = bench.now
    bench.until(bench.now + 0.07)
    assert bool(bench.take()) != full

"""Tests of hedges and retries; the test answers for the leaves."""

import pytest

from rosemaryweir.query import service as query_service
from rosemaryweir.query.observed_target import NO_ATTEMPT_S
from rosemaryweir.query.tests.entry_bench import EntryBench, in_flight_counts


@pytest.fixture
def bench():
    entry_bench = EntryBench()
    entry_bench.discover_version()
    return entry_bench


def test_silent_leaf_is_hedged_and_its_attempt_cancelled(bench):
    bench.ask(1)
    first, *rest = bench.take_sent()
    for send in rest:
        bench.answer(send)
    bench.run_until(bench.now + 0.07)
    hedges = bench.take_sent()
    assert {send.to for send in hedges}.isdisjoint({first.to})
    for send in hedges:
        bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'
    cancelled = bench.take_sent('cancel_query')
    assert {send.to for send in cancelled} == {first.to}
    assert in_flight_counts(bench) == (0, 0, 0, 0)
    bench.answer(first)
    assert query_service.STRAY in bench.logs
    assert len(bench.replies) == 2


@pytest.mark.parametrize(
    'outcome',
    ['shed', 'not_owner', 'timeout', 'cut', 'failed', 'cancelled', 'out'],
)
def test_failed_attempt_is_retried_on_another_replica(bench, outcome):
    bench.ask(1)
    sends = bench.take_sent()
    asked = {
        sub_query['shard']: sub_query['target']
        for send in sends
        for sub_query in send.message['pieces']
    }
    for send in sends:
        bench.answer(send, outcome=outcome)
    again = bench.take_sent()
    sub_queries = [
        sub_query for send in again for sub_query in send.message['pieces']
    ]
    assert {sub_query['shard'] for sub_query in sub_queries} == set(asked)
    assert all(
        sub_query['target'] != asked[sub_query['shard']]
        for sub_query in sub_queries
    )
    for send in again:
        bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'


def test_replica_that_shed_before_may_be_hedged_to(bench):
    bench.ask(1)
    first, *rest = bench.take_sent()
    for send in rest:
        bench.answer(send)
    (sub_query,) = first.message['pieces'][:1]
    bench.answer(first, first.message['pieces'][1:])
    bench.answer(first, [sub_query], outcome='shed')
    tried = {sub_query['target']}
    (second,) = bench.take_sent()
    bench.answer(second, outcome='shed')
    tried.add(second.message['pieces'][0]['target'])
    (third,) = bench.take_sent()
    assert third.message['pieces'][0]['target'] not in tried
    bench.run_until(bench.now + 0.07)
    hedges = bench.take_sent()
    assert {
        each['target'] for send in hedges for each in send.message['pieces']
    } <= tried
    bench.answer(hedges[0])
    assert bench.replies[1].body['outcome'] == 'complete'


def test_refused_first_attempts_refund_their_retries(bench):
    retries = bench.part.service_states['find'].retry_budget
    retries.tokens = 1
    bench.ask(1)
    for send in bench.take_sent():
        bench.answer(send, outcome='shed')
    again = [
        sub_query
        for send in bench.take_sent()
        for sub_query in send.message['pieces']
    ]
    assert len(again) >= 3


def test_targets_that_no_leaf_may_use_are_asked_at_the_interval(bench):
    bench.ask(1)
    began = bench.now
    asked = 0
    while bench.now < began + 0.5:
        for send in bench.take_sent():
            asked += len(send.message['pieces'])
            bench.answer(send, outcome='not_owner')
        bench.run_until(bench.now + 0.001)
    assert bench.part.status(bench.now)['not_run'] == {'not_owner': asked}
    assert 12 < asked <= 12 * 0.5 / NO_ATTEMPT_S
    for send in bench.take_sent():
        bench.answer(send)
    bench.run_until(bench.now + 0.1)
    for send in bench.take_sent():
        bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'


def test_postponed_first_attempt_costs_no_retry(bench):
    for target in bench.part.planner.targets.values():
        target.mark_unusable(bench.now)
    service_state = bench.part.service_states['find']
    before = service_state.retry_budget.tokens
    bench.ask(1)
    assert not bench.take_sent()
    for _ in range(100):
        bench.run_until(bench.now + 0.001)
        for send in bench.take_sent():
            bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'
    assert bench.part.runner.extra_attempts == 0
    assert service_state.retry_budget.tokens >= before


@pytest.mark.parametrize('full', [False, True])
def test_hedges_need_a_free_slot_while_requests_wait(bench, full):
    service_state = bench.part.service_states['find']
    service_state.admission.limit.max_in_flight = 1
    bench.ask(1)
    bench.ask(2)
    assert service_state.admission.has_backlog
    first, *rest = bench.take_sent()
    for send in rest:
        bench.answer(send)
    for target in bench.part.planner.targets.values():
        target.reported = target.slots * full
        target.reported_at = bench.now
    bench.run_until(bench.now + 0.07)
    assert bool(bench.take_sent()) != full

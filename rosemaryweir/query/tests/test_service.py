"""Tests of the query part of an entry; the test answers for the leaves."""

import pytest

from rosemaryweir.node.event import (
    CallerGone,
    ShutdownAsked,
)
from rosemaryweir.node.state import Lease
from rosemaryweir.query.pin import DISCOVERY_INTERVAL_S
from rosemaryweir.query.tests.entry_bench import (
    DEPLOYMENT,
    EntryBench,
    in_flight_counts,
)
from rosemaryweir.testing.deployment import config_of


@pytest.fixture
def bench():
    entry_bench = EntryBench()
    entry_bench.discover_version()
    return entry_bench


def test_complete_answer_takes_one_message_per_leaf(bench):
    bench.ask(1)
    sends = bench.take_sent()
    assert len({send.to for send in sends}) == len(sends)
    assert sum(len(send.message['pieces']) for send in sends) == 4
    assert all(send.message['remaining_ms'] < 1000 for send in sends)
    for send in sends:
        bench.answer(send)
    body = bench.replies[1].body
    assert body['outcome'] == 'complete'
    assert body['coverage'] == {'covered': 4, 'total': 4, 'missing': []}
    assert len(body['rows']) == 4
    assert in_flight_counts(bench) == (0, 0, 0, 0)


def test_index_change_repins_without_mixing_versions(bench):
    bench.ask(1)
    sends = bench.take_sent()
    bench.answer(sends[0])
    for _ in range(6):
        for send in [*sends[1:], *bench.take_sent()]:
            if send.message['version'] == 6:
                bench.answer(send)
            else:
                bench.answer(send, outcome='wrong_version', version=6)
        sends = sends[:1]
    bench.run_until(bench.now + 1.0)
    body = bench.replies[1].body
    version = body['snapshot']['version']
    assert {row['text'].partition('@')[2] for row in body['rows']} == {
        str(version),
    }
    assert body['coverage']['covered'] == len(body['rows'])


def test_stray_partials_are_counted_and_dropped(bench):
    bench.ask(1)
    first, *rest = bench.take_sent()
    sub_query = first.message['pieces'][0]
    bench.answer(first, [{**sub_query, 'attempt': 'vm-9.1.q1'}])
    bench.answer(first, [{**sub_query, 'shard': 'find-999'}])
    bench.answer(first, [{**sub_query, 'target': 'find-999-0'}])
    crossed = first.message | {'query': 'another'}
    bench.answer(first._replace(message=crossed), [sub_query])
    bench.answer(first._replace(to='vm-009/leaf'), [sub_query])
    assert bench.part.attempts.strays == 5
    for send in (first, *rest):
        bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'


def test_sub_queries_of_a_restarted_leaf_are_retried(bench):
    bench.ask(1)
    first, *rest = bench.take_sent()
    for send in rest:
        bench.answer(send)
    bench.incarnations[first.to] = 2
    bench.answer(first, [])
    again = bench.take_sent()
    assert again
    for send in again:
        bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'
    assert in_flight_counts(bench) == (0, 0, 0, 0)


def test_caller_disconnect_cancels_the_query(bench):
    bench.ask(1)
    sends = bench.take_sent()
    bench.handle(CallerGone(1, 'query'))
    assert {send.to for send in bench.take_sent('cancel_query')} == {
        send.to for send in sends
    }
    assert in_flight_counts(bench) == (0, 0, 0, 0)
    bench.run_until(bench.now + 2)
    assert 1 not in bench.replies


def test_early_class_answers_once_its_floor_is_met(bench):
    bench.ask(1, **{'class': 'early'})
    asked = bench.now
    sends = bench.take_sent()
    sub_queries = [
        (send, sub_query)
        for send in sends
        for sub_query in send.message['pieces']
    ]
    for send, sub_query in sub_queries[1:]:
        bench.answer(send, [sub_query])
    bench.run_until(asked + 0.19)
    assert 1 not in bench.replies
    bench.run_until(asked + 0.21)
    body = bench.replies[1].body
    assert body['outcome'] == 'partial'
    assert body['coverage']['missing'] == [sub_queries[0][1]['shard']]


def test_complete_class_waits_until_its_deadline(bench):
    bench.ask(1)
    asked = bench.now
    first, *rest = bench.take_sent()
    for send in rest:
        bench.answer(send)
    bench.run_until(asked + 0.98)
    assert 1 not in bench.replies
    bench.run_until(asked + 1.0)
    assert bench.replies[1].body['outcome'] == 'degraded'


def test_query_with_refused_attempts_may_have_run(bench):
    bench.ask(1)
    for send in bench.take_sent():
        bench.answer(send, outcome='shed')
    bench.run_until(bench.now + 1.1)
    refusal = bench.replies[1]
    assert (refusal.status, refusal.body['ran']) == (504, 'unknown')
    assert in_flight_counts(bench) == (0, 0, 0, 0)


def test_query_without_a_usable_replica_did_not_run(bench):
    bench.state.suspended = frozenset(DEPLOYMENT.domains)
    bench.ask(1)
    bench.run_until(bench.now + 1.1)
    assert bench.take_sent() == []
    assert bench.replies[1].body['reason'] == 'no_capacity'
    assert bench.replies[1].body['ran'] == 'not_run'


def test_suspended_failure_domain_gets_no_sub_queries(bench):
    bench.state.suspended = frozenset(['a'])
    for req in range(1, 20):
        bench.ask(req)
    targets = {
        sub_query['target']
        for send in bench.take_sent()
        for sub_query in send.message['pieces']
    }
    config = bench.state.config
    assert {config['targets'][name]['domain'] for name in targets} == {'b', 'c'}


def test_running_query_keeps_its_layout_after_a_repartition(bench):
    bench.ask(1)
    sends = bench.take_sent()
    config = config_of(DEPLOYMENT, generation=2)
    service = config['services']['find']
    service['layout'] = 2
    service['shards'].pop('find-003')
    bench.state.take_config(config)
    for send in sends:
        bench.answer(send)
    body = bench.replies[1].body
    assert body['coverage']['total'] == 4
    assert body['snapshot']['layout'] == 1
    bench.ask(2)
    assert {send.message['layout'] for send in bench.take_sent()} == {2}


def test_refused_queries_send_nothing(bench):
    bench.ask(1, service='nothing')
    bench.state.lease = Lease(0.0, 'no contact')
    bench.ask(2)
    found = [
        (bench.replies[req].status, bench.replies[req].body['ran'])
        for req in (1, 2)
    ]
    assert found == [(404, 'not_run'), (503, 'not_run')]
    assert bench.take_sent() == []


def test_shutdown_waits_for_queries(bench):
    bench.ask(1)
    bench.handle(ShutdownAsked())
    assert bench.node.busy(bench.now)
    for send in bench.take_sent():
        bench.answer(send)
    assert not bench.node.busy(bench.now)


def test_unpinned_query_uses_the_version_that_covers_most(bench):
    bench.now += DISCOVERY_INTERVAL_S
    bench.ask(1)
    sends = bench.take_sent()
    assert {send.message['version'] for send in sends} == {0}
    sub_queries = [
        (send, sub_query)
        for send in sends
        for sub_query in send.message['pieces']
    ]
    for send, sub_query in sub_queries[:3]:
        bench.answer(send, [sub_query], version=6)
    bench.answer(sub_queries[3][0], [sub_queries[3][1]], version=5)
    for send in bench.take_sent():
        bench.answer(send)
    body = bench.replies[1].body
    assert body['outcome'] == 'complete'
    assert {row['text'].partition('@')[2] for row in body['rows']} == {
        str(body['snapshot']['version']),
    }

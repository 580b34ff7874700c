"""The entry's part for queries, against leaves that a test answers for."""

import pytest

from rosemaryweir.node.event import (
    CallerGone,
    ShutdownAsked,
)
from rosemaryweir.node.state import Lease
from rosemaryweir.query.pin import LEARN_INTERVAL_S
from rosemaryweir.query.tests.entry_bench import SIZE, Bench, accounts
from rosemaryweir.testing.deployment import config_of


@pytest.fixture
def bench():
    made = Bench()
    made.warm_up()
    return made


def test_whole_answer_with_one_message_for_each_leaf(bench):
    bench.ask(1)
    sends = bench.take()
    assert len({send.to for send in sends}) == len(sends)
    assert sum(len(send.message['pieces']) for send in sends) == 4
    assert all(send.message['remaining_ms'] < 1000 for send in sends)
    for send in sends:
        bench.answer(send)
    body = bench.replies[1].body
    assert body['outcome'] == 'complete'
    assert body['coverage'] == {'covered': 4, 'total': 4, 'missing': []}
    assert len(body['rows']) == 4
    assert accounts(bench) == (0, 0, 0, 0)


def test_index_change_repins_once_and_never_mixes(bench):
    bench.ask(1)
    sends = bench.take()
    bench.answer(sends[0])
    for _ in range(6):
        for send in [*sends[1:], *bench.take()]:
            if send.message['version'] == 6:
                bench.answer(send)
            else:
                bench.answer(send, outcome='wrong_version', version=6)
        sends = sends[:1]
    bench.until(bench.now + 1.0)
    body = bench.replies[1].body
    version = body['snapshot']['version']
    assert {row['text'].partition('@')[2] for row in body['rows']} == {
        str(version),
    }
    assert body['coverage']['covered'] == len(body['rows'])


def test_stray_partials_are_counted_and_dropped(bench):
    bench.ask(1)
    first, *rest = bench.take()
    piece = first.message['pieces'][0]
    bench.answer(first, [{**piece, 'attempt': 'vm-9.1.q1'}])
    bench.answer(first, [{**piece, 'shard': 'find-999'}])
    bench.answer(first, [{**piece, 'target': 'find-999-0'}])
    crossed = first.message | {'query': 'another'}
    bench.answer(first._replace(message=crossed), [piece])
    bench.answer(first._replace(to='vm-009/leaf'), [piece])
    assert bench.part.attempts.strays == 5
    for send in (first, *rest):
        bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'


def test_restarted_leaf_lost_its_pieces(bench):
    bench.ask(1)
    first, *rest = bench.take()
    for send in rest:
        bench.answer(send)
    bench.incarnations[first.to] = 2
    bench.answer(first, [])
    again = bench.take()
    assert again
    for send in again:
        bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'
    assert accounts(bench) == (0, 0, 0, 0)


def test_caller_who_hangs_up_cancels_the_work(bench):
    bench.ask(1)
    sends = bench.take()
    bench.give(CallerGone(1, 'query'))
    assert {send.to for send in bench.take('cancel_query')} == {
        send.to for send in sends
    }
    assert accounts(bench) == (0, 0, 0, 0)
    bench.until(bench.now + 2)
    assert 1 not in bench.replies


def test_early_class_answers_with_its_floor_and_true_coverage(bench):
    bench.ask(1, **{'class': 'early'})
    asked = bench.now
    sends = bench.take()
    pieces = [
        (send, piece) for send in sends for piece in send.message['pieces']
    ]
    for send, piece in pieces[1:]:
        bench.answer(send, [piece])
    bench.until(asked + 0.19)
    assert 1 not in bench.replies
    bench.until(asked + 0.21)
    body = bench.replies[1].body
    assert body['outcome'] == 'partial'
    assert body['coverage']['missing'] == [pieces[0][1]['shard']]


def test_class_that_waits_for_coverage_waits_until_its_deadline(bench):
    bench.ask(1)
    asked = bench.now
    first, *rest = bench.take()
    for send in rest:
        bench.answer(send)
    bench.until(asked + 0.98)
    assert 1 not in bench.replies
    bench.until(asked + 1.0)
    assert bench.replies[1].body['outcome'] == 'degraded'


def test_nothing_answered_is_a_refusal_that_tells_the_truth(bench):
    bench.ask(1)
    for send in bench.take():
        bench.answer(send, outcome='shed')
    bench.until(bench.now + 1.1)
    refusal = bench.replies[1]
    assert (refusal.status, refusal.body['ran']) == (504, 'unknown')
    assert accounts(bench) == (0, 0, 0, 0)


def test_no_open_replica_is_no_capacity_and_not_run(bench):
    bench.state.suspended = frozenset(SIZE.domains)
    bench.ask(1)
    bench.until(bench.now + 1.1)
    assert bench.take() == []
    assert bench.replies[1].body['reason'] == 'no_capacity'
    assert bench.replies[1].body['ran'] == 'not_run'


def test_withdrawn_failure_domain_gets_nothing_new(bench):
    bench.state.suspended = frozenset(['a'])
    for req in range(1, 20):
        bench.ask(req)
    targets = {
        piece['target']
        for send in bench.take()
        for piece in send.message['pieces']
    }
    config = bench.state.config
    assert {config['targets'][name]['domain'] for name in targets} == {'b', 'c'}


def test_repartition_keeps_the_total_of_a_running_query(bench):
    bench.ask(1)
    sends = bench.take()
    config = config_of(SIZE, generation=2)
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
    assert {send.message['layout'] for send in bench.take()} == {2}


def test_refusals_without_work(bench):
    bench.ask(1, service='nothing')
    bench.state.lease = Lease(0.0, 'no contact')
    bench.ask(2)
    found = [
        (bench.replies[req].status, bench.replies[req].body['ran'])
        for req in (1, 2)
    ]
    assert found == [(404, 'not_run'), (503, 'not_run')]
    assert bench.take() == []


def test_shutdown_waits_for_queries(bench):
    bench.ask(1)
    bench.give(ShutdownAsked())
    assert bench.node.busy(bench.now)
    for send in bench.take():
        bench.answer(send)
    assert not bench.node.busy(bench.now)


def test_unpinned_query_settles_on_what_covers_most(bench):
    bench.now += LEARN_INTERVAL_S
    bench.ask(1)
    sends = bench.take()
    assert {send.message['version'] for send in sends} == {0}
    pieces = [
        (send, piece) for send in sends for piece in send.message['pieces']
    ]
    for send, piece in pieces[:3]:
        bench.answer(send, [piece], version=6)
    bench.answer(pieces[3][0], [pieces[3][1]], version=5)
    for send in bench.take():
        bench.answer(send)
    body = bench.replies[1].body
    assert body['outcome'] == 'complete'
    assert {row['text'].partition('@')[2] for row in body['rows']} == {
        str(body['snapshot']['version']),
    }

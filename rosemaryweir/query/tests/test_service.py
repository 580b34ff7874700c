"""The entry's part for queries, against leaves that a test answers for."""

from random import Random

import pytest

from rosemaryweir.node.action import LogEvent, ReplyCaller, SendPeer
from rosemaryweir.node.event import (
    CallerGone,
    CallerRequest,
    PeerMessage,
    ShutdownAsked,
    Wake,
)
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import Lease, NodeState, NodeUid
from rosemaryweir.query import service as query_service
from rosemaryweir.query.pin import LEARN_INTERVAL_S
from rosemaryweir.query.service import QueryService
from rosemaryweir.query.sighting import SHUT_S
from rosemaryweir.schema.generated.config import ClassPolicy
from rosemaryweir.testing.deployment import (
    Deployment,
    ServiceSize,
    config_of,
    vm_settings,
)
from rosemaryweir.testing.process import static_view

SIZE = Deployment(
    'small',
    ('a', 'b', 'c'),
    (ServiceSize('find', 'query', 4, 3, 2, 20, 1.0),),
    {
        'default': ClassPolicy(
            deadline_ms=1000,
            answer='complete',
            coverage_floor=0.9,
        ),
        'early': ClassPolicy(
            deadline_ms=1000,
            answer='early',
            early_ms=200,
            coverage_floor=0.7,
        ),
    },
)


class Bench:
    """An entry and what it sent; the test plays the leaves."""

    def __init__(self):
        settings = vm_settings(SIZE, 3)
        self.state = NodeState(NodeUid('vm-000', 'entry', 7), settings[0])
        self.state.config = config_of(SIZE)
        self.state.lease = Lease(float('inf'), '')
        for domain in SIZE.domains:
            self.state.take_view(static_view(domain, settings))
        self.part = QueryService(self.state, Random(4))
        self.node = Node(self.state, [self.part])
        self.now = 100.0
        self.sent = []
        self.replies = {}
        self.logs = []
        self.incarnations = {}

    def give(self, event):
        for action in self.node.handle(event, self.now):
            if isinstance(action, SendPeer):
                self.sent.append(action)
            elif isinstance(action, ReplyCaller):
                assert action.req not in self.replies
                self.replies[action.req] = action
            elif isinstance(action, LogEvent):
                self.logs.append(action.number)

    def ask(self, req, **more):
        body = {'service': 'find', 'query': 'text', **more}
        self.give(CallerRequest(req, 'query', body))

    def take(self, kind='sub_query'):
        """Return and forget what was sent of a kind."""
        found = [each for each in self.sent if each.message['kind'] == kind]
        self.sent = [each for each in self.sent if each not in found]
        return found

    def until(self, when):
        wake = self.node.next_wake()
        while wake is not None and wake <= when:
            self.now = max(self.now, wake)
            self.give(Wake())
            wake = self.node.next_wake()
        self.now = when

    def answer(self, send, pieces=None, outcome='ok', version=5, layout=1):
        """Answer a message of the entry as its leaf."""
        message = send.message
        chosen = message['pieces'] if pieces is None else pieces
        served = outcome == 'ok' and message['version'] or version
        self.give(
            PeerMessage(
                send.to,
                self.incarnations.get(send.to, 1),
                {
                    'kind': 'partials',
                    'query': message['query'],
                    'pieces': [
                        {
                            **piece,
                            'outcome': outcome,
                            'ran': 'yes' if outcome == 'ok' else 'no',
                            'layout': layout,
                            'version': served,
                            'rows': [['key', f'{piece["shard"]}@{served}']],
                            'took_ms': 10.0,
                        }
                        for piece in chosen
                    ],
                    'loads': [],
                },
            ),
        )

    def warm_up(self):
        """Let one query learn version 5; the next ones are pinned to it."""
        self.ask(0)
        for send in self.take():
            self.answer(send)
        assert self.replies[0].body['snapshot']['version'] == 5


@pytest.fixture
def bench():
    made = Bench()
    made.warm_up()
    return made


def accounts(bench):
    fleet = bench.part.fleet
    return (
        len(bench.part.attempts),
        sum(sight.own for sight in fleet.sights.values()),
        sum(health.outstanding for health in fleet.leaves.values()),
        sum(
            lane.admission.limit.in_flight for lane in bench.part.lanes.values()
        ),
    )


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
    retries = bench.part.lanes['find'].retries
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
    lane = bench.part.lanes['find']
    before = lane.retries.tokens
    bench.ask(1)
    assert not bench.take()
    for _ in range(100):
        bench.until(bench.now + 0.001)
        for send in bench.take():
            bench.answer(send)
    assert bench.replies[1].body['outcome'] == 'complete'
    assert bench.part.runner.extra == 0
    assert lane.retries.tokens >= before


@pytest.mark.parametrize('full', [False, True])
def test_while_requests_wait_only_free_slots_are_hedged_to(bench, full):
    lane = bench.part.lanes['find']
    lane.admission.limit.most = 1
    bench.ask(1)
    bench.ask(2)
    assert lane.admission.pressed
    first, *rest = bench.take()
    for send in rest:
        bench.answer(send)
    for sight in bench.part.fleet.sights.values():
        sight.reported = sight.limit * full
        sight.reported_at = bench.now
    bench.until(bench.now + 0.07)
    assert bool(bench.take()) != full


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

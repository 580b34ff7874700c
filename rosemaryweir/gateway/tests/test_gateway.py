"""Requests through the gateway, with targets that fail in every way."""

from collections import Counter

import pytest

from rosemaryweir.gateway.tests.simulation import Rig, order_route, query_route

SHARDS = tuple(f's{number}' for number in range(10))


def query_rig(**changes):
    return Rig(SHARDS, routes=[query_route(SHARDS)], **changes)


def order_rig(**changes):
    return Rig(('orders',), routes=[order_route('orders')], **changes)


def warm(rig, path='/sweep/1', rounds=60):
    for _ in range(rounds):
        rig.ask(path)
        rig.run(0.03)


def test_a_query_is_answered_whole():
    rig = query_rig()
    req = rig.ask()
    rig.run(0.1)
    _, answer = rig.answers[req]
    assert answer.status == 200
    assert len(set(answer.signatures)) == 10
    assert answer.missing_shards == 0
    records = [answer.body[at : at + 16] for at in range(0, 48, 16)]
    assert records == sorted(records, reverse=True)


def test_an_order_that_waited_is_sent_once():
    # The near target is slow to connect while a far one has a connection
    # free: the order waits, its timer sends it to the far one, and the near
    # one must not get it as well when it is connected at last.
    rig = order_rig()
    rig.register(closed=('d0',))
    warm(rig, '/order/1')
    rig.register()
    rig.targets['orders-0'].open_time = 0.3
    reqs = [rig.ask('/order/1', time_left=3.0) for _ in range(5)]
    rig.run(4)
    runs = Counter(
        run for target in rig.targets.values() for run in target.runs
    )
    assert max(runs.values()) == 1
    assert all(rig.answers[req][1].status == 200 for req in reqs)


@pytest.mark.parametrize('mode', ['lost', 'errors', 'silent', 'stray'])
def test_an_order_that_may_have_run_is_never_sent_again(mode):
    rig = order_rig()
    for target in rig.targets.values():
        target.mode = mode
    reqs = [rig.ask('/order/1', time_left=3.0) for _ in range(20)]
    rig.run(4)
    arrivals = Counter(
        name for target in rig.targets.values() for name in target.arrivals
    )
    assert max(arrivals.values()) == 1
    for req in reqs:
        assert rig.answers[req][1].status in {500, 502, 504}


def test_an_order_refused_by_a_full_target_goes_to_another():
    rig = order_rig()
    rig.targets['orders-0'].mode = 'full'
    warm(rig, '/order/1', rounds=10)
    assert {answer.status for _, answer in rig.answers.values()} == {200}


def test_a_refusal_that_says_not_run_is_true():
    rig = order_rig()
    for target in rig.targets.values():
        target.mode = 'full'
    reqs = [rig.ask('/order/1', time_left=3.0) for _ in range(20)]
    rig.run(4)
    for req in reqs:
        assert rig.answers[req][1].status == 503
        assert rig.answers[req][1].retry_after > 0
    assert not any(target.runs for target in rig.targets.values())


def test_a_pausing_target_is_hedged_within_the_aim():
    rig = query_rig()
    warm(rig)
    rig.targets['s3-0'].work = 0.15
    req = rig.ask()
    came = rig.now
    rig.run(0.5)
    when, answer = rig.answers[req]
    assert answer.missing_shards == 0
    assert when - came < 0.08


def test_a_shard_without_targets_is_told_and_not_waited_for():
    rig = query_rig()
    warm(rig)
    for target in rig.of('s3'):
        target.mode = 'silent'
        target.connects = False
    warm(rig, rounds=40)
    req = rig.ask()
    came = rig.now
    rig.run(0.5)
    when, answer = rig.answers[req]
    assert answer.status == 200
    assert answer.missing_shards == 1
    assert when - came < 0.145


def test_extra_sends_stay_within_the_budget():
    rig = query_rig()
    for target in rig.targets.values():
        target.work = 0.3
    for _ in range(300):
        rig.ask()
        rig.run(0.02)
    rig.run(2)
    for service in SHARDS:
        arrivals = Counter(
            name for target in rig.of(service) for name in target.arrivals
        )
        extras = sum(arrivals.values()) - len(arrivals)
        assert extras <= 0.2 * 300 + 50


def test_work_for_a_caller_that_left_ends_within_half_a_second():
    rig = query_rig()
    for target in rig.targets.values():
        target.mode = 'silent'
    req = rig.ask()
    rig.run(0.05)
    rig.do(rig.gateway.caller_disconnected(req, rig.now))
    rig.run(0.3)
    assert not rig.gateway.dispatcher.attempts
    assert req not in rig.answers


def test_a_draining_target_gets_nothing_more():
    rig = query_rig()
    warm(rig)
    target = rig.targets['s3-0']
    target.entry = target.entry._replace(draining=True)
    rig.register()
    before = len(target.arrivals)
    warm(rig)
    assert len(target.arrivals) == before


def test_a_failure_domain_taken_out_gets_nothing_more():
    rig = query_rig()
    warm(rig)
    rig.register(closed=('d0',))
    before = sum(len(rig.targets[f'{name}-0'].arrivals) for name in SHARDS)
    warm(rig)
    after = sum(len(rig.targets[f'{name}-0'].arrivals) for name in SHARDS)
    assert before == after


def test_without_a_route_the_answer_is_not_found():
    rig = query_rig()
    req = rig.ask('/other/1')
    assert rig.answers[req][1].status == 404


def test_a_target_that_turns_away_most_requests_is_avoided():
    # Load pattern: two of three targets of every shard refuse half of what
    # they get though they are idle.
    rig = query_rig()
    for name in SHARDS:
        rig.targets[f'{name}-0'].mode = 'full'
    warm(rig)
    before = sum(len(rig.targets[f'{name}-0'].arrivals) for name in SHARDS)
    warm(rig)
    after = sum(len(rig.targets[f'{name}-0'].arrivals) for name in SHARDS)
    assert after - before < 60 * 10 * 0.15


def test_a_query_that_cannot_be_covered_fails_at_once():
    rig = query_rig()
    warm(rig)
    for name in SHARDS[:4]:
        for target in rig.of(name):
            target.mode = 'full'
    for name in SHARDS[4:]:
        for target in rig.of(name):
            target.work = 0.1
    req = rig.ask()
    came = rig.now
    rig.run(1)
    when, answer = rig.answers[req]
    assert answer.status in {502, 503}
    assert when - came < 0.05


def test_cold_targets_get_no_more_than_they_bear_from_all_vms():
    # Load pattern: the targets of the near failure domain return cold. Each
    # of the VMs is played in turn; their sends are added up.
    total = Counter()
    for number in range(4):
        rig = query_rig(vms=4, own=f'vm-{number}')
        rig.make_cold('d0', cold_for=10.0, rate=4.0)
        for _ in range(100):
            rig.ask()
            rig.run(0.05)
        for name in SHARDS:
            total[name] += len(rig.targets[f'{name}-0'].arrivals)
        assert all(a.status == 200 for _, a in rig.answers.values())
    assert max(total.values()) <= 4.0 * 5 + 1
    assert sum(total.values()) > 0


def test_a_slow_target_is_avoided_after_two_answers():
    # Load pattern: a large fleet, where each VM sees a target once in a while.
    rig = query_rig()
    warm(rig)
    rig.targets['s3-0'].work = 0.12
    for _ in range(8):
        rig.ask()
        rig.run(0.5)
    before = len(rig.targets['s3-0'].arrivals)
    for _ in range(6):
        rig.ask()
        rig.run(0.3)
    assert len(rig.targets['s3-0'].arrivals) - before <= 2
    assert rig.gateway.target_registry.slow_targets(rig.now).keys() == {'s3-0'}


def test_a_target_that_others_saw_to_be_slow_is_avoided():
    rig = query_rig()
    warm(rig)
    before = len(rig.targets['s3-0'].arrivals)
    rig.gateway.target_registry.apply_peer_slowness(
        {'s3-0': 8.0, 'unknown': 9.0}, rig.now
    )
    for _ in range(10):
        rig.ask()
        rig.run(0.03)
    assert len(rig.targets['s3-0'].arrivals) == before

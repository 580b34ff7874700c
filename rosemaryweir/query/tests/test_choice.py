"""Tests of version pins, replica choice, ejection, hedges and budgets."""

from random import Random

from rosemaryweir.query.budget import TokenBudget
from rosemaryweir.query.hedge import Hedging
from rosemaryweir.query.liveness import LeafHealth
from rosemaryweir.query.observed_target import ObservedTarget
from rosemaryweir.query.pin import VersionPin, best_version
from rosemaryweir.query.replica import (
    Replica,
    choose_other_replica,
    choose_replica,
)
from rosemaryweir.query.straggler import eject_stragglers

KEY = (1, 5)


def target_with(name, *versions):
    target = ObservedTarget(name, 2)
    for version in versions:
        target.record_served((1, version))
    return target


def make_replica(number, leaf=None, extra_latency=0):
    name = f't{number}'
    health = leaf or LeafHealth(f'vm-{number}/leaf')
    target = target_with(name, 5)
    return Replica(
        name,
        f'd{number}',
        extra_latency,
        target,
        health,
        '127.0.0.1:1',
    )


def test_best_version_covers_the_most_shards():
    shards = [
        [target_with('a', 5, 6)],
        [target_with('b', 5)],
        [target_with('c', 6)],
    ]
    assert best_version(shards, 1, 0) == 6
    assert best_version(shards[:2], 1, 0) == 5
    assert best_version(shards, 2, 0) == 0


def test_best_version_is_not_older_than_the_floor():
    shards = [[target_with('a', 5, 6)], [target_with('b', 5)]]
    assert best_version(shards, 1, 6) == 6
    assert best_version([*shards, [target_with('c', 5)]], 1, 6) == 5


def test_queries_discover_versions_at_the_interval():
    pin = VersionPin(1)
    shards = [[target_with('a', 5)]]
    found = [pin.choose(shards, now) for now in (9.0, 9.1, 9.4, 9.6)]
    assert found == [0, 5, 5, 0]


def test_refusal_expires_only_for_a_newer_version():
    target = target_with('a', 5)
    target.record_refused_version((1, 6), KEY, 10.0)
    assert target.lacks_version((1, 6), 10.5)
    assert not target.lacks_version((1, 6), 12.0)
    target.record_refused_version(KEY, (1, 6), 13.0)
    assert target.lacks_version(KEY, 99.0)


def test_slow_target_loses_to_one_in_another_domain():
    same_domain, other_domain = (
        make_replica(1),
        make_replica(2, extra_latency=0.002),
    )
    rng = Random(1)
    assert (
        choose_replica([same_domain, other_domain], KEY, rng, 0.0)
        is same_domain
    )
    same_domain.observed.mean_latency = 0.02
    assert (
        choose_replica([same_domain, other_domain], KEY, rng, 0.0)
        is other_domain
    )


def test_target_without_the_version_is_not_chosen():
    lacking, having = make_replica(1), make_replica(2)
    lacking.observed.record_refused_version(KEY, (1, 6), 0.0)
    having.observed.mean_latency = 3.0
    assert choose_replica([lacking, having], KEY, Random(1), 0.0) is having
    assert choose_replica([lacking], KEY, Random(1), 0.0) is None


def test_second_attempt_prefers_another_leaf():
    leaf = LeafHealth('vm/leaf')
    first, same, other = (
        make_replica(1, leaf),
        make_replica(2, leaf),
        make_replica(3),
    )
    other.observed.mean_latency = 0.02
    assert (
        choose_other_replica([first, same, other], KEY, [first], 0.0) is other
    )
    assert choose_other_replica([first], KEY, [first], 0.0) is None


def test_silent_leaf_gets_one_probe_per_interval():
    one, other = make_replica(1), make_replica(2)
    one.leaf.record_send(1.0)
    assert not one.leaf.check_silence(1.05)
    assert one.leaf.check_silence(1.2)
    one.leaf.probed_at = 1.2
    other.observed.mean_latency = 1.0
    assert choose_replica([one, other], KEY, Random(1), 1.3) is other
    one.leaf.record_reply(0.01, 1.35)
    assert choose_replica([one, other], KEY, Random(1), 1.4) is one


def test_ejection_leaves_each_shard_a_majority_of_targets():
    targets = [target_with(f't{number}', 5) for number in range(15)]
    for target in targets:
        for _ in range(5):
            target.record_latency(
                0.1 if target in targets[:2] else 0.01,
                0.05,
                1.0,
            )
    shards = list(zip(targets[::3], targets[1::3], targets[2::3], strict=True))
    assert eject_stragglers(shards, 1.0) == ['t0']
    assert targets[1].score_factor == 1


def test_ejected_share_is_capped():
    targets = [target_with(f't{number}', 5) for number in range(10)]
    for target in targets:
        for _ in range(5):
            target.record_latency(
                0.1 if target in targets[:4] else 0.01,
                0.05,
                1.0,
            )
    assert len(eject_stragglers([targets], 1.0)) == 2


def test_straggler_without_recent_latency_is_put_on_probation():
    targets = [target_with(f't{number}', 5) for number in range(5)]
    for target in targets:
        target.record_latency(0.1 if target is targets[0] else 0.01, 0.05, 1.0)
    for target in targets[1:]:
        target.record_latency(0.01, 0.05, 8.0)
    eject_stragglers([targets], 8.0)
    assert targets[0].on_probation
    assert targets[0].mean_latency < 0.02


def test_hedge_delay_follows_latency():
    hedging = Hedging()
    for number in range(2000):
        hedging.record_latency(0.01 + (number % 100) / 1000, 1.0)
    assert 0.09 < hedging.delay(2.0) < 0.12


def test_budget_bounds_extra_attempts():
    budget = TokenBudget(0.05, 10)
    spent = 0
    for _ in range(1000):
        budget.earn()
        spent += budget.spend()
    assert spent <= 0.05 * 1000 + 10


def test_target_that_its_leaf_may_not_use_is_avoided_for_a_time():
    unusable, other = ObservedTarget('t', 2), ObservedTarget('u', 2)
    unusable.mark_unusable(now=1.0)
    health = LeafHealth('vm/leaf')
    replicas = [
        Replica('t', 'd', 0.0, unusable, health, ''),
        Replica('u', 'd', 0.05, other, health, ''),
    ]
    assert choose_replica(replicas, (1, 1), Random(1), 1.1).target == 'u'
    assert choose_replica(replicas, (1, 1), Random(1), 2.0).target == 't'


def test_target_that_is_slow_only_by_its_queue_is_not_ejected():
    targets = [target_with(f't{number}', 5) for number in range(5)]
    for target in targets:
        target.service_latency = 0.012
    queued, straggler = targets[:2]
    straggler.service_latency = 0.03
    for _ in range(6):
        queued.record_latency(0.1, 0.05, 1.0)
        straggler.record_latency(0.1, 0.05, 1.0)
    assert eject_stragglers([targets], 1.0) == ['t1']
    assert queued.score_factor == 1


def test_quick_probe_clears_a_straggler():
    target = target_with('t', 5)
    for _ in range(6):
        target.record_latency(0.1, 0.05, 1.0)
    target.start_probation(0.01)
    target.record_latency(0.01, 0.05, 8.0)
    assert not target.late_share


def test_budget_refills_without_successes():
    budget = TokenBudget(0.1, 10)
    budget.tokens = 0
    budget.refill(50, 100.0)
    budget.spend()
    budget.refill(50, 100.01)
    assert not budget.spend()
    budget.refill(50, 100.03)
    assert budget.spend()
    budget.refill(50, 200.0)
    assert budget.tokens <= 1


def test_slower_target_without_recent_latency_is_soon_probed():
    targets = [target_with(f't{number}', 5) for number in range(5)]
    for target in targets:
        target.record_latency(0.02 if target is targets[0] else 0.01, 0.05, 1.0)
    eject_stragglers([targets], 1.9)
    assert not any(target.on_probation for target in targets)
    eject_stragglers([targets], 2.1)
    assert [target.name for target in targets if target.on_probation] == ['t0']


def test_idle_cold_target_is_probed_by_one_attempt():
    replicas = [make_replica(number) for number in range(3)]
    cold = replicas[0].observed
    cold.reported = 1
    cold.start_probation(0.01)
    chosen = [
        choose_replica(replicas, KEY, Random(seed), 1.0) for seed in range(20)
    ]
    assert replicas[0] in chosen
    cold.own_in_flight = 1
    chosen = [
        choose_replica(replicas, KEY, Random(seed), 1.0) for seed in range(20)
    ]
    assert replicas[0] not in chosen


def test_cancelled_probe_is_not_repeated_at_once():
    target = target_with('t', 5)
    target.record_latency(0.1, 0.05, 1.0)
    target.late_share = 0.4
    target.start_probation(0.03)
    target.record_cancelled(0.005, 0.05, 2.0)
    assert not target.on_probation
    assert target.late_share
    assert target.mean_latency > 0.05

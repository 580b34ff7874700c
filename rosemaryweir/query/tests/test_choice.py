"""Choice of version, replica and straggler; budgets of extra attempts."""

from random import Random

from rosemaryweir.query.budget import TokenBudget
from rosemaryweir.query.hedge import Hedging
from rosemaryweir.query.liveness import LeafHealth
from rosemaryweir.query.observed_target import ObservedTarget
from rosemaryweir.query.pin import Pin, best_version
from rosemaryweir.query.replica import Replica, choose, choose_other
from rosemaryweir.query.straggler import eject

KEY = (1, 5)


def seen_with(target, *versions):
    sight = ObservedTarget(target, 2)
    for version in versions:
        sight.serves((1, version))
    return sight


def replica(number, leaf=None, far=0):
    name = f't{number}'
    health = leaf or LeafHealth(f'vm-{number}/leaf')
    sight = seen_with(name, 5)
    return Replica(name, f'd{number}', far, sight, health, '127.0.0.1:1')


def test_version_that_most_shards_can_serve_wins():
    shards = [[seen_with('a', 5, 6)], [seen_with('b', 5)], [seen_with('c', 6)]]
    assert best_version(shards, 1, 0) == 6
    assert best_version(shards[:2], 1, 0) == 5
    assert best_version(shards, 2, 0) == 0


def test_pin_never_goes_back_behind_an_answer():
    shards = [[seen_with('a', 5, 6)], [seen_with('b', 5)]]
    assert best_version(shards, 1, 6) == 6
    assert best_version([*shards, [seen_with('c', 5)]], 1, 6) == 5


def test_a_query_learns_new_versions_now_and_then():
    pin = Pin(1)
    shards = [[seen_with('a', 5)]]
    found = [pin.choose(shards, now) for now in (9.0, 9.1, 9.4, 9.6)]
    assert found == [0, 5, 5, 0]


def test_refused_version_comes_back_only_if_it_is_newer():
    sight = seen_with('a', 5)
    sight.refuses((1, 6), KEY, 10.0)
    assert sight.lacks((1, 6), 10.5)
    assert not sight.lacks((1, 6), 12.0)
    sight.refuses(KEY, (1, 6), 13.0)
    assert sight.lacks(KEY, 99.0)


def test_slow_near_target_gives_way():
    near, far = replica(1), replica(2, far=0.002)
    rng = Random(1)
    assert choose([near, far], KEY, rng, 0.0) is near
    near.sight.latency = 0.02
    assert choose([near, far], KEY, rng, 0.0) is far


def test_target_without_the_version_is_ruled_out():
    lacking, having = replica(1), replica(2)
    lacking.sight.refuses(KEY, (1, 6), 0.0)
    having.sight.latency = 3.0
    assert choose([lacking, having], KEY, Random(1), 0.0) is having
    assert choose([lacking], KEY, Random(1), 0.0) is None


def test_other_attempt_prefers_another_leaf():
    leaf = LeafHealth('vm/leaf')
    first, same, other = replica(1, leaf), replica(2, leaf), replica(3)
    other.sight.latency = 0.02
    assert choose_other([first, same, other], KEY, [first], 0.0) is other
    assert choose_other([first], KEY, [first], 0.0) is None


def test_silent_leaf_gets_one_trial_at_a_time():
    one, other = replica(1), replica(2)
    one.health.sent(1.0)
    assert not one.health.check(1.05)
    assert one.health.check(1.2)
    one.health.tried = 1.2
    other.sight.latency = 1.0
    assert choose([one, other], KEY, Random(1), 1.3) is other
    one.health.heard(0.01, 1.35)
    assert choose([one, other], KEY, Random(1), 1.4) is one


def test_ejection_leaves_each_shard_most_of_its_targets():
    sights = [seen_with(f't{number}', 5) for number in range(15)]
    for sight in sights:
        for _ in range(5):
            sight.took(0.1 if sight in sights[:2] else 0.01, 0.05, 1.0)
    shards = list(zip(sights[::3], sights[1::3], sights[2::3], strict=True))
    assert eject(shards, 1.0) == ['t0']
    assert sights[1].weight == 1


def test_ejection_is_capped():
    sights = [seen_with(f't{number}', 5) for number in range(10)]
    for sight in sights:
        for _ in range(5):
            sight.took(0.1 if sight in sights[:4] else 0.01, 0.05, 1.0)
    assert len(eject([sights], 1.0)) == 2


def test_silent_straggler_is_tried_again_alone():
    sights = [seen_with(f't{number}', 5) for number in range(5)]
    for sight in sights:
        sight.took(0.1 if sight is sights[0] else 0.01, 0.05, 1.0)
    for sight in sights[1:]:
        sight.took(0.01, 0.05, 8.0)
    eject([sights], 8.0)
    assert sights[0].trial
    assert sights[0].latency < 0.02


def test_hedge_delay_follows_latency():
    hedging = Hedging()
    for number in range(2000):
        hedging.took(0.01 + (number % 100) / 1000, 1.0)
    assert 0.09 < hedging.delay(2.0) < 0.12


def test_budget_bounds_extra_attempts():
    budget = TokenBudget(0.05, 10)
    spent = 0
    for _ in range(1000):
        budget.earn()
        spent += budget.spend()
    assert spent <= 0.05 * 1000 + 10


def test_target_that_its_leaf_may_not_use_is_passed_over_for_a_while():
    closed, other = ObservedTarget('t', 2), ObservedTarget('u', 2)
    closed.closes(now=1.0)
    health = LeafHealth('vm/leaf')
    replicas = [
        Replica('t', 'd', 0.0, closed, health, ''),
        Replica('u', 'd', 0.05, other, health, ''),
    ]
    assert choose(replicas, (1, 1), Random(1), 1.1).target == 'u'
    assert choose(replicas, (1, 1), Random(1), 2.0).target == 't'


def test_target_at_which_work_only_waits_is_no_straggler():
    sights = [seen_with(f't{number}', 5) for number in range(5)]
    for sight in sights:
        sight.service = 0.012
    crowded, straggler = sights[:2]
    straggler.service = 0.03
    for _ in range(6):
        crowded.took(0.1, 0.05, 1.0)
        straggler.took(0.1, 0.05, 1.0)
    assert eject([sights], 1.0) == ['t1']
    assert crowded.weight == 1


def test_quick_trial_clears_a_straggler():
    sight = seen_with('t', 5)
    for _ in range(6):
        sight.took(0.1, 0.05, 1.0)
    sight.forget(0.01)
    sight.took(0.01, 0.05, 8.0)
    assert not sight.late


def test_retries_go_on_where_nothing_succeeds():
    budget = TokenBudget(0.1, 10)
    budget.tokens = 0
    budget.trickle(50, 100.0)
    budget.spend()
    budget.trickle(50, 100.01)
    assert not budget.spend()
    budget.trickle(50, 100.03)
    assert budget.spend()
    budget.trickle(50, 200.0)
    assert budget.tokens <= 1


def test_target_passed_over_on_old_latencies_is_soon_tried_again():
    sights = [seen_with(f't{number}', 5) for number in range(5)]
    for sight in sights:
        sight.took(0.02 if sight is sights[0] else 0.01, 0.05, 1.0)
    eject([sights], 1.9)
    assert not any(sight.trial for sight in sights)
    eject([sights], 2.1)
    assert [sight.target for sight in sights if sight.trial] == ['t0']


def test_idle_target_held_cold_by_its_leaf_is_tried_by_one_attempt():
    replicas = [replica(number) for number in range(3)]
    cold = replicas[0].sight
    cold.reported = 1
    cold.forget(0.01)
    picks = [choose(replicas, KEY, Random(seed), 1.0) for seed in range(20)]
    assert replicas[0] in picks
    cold.own = 1
    picks = [choose(replicas, KEY, Random(seed), 1.0) for seed in range(20)]
    assert replicas[0] not in picks


def test_trial_that_was_given_up_is_not_repeated_at_once():
    sight = seen_with('t', 5)
    sight.took(0.1, 0.05, 1.0)
    sight.late = 0.4
    sight.forget(0.03)
    sight.at_least(0.005, 0.05, 2.0)
    assert not sight.trial
    assert sight.late
    assert sight.latency > 0.05

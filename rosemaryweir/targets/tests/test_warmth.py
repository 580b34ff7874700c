"""Tests of the detection of cold targets."""

from random import Random

import pytest

from rosemaryweir.targets.latency_history import MIN_SAMPLES
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.limits import Limits
from rosemaryweir.targets.service_latencies import ServiceLatencies
from rosemaryweir.targets.warmth import Warmth

LIMITS = Limits(3, 1, 30, 0.006, 20)
WARM_S = 0.01
#: Mean of `_latency` for a warm target, in s.
MEAN_S = 0.0122
COLD_FACTOR = 3.0
#: Without a reference errors are possible: at most this share of the seeds.
SEEDS = range(200)
MAX_ERROR_SHARE = 0.05


def _latency(rng, factor=1.0):
    return factor * WARM_S * (0.5 + 0.72 * rng.expovariate(1.0))


def _reply_cold(rng, warmth, replies=LIMITS.warm_after):
    for _ in range(replies):
        warmth.record_reply(_latency(rng, COLD_FACTOR))


def _warm_target(rng, service_latencies=None):
    warmth = Warmth(LIMITS, service_latencies)
    _reply_cold(rng, warmth)
    for _ in range(60):
        warmth.record_reply(_latency(rng))
    while warmth.allowed < LIMITS.slots:
        warmth.record_reply(_latency(rng))
    return warmth


def test_new_target_counts_as_cold():
    assert Warmth(LIMITS).allowed == LIMITS.cold_slots


def test_limit_grows_only_with_replies():
    warmth = Warmth(LIMITS)
    allowed = []
    for number in range(40):
        warmth.record_reply(WARM_S if number >= 20 else COLD_FACTOR * WARM_S)
        allowed.append(warmth.allowed)
    assert set(allowed[:20]) == {1}
    assert allowed == sorted(allowed)
    assert allowed[-1] == LIMITS.slots


@pytest.mark.parametrize('seed', range(20))
def test_one_reply_of_three_means_sets_the_cold_limit(seed):
    warmth = _warm_target(Random(seed))
    warmth.record_reply(3.01 * warmth.history.mean)
    assert warmth.allowed == LIMITS.cold_slots


@pytest.mark.parametrize('seed', range(40))
def test_target_that_turned_cold_stays_at_its_cold_limit(seed):
    rng = Random(seed)
    warmth = _warm_target(rng)
    while not warmth.suspected:
        warmth.record_reply(_latency(rng, 3.0))
    for _ in range(20):
        warmth.record_reply(_latency(rng, 3.0))
        assert warmth.allowed == LIMITS.cold_slots


@pytest.mark.parametrize('seed', range(10))
def test_random_slow_replies_seldom_lower_the_limit(seed):
    rng = Random(seed)
    warmth = _warm_target(rng)
    allowed = []
    for _ in range(2000):
        warmth.record_reply(_latency(rng))
        allowed.append(warmth.allowed)
    assert allowed.count(LIMITS.slots) > 0.8 * len(allowed)


def test_target_that_stays_slow_counts_as_warm_in_the_end():
    rng = Random(1)
    warmth = _warm_target(rng)
    for _ in range(200):
        warmth.record_reply(_latency(rng, 10.0))
    assert not warmth.cold


def test_refusals_lower_the_limit_and_replies_raise_it():
    warmth = _warm_target(Random(1))
    warmth.record_refusal()
    assert warmth.allowed == 2
    for _ in range(5):
        warmth.record_reply(WARM_S)
    assert warmth.allowed == 3


def test_cancelled_attempts_make_no_target_warm():
    warmth = Warmth(LIMITS)
    for _ in range(60):
        warmth.record_cancelled(WARM_S)
    assert warmth.cold
    assert warmth.allowed == 1


def test_slow_cancelled_attempt_sets_the_cold_limit():
    warmth = _warm_target(Random(1))
    warmth.record_cancelled(10 * WARM_S)
    assert warmth.allowed == 1


def test_target_marked_cold_warms_up_again():
    warmth = _warm_target(Random(1))
    warmth.mark_cold()
    for _ in range(19):
        warmth.record_reply(WARM_S)
        assert warmth.allowed == 1
    warmth.record_reply(WARM_S)
    warmth.record_reply(WARM_S)
    assert warmth.allowed > 1


def _gets_too_much_after_sign(seed):
    """Return whether a target gets too much after it turned cold again.

    It turns cold before its history is established, and must get its cold
    limit from the first reply of four means on.
    """
    rng = Random(seed)
    warmth = Warmth(LIMITS)
    _reply_cold(rng, warmth)
    for _ in range(seed % MIN_SAMPLES):
        warmth.record_reply(_latency(rng))
    sign_given = over_limit = False
    for _ in range(20):
        took = _latency(rng, COLD_FACTOR)
        sign_given = sign_given or took >= 4 * MEAN_S
        warmth.record_reply(took)
        over_limit = over_limit or (
            sign_given and warmth.allowed > LIMITS.cold_slots
        )
    return over_limit


def _counts_as_warm(seed):
    """Return whether a target that is cold all the time counts as warm."""
    rng = Random(seed)
    warmth = Warmth(LIMITS)
    allowed = []
    for _ in range(2 * LIMITS.warm_after - 1):
        warmth.record_reply(_latency(rng, COLD_FACTOR))
        allowed.append(warmth.allowed)
    return max(allowed) > LIMITS.cold_slots


@pytest.mark.parametrize(
    'is_error', [_gets_too_much_after_sign, _counts_as_warm]
)
def test_without_other_targets_a_cold_one_seldom_counts_as_warm(is_error):
    assert sum(is_error(seed) for seed in SEEDS) <= MAX_ERROR_SHARE * len(SEEDS)


@pytest.mark.parametrize('seed', range(40))
def test_new_target_is_compared_with_those_of_its_service(seed):
    rng = Random(seed)
    service_latencies = ServiceLatencies()
    for _ in range(3):
        _warm_target(rng, service_latencies)
    warmth = Warmth(LIMITS, service_latencies)
    for _ in range(50):
        warmth.record_reply(_latency(rng, COLD_FACTOR))
        assert warmth.allowed == LIMITS.cold_slots


def test_slow_replies_of_a_cold_target_do_not_shift_its_history():
    rng = Random(1)
    warmth = _warm_target(rng)
    known = warmth.history.mean
    _reply_cold(rng, warmth, 50)
    assert warmth.history.mean < 1.5 * known


def test_target_of_constant_latency_is_warm_in_the_end():
    warmth = Warmth(LIMITS)
    for _ in range(70):
        warmth.record_reply(WARM_S)
    assert warmth.allowed == LIMITS.slots


def test_target_slower_than_its_service_is_warm_in_the_end():
    rng = Random(1)
    service_latencies = ServiceLatencies()
    for _ in range(3):
        _warm_target(rng, service_latencies)
    slow = Warmth(LIMITS, service_latencies)
    for _ in range(100):
        slow.record_reply(4 * WARM_S)
    assert slow.allowed == LIMITS.slots


def test_replies_of_mean_latency_end_a_suspicion():
    warmth = _warm_target(Random(1))
    mean_latency = warmth.history.mean
    warmth.record_reply(3.1 * mean_latency)
    assert warmth.suspected
    for _ in range(5):
        warmth.record_reply(mean_latency)
    assert not warmth.suspected


def test_query_cancelled_before_it_is_overdue_sets_the_cold_limit():
    target_state = LeafTargetState('t', '127.0.0.1:1', 'd', LIMITS)
    rng = Random(1)
    _reply_cold(rng, target_state.warmth)
    for _ in range(60):
        target_state.record_status('ok', _latency(rng))
    while target_state.allowed < LIMITS.slots:
        target_state.record_status('ok', WARM_S / 2)
    target_state.record_status(
        'cancelled', 3.1 * target_state.warmth.history.mean
    )
    assert target_state.allowed == LIMITS.cold_slots


def test_query_cancelled_early_does_not_end_a_suspicion():
    warmth = _warm_target(Random(1))
    warmth.record_reply(3.1 * warmth.history.mean)
    warmth.record_cancelled(WARM_S / 10)
    assert warmth.suspected


def _reply_in_turn(rng, factors, rounds):
    """Return the warmths of targets of one service.

    Each is slower than a warm target by its factor.
    """
    service_latencies = ServiceLatencies()
    warmths = [Warmth(LIMITS, service_latencies) for _ in factors]
    for _ in range(rounds):
        for warmth, factor in zip(warmths, factors, strict=True):
            warmth.record_reply(_latency(rng, factor))
    return warmths


@pytest.mark.parametrize('seed', range(20))
def test_warm_targets_of_a_new_leaf_establish_each_other(seed):
    warmths = _reply_in_turn(Random(seed), [1.0] * 8, 2 * LIMITS.warm_after)
    known = sum(warmth.history.established for warmth in warmths)
    assert known > len(warmths) / 2


@pytest.mark.parametrize('seed', range(20))
def test_cold_target_among_warm_ones_is_not_established(seed):
    factors = [COLD_FACTOR] + [1.0] * 7
    cold, *_ = _reply_in_turn(Random(seed), factors, 2 * LIMITS.warm_after)
    assert cold.allowed == LIMITS.cold_slots

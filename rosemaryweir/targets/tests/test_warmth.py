"""Tests of the judgement of warmth."""

from random import Random

import pytest

from rosemaryweir.targets.latency_history import MIN_SAMPLES
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.limits import Limits
from rosemaryweir.targets.service_latencies import ServiceLatencies
from rosemaryweir.targets.warmth import Warmth

LIMITS = Limits(3, 1, 30, 0.006, 20)
WARM = 0.01
#: Mean of `_latency` with a median of `WARM`.
MEAN = 0.0122
COLD_FACTOR = 3.0
#: Without a reference there is chance: errors of that share, of many seeds.
SEEDS = range(200)
ERRORS = 0.05


def _latency(rng, factor=1.0):
    return factor * WARM * (0.5 + 0.72 * rng.expovariate(1.0))


def _cold(rng, warmth, replies=LIMITS.warm_after):
    for _ in range(replies):
        warmth.record_reply(_latency(rng, COLD_FACTOR))


def _warm(rng, service_latencies=None):
    warmth = Warmth(LIMITS, service_latencies)
    _cold(rng, warmth)
    for _ in range(60):
        warmth.record_reply(_latency(rng))
    while warmth.allowed < LIMITS.slots:
        warmth.record_reply(_latency(rng))
    return warmth


def test_unknown_is_cold():
    assert Warmth(LIMITS).allowed == LIMITS.cold_slots


def test_limit_grows_by_served_work_alone():
    warmth = Warmth(LIMITS)
    allowed = []
    for number in range(40):
        warmth.record_reply(WARM if number >= 20 else COLD_FACTOR * WARM)
        allowed.append(warmth.allowed)
    assert set(allowed[:20]) == {1}
    assert allowed == sorted(allowed)
    assert allowed[-1] == LIMITS.slots


@pytest.mark.parametrize('seed', range(20))
def test_three_means_are_the_first_sign(seed):
    warmth = _warm(Random(seed))
    warmth.record_reply(3.01 * warmth.history.mean)
    assert warmth.allowed == LIMITS.cold_slots


@pytest.mark.parametrize('seed', range(40))
def test_target_that_turned_cold_stays_at_its_cold_limit(seed):
    rng = Random(seed)
    warmth = _warm(rng)
    while not warmth.suspected:
        warmth.record_reply(_latency(rng, 3.0))
    for _ in range(20):
        warmth.record_reply(_latency(rng, 3.0))
        assert warmth.allowed == LIMITS.cold_slots


@pytest.mark.parametrize('seed', range(10))
def test_slow_reply_of_a_warm_target_costs_little(seed):
    rng = Random(seed)
    warmth = _warm(rng)
    allowed = []
    for _ in range(2000):
        warmth.record_reply(_latency(rng))
        allowed.append(warmth.allowed)
    assert allowed.count(LIMITS.slots) > 0.8 * len(allowed)


def test_slow_target_is_not_cold_for_ever():
    rng = Random(1)
    warmth = _warm(rng)
    for _ in range(200):
        warmth.record_reply(_latency(rng, 10.0))
    assert not warmth.cold


def test_refusals_lower_the_limit_and_work_raises_it():
    warmth = _warm(Random(1))
    warmth.record_refusal()
    assert warmth.allowed == 2
    for _ in range(5):
        warmth.record_reply(WARM)
    assert warmth.allowed == 3


def test_dropped_work_makes_no_target_warm():
    warmth = Warmth(LIMITS)
    for _ in range(60):
        warmth.record_cancelled(WARM)
    assert warmth.cold
    assert warmth.allowed == 1


def test_dropped_work_is_a_sign():
    warmth = _warm(Random(1))
    warmth.record_cancelled(10 * WARM)
    assert warmth.allowed == 1


def test_chilled_target_starts_again():
    warmth = _warm(Random(1))
    warmth.mark_cold()
    for _ in range(19):
        warmth.record_reply(WARM)
        assert warmth.allowed == 1
    warmth.record_reply(WARM)
    warmth.record_reply(WARM)
    assert warmth.allowed > 1


def _overrun_past_sign(seed):
    """Whether a target cold again before it was known passes its limit."""
    rng = Random(seed)
    warmth = Warmth(LIMITS)
    _cold(rng, warmth)
    for _ in range(seed % MIN_SAMPLES):
        warmth.record_reply(_latency(rng))
    signed = overrun = False
    for _ in range(20):
        took = _latency(rng, COLD_FACTOR)
        signed = signed or took >= 4 * MEAN
        warmth.record_reply(took)
        overrun = overrun or (signed and warmth.allowed > LIMITS.cold_slots)
    return overrun


def _taken_for_warm(seed):
    """Whether a target that was cold all along is taken for warm."""
    rng = Random(seed)
    warmth = Warmth(LIMITS)
    allowed = []
    for _ in range(2 * LIMITS.warm_after - 1):
        warmth.record_reply(_latency(rng, COLD_FACTOR))
        allowed.append(warmth.allowed)
    return max(allowed) > LIMITS.cold_slots


@pytest.mark.parametrize('fails', [_overrun_past_sign, _taken_for_warm])
def test_without_peers_a_cold_target_is_seldom_taken_for_warm(fails):
    assert sum(fails(seed) for seed in SEEDS) <= ERRORS * len(SEEDS)


@pytest.mark.parametrize('seed', range(40))
def test_unproven_target_is_compared_with_its_peers(seed):
    rng = Random(seed)
    service_latencies = ServiceLatencies()
    for _ in range(3):
        _warm(rng, service_latencies)
    warmth = Warmth(LIMITS, service_latencies)
    for _ in range(50):
        warmth.record_reply(_latency(rng, COLD_FACTOR))
        assert warmth.allowed == LIMITS.cold_slots


def test_slow_replies_of_a_cold_target_do_not_shift_its_history():
    rng = Random(1)
    warmth = _warm(rng)
    known = warmth.history.mean
    _cold(rng, warmth, 50)
    assert warmth.history.mean < 1.5 * known


def test_target_no_faster_than_ever_is_warm_in_the_end():
    warmth = Warmth(LIMITS)
    for _ in range(70):
        warmth.record_reply(WARM)
    assert warmth.allowed == LIMITS.slots


def test_target_slower_than_its_peers_is_warm_in_the_end():
    rng = Random(1)
    service_latencies = ServiceLatencies()
    for _ in range(3):
        _warm(rng, service_latencies)
    slow = Warmth(LIMITS, service_latencies)
    for _ in range(100):
        slow.record_reply(4 * WARM)
    assert slow.allowed == LIMITS.slots


def test_usual_replies_clear_a_target_too():
    warmth = _warm(Random(1))
    usual = warmth.history.mean
    warmth.record_reply(3.1 * usual)
    assert warmth.suspected
    for _ in range(5):
        warmth.record_reply(usual)
    assert not warmth.suspected


def test_query_dropped_before_it_was_overdue_is_a_sign():
    target_state = LeafTargetState('t', '127.0.0.1:1', 'd', LIMITS)
    rng = Random(1)
    _cold(rng, target_state.warmth)
    for _ in range(60):
        target_state.record_status('ok', _latency(rng))
    while target_state.allowed < LIMITS.slots:
        target_state.record_status('ok', WARM / 2)
    target_state.record_status(
        'cancelled', 3.1 * target_state.warmth.history.mean
    )
    assert target_state.allowed == LIMITS.cold_slots


def test_query_dropped_early_proves_nothing():
    warmth = _warm(Random(1))
    warmth.record_reply(3.1 * warmth.history.mean)
    warmth.record_cancelled(WARM / 10)
    assert warmth.suspected


def _served_in_turn(rng, factors, rounds):
    """Return the warmths of targets of one service, cold as factors say."""
    service_latencies = ServiceLatencies()
    warmths = [Warmth(LIMITS, service_latencies) for _ in factors]
    for _ in range(rounds):
        for warmth, factor in zip(warmths, factors, strict=True):
            warmth.record_reply(_latency(rng, factor))
    return warmths


@pytest.mark.parametrize('seed', range(20))
def test_warm_targets_of_a_fresh_leaf_vouch_for_each_other(seed):
    warmths = _served_in_turn(Random(seed), [1.0] * 8, 2 * LIMITS.warm_after)
    known = sum(warmth.history.established for warmth in warmths)
    assert known > len(warmths) / 2


@pytest.mark.parametrize('seed', range(20))
def test_cold_target_among_warm_ones_is_not_vouched_for(seed):
    factors = [COLD_FACTOR] + [1.0] * 7
    cold, *_ = _served_in_turn(Random(seed), factors, 2 * LIMITS.warm_after)
    assert cold.allowed == LIMITS.cold_slots

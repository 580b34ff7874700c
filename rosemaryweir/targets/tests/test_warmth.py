"""Tests of the judgement of warmth."""

from random import Random

import pytest

from rosemaryweir.targets.limits import Limits
from rosemaryweir.targets.warmth import Warmth

LIMITS = Limits(3, 1, 30, 0.006, 20)
WARM = 0.01


def _latency(rng, factor=1.0):
    return factor * WARM * (0.5 + 0.72 * rng.expovariate(1.0))


def _warm(rng):
    warmth = Warmth(LIMITS)
    for _ in range(60):
        warmth.served(_latency(rng))
    while warmth.suspected:
        warmth.served(_latency(rng))
    return warmth


def test_unknown_is_cold():
    assert Warmth(LIMITS).allowed == LIMITS.cold_slots


def test_limit_grows_by_served_work_alone():
    warmth = Warmth(LIMITS)
    allowed = []
    for _ in range(40):
        warmth.served(WARM)
        allowed.append(warmth.allowed)
    assert set(allowed[:20]) == {1}
    assert allowed == sorted(allowed)
    assert allowed[-1] == LIMITS.slots


@pytest.mark.parametrize('seed', range(20))
def test_three_means_are_the_first_sign(seed):
    warmth = _warm(Random(seed))
    warmth.served(3.01 * warmth.history.mean)
    assert warmth.allowed == LIMITS.cold_slots


@pytest.mark.parametrize('seed', range(40))
def test_target_that_turned_cold_stays_at_its_cold_limit(seed):
    rng = Random(seed)
    warmth = _warm(rng)
    while not warmth.suspected:
        warmth.served(_latency(rng, 3.0))
    for _ in range(20):
        warmth.served(_latency(rng, 3.0))
        assert warmth.allowed == LIMITS.cold_slots


@pytest.mark.parametrize('seed', range(10))
def test_slow_reply_of_a_warm_target_costs_little(seed):
    rng = Random(seed)
    warmth = _warm(rng)
    allowed = []
    for _ in range(2000):
        warmth.served(_latency(rng))
        allowed.append(warmth.allowed)
    assert allowed.count(LIMITS.slots) > 0.8 * len(allowed)


def test_slow_target_is_not_cold_for_ever():
    rng = Random(1)
    warmth = _warm(rng)
    for _ in range(200):
        warmth.served(_latency(rng, 10.0))
    assert not warmth.cold


def test_refusals_lower_the_limit_and_work_raises_it():
    warmth = _warm(Random(1))
    warmth.refused()
    assert warmth.allowed == 2
    for _ in range(5):
        warmth.served(WARM)
    assert warmth.allowed == 3


def test_dropped_work_makes_no_target_warm():
    warmth = Warmth(LIMITS)
    for _ in range(60):
        warmth.dropped(WARM)
    assert warmth.cold
    assert warmth.allowed == 1


def test_dropped_work_is_a_sign():
    warmth = _warm(Random(1))
    warmth.dropped(10 * WARM)
    assert warmth.allowed == 1


def test_chilled_target_starts_again():
    warmth = _warm(Random(1))
    warmth.chilled()
    for _ in range(19):
        warmth.served(WARM)
        assert warmth.allowed == 1
    warmth.served(WARM)
    warmth.served(WARM)
    assert warmth.allowed > 1

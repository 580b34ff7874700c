"""Tests of the estimate of the time that a caller has been waiting."""

from random import Random

import pytest

from rosemaryweir.gateway.caller_time import CallerTimeTracker

GOAL = 0.9


def tracker_after(*stated):
    tracker = CallerTimeTracker()
    for time_left in stated:
        tracker.elapsed('r', time_left, GOAL)
    return tracker


@pytest.mark.parametrize('odd', [2.4, 5.009, 3600.0])
def test_one_patient_caller_does_not_make_all_others_seem_late(odd):
    # An answer that seems late goes out with the least coverage, at once.
    tracker = tracker_after(*[2.0] * 10, odd, *[2.0] * 10)
    assert tracker.elapsed('r', 2.0, GOAL) == 0
    assert tracker.elapsed('r', 1.5, GOAL) == 0.5


@pytest.mark.parametrize('share', [2, 4, 10])
def test_callers_with_different_times_share_a_route(share):
    rng = Random(share)
    tracker = tracker_after(
        *(rng.choice([2.5, *[2.0] * (share - 1)]) for _ in range(300))
    )
    assert tracker.elapsed('r', 2.0, GOAL) == 0
    assert tracker.elapsed('r', 1.2, GOAL) == 0.8


def test_later_attempts_are_recognised_among_many():
    # In trouble, half of all requests are later attempts, and what callers
    # spent on looking up an address is often the same few milliseconds.
    rng = Random(3)
    stated = [
        rng.choice([2.0, 2.0, 2.0, 1.985, round(rng.uniform(0.2, 1.9), 3)])
        for _ in range(400)
    ]
    tracker = tracker_after(*stated)
    assert tracker.elapsed('r', 1.985, GOAL) == 0.015
    assert tracker.elapsed('r', 1.0, GOAL) == 1.0


def test_times_that_are_all_different_assume_no_more_than_the_goal():
    rng = Random(5)
    tracker = CallerTimeTracker()
    found = [
        tracker.elapsed('r', rng.uniform(0.1, 9), GOAL) for _ in range(1000)
    ]
    assert max(found) <= GOAL


def test_a_new_time_of_all_callers_is_learned():
    tracker = tracker_after(*[4.0] * 200, *[2.0] * 200)
    assert tracker.elapsed('r', 2.0, GOAL) == 0
    assert tracker_after(*[2.0] * 5).elapsed('r', None, GOAL) == 0

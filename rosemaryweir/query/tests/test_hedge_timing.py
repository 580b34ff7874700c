"""Tests of whether a hedge is likely to be quicker."""

from rosemaryweir.query.attempt import QueryAttempt
from rosemaryweir.query.hedge_timing import hedge_is_quicker
from rosemaryweir.query.running_query import OpenSubQuery
from rosemaryweir.query.tests.test_choice import KEY, make_replica


def sub_query_at(replica, sent_at):
    sub_query = OpenSubQuery('s')
    sub_query.record_attempt(
        QueryAttempt('a', 'q', 's', replica, sent_at, 5, extra=False),
    )
    replica.observed.own_in_flight += 1
    return sub_query


def test_hedge_to_a_full_replica_waits_for_its_expected_latency():
    straggler, full = make_replica(1), make_replica(2)
    full.observed.own_in_flight = full.observed.slots
    sub_query = sub_query_at(straggler, sent_at=10.0)
    expected = full.observed.mean_latency * 2
    assert not hedge_is_quicker(full, sub_query, KEY, 10.0 + 0.9 * expected)
    assert hedge_is_quicker(full, sub_query, KEY, 10.0 + 1.1 * expected)


def test_hedge_to_a_free_slot_is_quicker_at_once():
    sub_query = sub_query_at(make_replica(1), sent_at=10.0)
    assert hedge_is_quicker(make_replica(2), sub_query, KEY, 10.0)

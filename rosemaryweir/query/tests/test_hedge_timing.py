"""Whether a hedge helps a piece that is late."""

from rosemaryweir.query.attempt import Attempt
from rosemaryweir.query.hedge_timing import quicker
from rosemaryweir.query.running_query import Wanted
from rosemaryweir.query.tests.test_choice import KEY, replica


def waiting_at(place, since):
    wanted = Wanted('s')
    wanted.begin(Attempt('a', 'q', 's', place, since, 5, extra=False))
    place.sight.own += 1
    return wanted


def test_full_replica_is_asked_once_it_needs_less_than_was_waited():
    straggler, full = replica(1), replica(2)
    full.sight.own = full.sight.limit
    wanted = waiting_at(straggler, since=10.0)
    needs = full.sight.latency * 2
    assert not quicker(full, wanted, KEY, 10.0 + 0.9 * needs)
    assert quicker(full, wanted, KEY, 10.0 + 1.1 * needs)


def test_replica_with_a_free_slot_is_asked_at_once():
    wanted = waiting_at(replica(1), since=10.0)
    assert quicker(replica(2), wanted, KEY, 10.0)

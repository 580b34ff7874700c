"""What a VM that ends gracefully still does for its callers."""

from benchmarks.faults.steps import steps
from benchmarks.faults.world import World

SEED = 1


def test_a_leaver_answers_until_it_is_forgotten():
    world = World(SEED)
    world.run(steps()['shutdown asked'], ())
    vm, left = next(iter(world.left.items()))
    asked = [
        ask for ask in world.cluster.asks if ask.vm == vm and ask.asked > left
    ]
    assert {ask.topic for ask in asked} >= {'query', 'order'}
    assert {ask.status for ask in asked} == {200}
    outcomes = {ask.answer.get('outcome') for ask in asked}
    assert 'unknown' not in outcomes

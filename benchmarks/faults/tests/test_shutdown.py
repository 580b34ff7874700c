"""Tests that a VM in graceful shutdown still serves its callers."""

from benchmarks.faults.scenario import FaultScenario
from benchmarks.faults.steps import steps

SEED = 1


def test_a_vm_in_shutdown_serves_until_delisted():
    scenario = FaultScenario(SEED)
    scenario.run(steps()['shutdown asked'], ())
    vm, shutdown_at = next(iter(scenario.shutdown_times.items()))
    asked = [
        ask
        for ask in scenario.cluster.asks
        if ask.vm == vm and ask.asked > shutdown_at
    ]
    assert {ask.topic for ask in asked} >= {'query', 'order'}
    assert {ask.status for ask in asked} == {200}
    outcomes = {ask.answer.get('outcome') for ask in asked}
    assert 'unknown' not in outcomes

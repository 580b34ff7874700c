"""Tests of the utilization of an event loop."""

import asyncio

from rosemaryweir.transport.loop_utilization import (
    LoopUtilization,
    WaitTimingSelector,
)


def test_sleeping_counts_as_waiting():
    selector = WaitTimingSelector()
    with asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(selector),
    ) as runner:
        runner.run(asyncio.sleep(0.05))
    assert selector.wait_seconds >= 0.04


def test_utilization_approaches_one_if_the_loop_never_waits():
    load = LoopUtilization(0.0, 0.0)
    averages = [load.update(float(second), 0.0) for second in range(1, 9)]
    assert averages == sorted(averages)
    assert 0.99 < averages[-1] <= 1


def test_update_without_elapsed_time_changes_nothing():
    load = LoopUtilization(1.0, 0.0)
    assert load.update(1.0, 0.5) == 0

"""The share of its time that a loop is at work."""

import asyncio

from rosemaryweir.transport.loop_utilization import (
    LoopUtilization,
    WaitTimingSelector,
)


def test_a_loop_that_sleeps_waits():
    selector = WaitTimingSelector()
    with asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(selector),
    ) as runner:
        runner.run(asyncio.sleep(0.05))
    assert selector.wait_seconds >= 0.04


def test_a_loop_that_never_waits_becomes_wholly_busy():
    busy = LoopUtilization(0.0, 0.0)
    shares = [busy.update(float(second), 0.0) for second in range(1, 9)]
    assert shares == sorted(shares)
    assert 0.99 < shares[-1] <= 1


def test_a_clock_that_stands_still_changes_nothing():
    busy = LoopUtilization(1.0, 0.0)
    assert busy.update(1.0, 0.5) == 0

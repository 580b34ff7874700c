"""Keeps the tasks of a process running when they fail unexpectedly."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ['RESTART_PAUSE_S', 'run_supervised']

#: Pause before a task that failed is started again, in seconds.
RESTART_PAUSE_S = 0.5


async def run_supervised(
    start: Callable[[], Coroutine[Any, Any, None]],
    on_error: Callable[[Exception], None],
) -> None:
    """Run a coroutine until it returns; start it again if it fails.

    Without it, a task that fails on one unexpected input ends unnoticed, and
    its VM goes on serving without heartbeats or without the store.

    Parameters
    ----------
    start : callable
        Returns the coroutine to run.
    on_error : callable
        Called with each exception that ended a run.
    """
    while True:
        try:
            await start()
        except Exception as exc:  # noqa: BLE001
            on_error(exc)
            await asyncio.sleep(RESTART_PAUSE_S)
        else:
            return

"""The VM program without its command line.

The platform starts ``python -m rosemaryweir.platform.program``, which imports
only what serving needs: a VM that lost power serves again after its imports.
"""

import asyncio
import gc
import os
import sys
import time
from collections.abc import Callable

from rosemaryweir.exception import InvalidInput
from rosemaryweir.platform.settings import VmSettings, read_settings
from rosemaryweir.platform.vm import VmProcess, settings_path
from rosemaryweir.telemetry.json_log import JsonLog
from rosemaryweir.telemetry.rate_limited_log import stdout_writer
from rosemaryweir.transport.loop_utilization import WaitTimingSelector

__all__ = ['read_settings_or_exit', 'serve']

EXIT_FINDINGS = 2
#: Environment variable with the port of the metrics page.
METRICS_PORT_ENV_VAR = 'ROSEMARYWEIR_METRICS_PORT'


def read_settings_or_exit(path: str) -> VmSettings:
    """Return the settings; print all findings and exit if there are any."""
    try:
        return read_settings(path)
    except InvalidInput as exc:
        sys.stderr.write(f'{path}:\n{exc}\n')
        sys.exit(EXIT_FINDINGS)


def serve(settings: VmSettings, path: str, metrics_port: int) -> None:
    """Run the query tier on this VM until it is told to stop.

    Parameters
    ----------
    settings : VmSettings
        Validated settings.
    path : str
        Path of the settings file, for reloads.
    metrics_port : int
        Port of the metrics page; 0 for none.
    """
    # Objects made at start live until exit; later collections skip them.
    gc.collect()
    gc.freeze()
    log = JsonLog(f'{settings.name}/vm', stdout_writer(), time.time)
    selector = WaitTimingSelector()
    with asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(selector),
    ) as runner:
        runner.run(
            _run(
                settings, path, metrics_port, log, lambda: selector.wait_seconds
            )
        )


async def _run(
    settings: VmSettings,
    path: str,
    metrics_port: int,
    log: JsonLog,
    wait_seconds: Callable[[], float],
) -> None:
    await VmProcess(settings, path, metrics_port, log, wait_seconds).run()


def _metrics_port() -> int:
    text = os.environ.get(METRICS_PORT_ENV_VAR, '0')
    if not text.isdigit():
        sys.stderr.write(
            f'{METRICS_PORT_ENV_VAR}: expected a port, got {text!r}\n'
        )
        sys.exit(EXIT_FINDINGS)
    return int(text)


def _main() -> None:
    path = settings_path()
    serve(read_settings_or_exit(path), path, _metrics_port())


if __name__ == '__main__':
    _main()

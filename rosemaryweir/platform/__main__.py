"""Command of the VM program: ``python -m rosemaryweir.platform``."""

import asyncio
import gc
import sys
from collections.abc import Callable

import fire

from rosemaryweir.daemons.logs import configure_logs
from rosemaryweir.exception import InvalidInput
from rosemaryweir.platform.settings import VmSettings, read_settings
from rosemaryweir.platform.vm import VmProcess, settings_path
from rosemaryweir.telemetry.rate_limited_log import stdout_writer
from rosemaryweir.transport.loop_utilization import WaitTimingSelector

EXIT_FINDINGS = 2


def serve(
    settings: str = '', metrics_port: int = 0, check: bool = False
) -> None:
    """Run the query tier on this VM.

    Parameters
    ----------
    settings : str
        Path of the settings file; by default the one that the environment
        names.
    metrics_port : int
        Port of the metrics page; 0 for none.
    check : bool
        Only validate the settings and print all findings.
    """
    path = settings or settings_path()
    try:
        vm_settings = read_settings(path)
    except InvalidInput as exc:
        sys.stderr.write(f'{path}:\n{exc}\n')
        sys.exit(EXIT_FINDINGS)
    if check:
        sys.stdout.write(f'{path}: no findings\n')
        return
    configure_logs(stream=stdout_writer())
    # Objects made at start live until exit; later collections skip them.
    gc.collect()
    gc.freeze()
    selector = WaitTimingSelector()
    with asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(selector),
    ) as runner:
        runner.run(
            _run(vm_settings, path, metrics_port, lambda: selector.wait_seconds)
        )


async def _run(
    settings: VmSettings,
    path: str,
    metrics_port: int,
    wait_seconds: Callable[[], float],
) -> None:
    await VmProcess(settings, path, metrics_port, wait_seconds).run()


if __name__ == '__main__':
    fire.Fire(serve)

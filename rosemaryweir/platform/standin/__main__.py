"""Commands of the small site: ``python -m rosemaryweir.platform.standin``."""

import asyncio
import signal
import sys
from random import Random

import fire

from rosemaryweir.platform.standin.callers import DemoCallers
from rosemaryweir.platform.standin.site import (
    DOMAINS,
    Site,
    directory_address,
    settings_files,
)
from rosemaryweir.transport.fetch import fetch

#: Time-out until all VMs serve, in seconds.
READY_TIMEOUT_S = 30.0
#: Interval of checks whether a VM serves, in seconds.
READY_POLL_S = 0.2
HTTP_OK = 200


def files(folder: str) -> None:
    """Write the settings files of the VMs and print their paths."""
    sys.stdout.write('\n'.join((*settings_files(folder), '')))


def serve(seconds: float = 120) -> None:
    """Run the store and the targets until SIGTERM or for a time."""
    asyncio.run(_serve(seconds))


def ask(seconds: float = 10) -> None:
    """Send queries and orders for a time and print their outcomes."""
    sys.exit(asyncio.run(_ask(seconds)))


async def _serve(seconds: float) -> None:
    site = await Site.start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.call_later(seconds, stopped.set)
    await stopped.wait()
    runs = site.order_run_counts()
    doubled = sum(count > 1 for count in runs)
    sys.stdout.write(f'orders run: {len(runs)}, more than once: {doubled}\n')
    sys.exit(int(doubled > 0))


async def _ask(seconds: float) -> int:
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            waits = (
                _wait_serving(directory_address(vm))
                for vm, _ in enumerate(DOMAINS)
            )
            await asyncio.gather(*waits)
    except TimeoutError:
        sys.stdout.write('the VMs do not serve\n')
        return 1
    callers = DemoCallers(Random(1))  # noqa: S311
    await callers.run(seconds)
    lines = [
        f'{name}: {count}' for name, count in sorted(callers.outcomes.items())
    ]
    ranked = sorted(callers.latencies)
    if ranked:
        lines.append(f'median of successes: {ranked[len(ranked) // 2]:.1f} ms')
    sys.stdout.write('\n'.join((*lines, '')))
    return int(callers.outcomes['query: untrue'] > 0 or not ranked)


async def _wait_serving(directory: str) -> None:
    path = '/resolve?name=a&region=r&zone=b'
    while True:
        try:
            reply = await fetch(directory, 'GET', path)
        except OSError:
            reply = None
        if reply is not None and reply.status == HTTP_OK:
            return
        await asyncio.sleep(READY_POLL_S)


if __name__ == '__main__':
    fire.Fire({'files': files, 'serve': serve, 'ask': ask})

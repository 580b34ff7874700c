"""A small site of stand-ins: ``python -m rosemaryweir.platform.standin``."""

import asyncio
import signal
import sys
from random import Random

import fire

from rosemaryweir.platform.standin.callers import Crowd
from rosemaryweir.platform.standin.site import (
    DOMAINS,
    Site,
    directory_of,
    settings_files,
)
from rosemaryweir.transport.fetch import fetch

#: Time in which the VMs have to serve, in seconds.
READY_S = 30.0
POLL_S = 0.2
HTTP_OK = 200


def files(folder: str) -> None:
    """Write settings of the VMs; print their paths."""
    sys.stdout.write('\n'.join((*settings_files(folder), '')))


def serve(seconds: float = 120) -> None:
    """Run store and targets until SIGTERM, or for so many seconds."""
    asyncio.run(_serve(seconds))


def ask(seconds: float = 10) -> None:
    """Ask queries and place orders; print what became of them."""
    sys.exit(asyncio.run(_ask(seconds)))


async def _serve(seconds: float) -> None:
    site = await Site.start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.call_later(seconds, stopped.set)
    await stopped.wait()
    runs = site.order_runs()
    doubled = sum(count > 1 for count in runs)
    sys.stdout.write(f'orders run: {len(runs)}, more than once: {doubled}\n')
    sys.exit(int(doubled > 0))


async def _ask(seconds: float) -> int:
    try:
        async with asyncio.timeout(READY_S):
            waits = (
                _wait_serving(directory_of(vm)) for vm, _ in enumerate(DOMAINS)
            )
            await asyncio.gather(*waits)
    except TimeoutError:
        sys.stdout.write('the VMs do not serve\n')
        return 1
    crowd = Crowd(Random(1))  # noqa: S311
    await crowd.run(seconds)
    lines = [f'{name}: {count}' for name, count in sorted(crowd.seen.items())]
    ranked = sorted(crowd.latencies)
    if ranked:
        lines.append(f'median of successes: {ranked[len(ranked) // 2]:.1f} ms')
    sys.stdout.write('\n'.join((*lines, '')))
    return int(crowd.seen['query: untrue'] > 0 or not ranked)


async def _wait_serving(directory: str) -> None:
    path = '/resolve?name=a&region=r&zone=b'
    while True:
        try:
            reply = await fetch(directory, 'GET', path)
        except OSError:
            reply = None
        if reply is not None and reply.status == HTTP_OK:
            return
        await asyncio.sleep(POLL_S)


if __name__ == '__main__':
    fire.Fire({'files': files, 'serve': serve, 'ask': ask})

"""A process that runs a node with its ports, from start to exit."""

import asyncio
import pathlib
import signal
import sys
from collections.abc import Mapping
from random import Random
from typing import Any

from rosemaryweir.compose import Node
from rosemaryweir.daemons.clock import MS_PER_SECOND, SystemClock
from rosemaryweir.daemons.driver import Driver
from rosemaryweir.daemons.logs import DEFAULT_LEVEL, EventLog, configure_logs
from rosemaryweir.daemons.metrics import Metrics
from rosemaryweir.exception import Finding, InvalidInput
from rosemaryweir.node.event import ShutdownAsked
from rosemaryweir.objectstore.client import StoreClient
from rosemaryweir.schema.check import checked
from rosemaryweir.schema.generated.settings import Settings
from rosemaryweir.telemetry.log_events import register_event
from rosemaryweir.transport.callers import CallerPort
from rosemaryweir.transport.peers import ZmqPeerPort
from rosemaryweir.transport.targets import HttpTargetPort

__all__ = ['NodeProcess', 'read_settings', 'run_role']

STARTED = register_event(
    700,
    'daemon.started',
    'info',
    'The process listens on its addresses.',
)
STOPPED = register_event(
    702,
    'daemon.stopped',
    'info',
    'The process ends. The exit code is 0 after a graceful shutdown.',
)
DRAIN_EXPIRED = register_event(
    703,
    'daemon.drain_expired',
    'error',
    'Work in flight did not end within drain_ms after the shutdown began; '
    'it was aborted.',
)

EXIT_INVALID_SETTINGS = 2
EXIT_DRAIN_EXPIRED = 1
DEFAULT_DRAIN_MS = 60_000
#: Time to send buffered data before the sockets are closed.
FLUSH_SECONDS = 0.2


class NodeProcess:
    """A node, its driver and its ports.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    role : str
        ``entry``, ``leaf`` or ``agent``.

    See Also
    --------
    rosemaryweir.daemons.driver : exchange between node and ports.
    """

    def __init__(self, settings: Settings, role: str) -> None:
        clock = SystemClock()
        self._settings = settings
        self._role = role
        incarnation = clock.incarnation()
        # The random numbers only spread load and timers; they are no secrets.
        rng = Random()  # noqa: S311
        self.node = Node.from_config(settings, role, incarnation, rng)
        uid = self.node.state.uid
        self._log = EventLog(uid)
        metrics = Metrics(role, settings.get('statsd', ''))
        self.driver = Driver(self.node, clock, self._log, metrics)
        post = self.driver.post
        self.peers = ZmqPeerPort(uid, post, clock)
        self._store = StoreClient(settings['store'], post)
        self._targets = HttpTargetPort(post, clock)
        self._callers = CallerPort(f'{role}_http', post, clock)
        self._callers.extra_status = self._extra_status
        self.driver.connect(
            self._callers.reply,
            self.peers,
            self._store,
            self._targets,
            self._callers.stop_listening,
        )

    async def start(self) -> None:
        """Listen on the addresses of the role and start the node."""
        addresses: Mapping[str, Any] = {
            'leaf_http': self._settings.get('leaf_http', ''),
            **self._settings['addresses'],
        }
        listening = {'peer': self.peers.start(addresses[f'{self._role}_peer'])}
        http = addresses[f'{self._role}_http']
        if http:
            listening['http'] = await self._callers.http.start(http)
        self._log.event(STARTED, listening)
        self.driver.start()

    def install_signal_handlers(self) -> None:
        """Start a graceful shutdown on SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.shutdown)

    async def run(self) -> int:
        """Run until the node ends and return the exit code."""
        code = await self.driver.finished
        await self.stop()
        self._log.event(STOPPED, {'code': code})
        return code

    async def stop(self) -> None:
        """Send buffered data, then close all sockets."""
        await self._callers.http.stop()
        await asyncio.sleep(FLUSH_SECONDS)
        self.driver.close()
        self._store.close()
        self._targets.close()
        self.peers.close()

    def shutdown(self) -> None:
        """Start a graceful shutdown."""
        drain_ms = self._settings.get('drain_ms', DEFAULT_DRAIN_MS)
        loop = asyncio.get_running_loop()
        loop.call_later(drain_ms / MS_PER_SECOND, self._end_drain)
        self.driver.post(ShutdownAsked())

    def _end_drain(self) -> None:
        if not self.driver.finished.done():
            self._log.event(DRAIN_EXPIRED, {'in_flight': len(self._callers)})
            self.driver.finished.set_result(EXIT_DRAIN_EXPIRED)

    def _extra_status(self) -> Mapping[str, Any]:
        return {'peers': dict(self.peers.counts)}


def read_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    InvalidInput
        If the file is unreadable or invalid; it contains all findings.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise InvalidInput((Finding('$', str(exc)),)) from exc
    settings: Settings = checked('settings', text)
    return settings


def run_role(role: str, path: str, check: bool) -> int:
    """Run a role with a settings file and return the exit code."""
    try:
        settings = read_settings(path)
    except InvalidInput as exc:
        sys.stderr.write(f'{path}:\n{exc}\n')
        return EXIT_INVALID_SETTINGS
    if check:
        sys.stdout.write(f'{path}: no findings\n')
        return 0
    configure_logs(settings.get('log_level', DEFAULT_LEVEL))
    return asyncio.run(_run(settings, role))


async def _run(settings: Settings, role: str) -> int:
    process = NodeProcess(settings, role)
    # Handlers are installed before the process listens, because it may be
    # told to stop as soon as it can be reached.
    process.install_signal_handlers()
    await process.start()
    return await process.run()

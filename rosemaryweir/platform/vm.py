"""The process of a VM on the platform, from start to end."""

import asyncio
import os
import signal
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from rosemaryweir.daemons.clock import SystemClock
from rosemaryweir.daemons.logs import EventLog
from rosemaryweir.exception import InvalidInput
from rosemaryweir.gateway.quota import VmInfo
from rosemaryweir.node.state import NodeUid
from rosemaryweir.platform import events, words
from rosemaryweir.platform.callers import Directory, ready_handler
from rosemaryweir.platform.control import Control, seed_addresses
from rosemaryweir.platform.settings import VmSettings, read_settings
from rosemaryweir.platform.traffic import Traffic
from rosemaryweir.presence.directory import select_front_addresses
from rosemaryweir.presence.heartbeats import HEARTBEAT_INTERVAL_S, VmState
from rosemaryweir.telemetry.exposition import format_metrics
from rosemaryweir.telemetry.rate_limited_log import RateLimitedLog
from rosemaryweir.transport.exchange import Exchange
from rosemaryweir.transport.http_server import HttpServer
from rosemaryweir.transport.loop_utilization import LoopUtilization

__all__ = ['Vm', 'settings_path']

#: Time that callers keep a directory answer, in seconds.
TTL_S = 2.5
#: Time after SIGTERM for which callers with an old answer may still come, s.
LINGER_S = TTL_S + 0.3
#: Time before SIGKILL at which the process ends by itself, in seconds.
GRACE_MARGIN_S = 0.5
#: Time between looks whether the last request is answered, in seconds.
LOOK_S = 0.02
#: Time for the last bytes to leave before the process does, in seconds.
FLUSH_S = 0.05
HTTP_OK = 200
TEXT = 'text/plain; version=0.0.4'


class Vm:
    """All that runs on one VM.

    Parameters
    ----------
    settings : VmSettings
        Checked settings.
    path : str
        Where they stand, to be read again.
    metrics_port : int
        Port of the metrics page; 0 for none.
    waited : callable
        Returns the seconds that the event loop has waited so far.
    """

    def __init__(
        self,
        settings: VmSettings,
        path: str,
        metrics_port: int,
        waited: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._path = path
        self._metrics_port = metrics_port
        # Chance only spreads load here; no secret hangs on it.
        rng = Random()  # noqa: S311
        self._rng = rng
        incarnation = SystemClock().incarnation()
        uid = NodeUid(settings.name, 'vm', incarnation)
        self._log = RateLimitedLog(EventLog(uid))
        self.traffic = Traffic(settings, self._write, rng)
        self.control = Control(
            settings,
            incarnation,
            self._write,
            self._take_news,
            self.traffic.gateway.target_registry,
            rng,
        )
        ttl = min(TTL_S, settings.ttl_most)
        self._directory = Directory(self._addresses, ttl)
        self._ready = HttpServer(ready_handler(lambda: self.serving))
        self._metrics = HttpServer(self._expose)
        self._leaving = False
        self._stopped = asyncio.Event()
        self._waited = waited
        self._busy = LoopUtilization(_now(), waited())

    @property
    def serving(self) -> bool:
        """Whether callers may be sent here."""
        return self.control.belief.known and not self._leaving

    async def run(self) -> None:
        """Serve until told to end."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.shutdown)
        loop.add_signal_handler(signal.SIGINT, self.shutdown)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._listen()
        self._write(events.STARTED, {'ip': self._settings.ip}, always=True)
        await self.control.start()
        self.control.spawn(self._beat())
        await self._stopped.wait()
        await self._close()

    def shutdown(self) -> None:
        """Leave the directory, answer what comes, then end."""
        if self._leaving:
            return
        self._leaving = True
        fields = {'open': len(self.traffic.front)}
        self._write(events.STOPPING, fields, always=True)
        self.traffic.front.http.closing = True
        self._send_beat()
        self.control.spawn(self._leave())

    def reload(self) -> None:
        """Read the settings again."""
        try:
            found = read_settings(self._path)
        except InvalidInput as exc:
            fields = {'findings': str(exc), 'outcome': 'kept'}
            self._write(events.RELOADED, fields, always=True)
            return
        self._settings = found
        self.traffic.limit(found)
        self.control.members.add_candidates(seed_addresses(found))
        self._write(events.RELOADED, {'outcome': 'taken'}, always=True)

    async def _listen(self) -> None:
        settings = self._settings
        await self._directory.http.start(settings.directory)
        await self._ready.start(settings.ready)
        await self.traffic.front.http.start(settings.front)
        if self._metrics_port:
            address = f'{settings.ip}:{self._metrics_port}'
            await self._metrics.start(address)

    async def _leave(self) -> None:
        loop = asyncio.get_running_loop()
        front = self.traffic.front
        began = loop.time()
        await self.control.leave()
        await asyncio.sleep(max(0, began + LINGER_S - loop.time()))
        front.http.stop_listening()
        front.http.close_idle()
        last = began + self._settings.grace - GRACE_MARGIN_S
        while len(front) and loop.time() < last:
            await asyncio.sleep(LOOK_S)
        self._stopped.set()

    async def _close(self) -> None:
        fields = {'open': len(self.traffic.front)}
        self._write(events.STOPPED, fields, always=True)
        await self.traffic.front.http.stop()
        await self._directory.http.stop()
        await self._ready.stop()
        await asyncio.sleep(FLUSH_S)
        await self.control.stop()

    async def _beat(self) -> None:
        while True:
            self._send_beat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self._busy.update(_now(), self._waited())
            self.control.expire()

    def _send_beat(self) -> None:
        self.control.beat(self.serving, self._leaving, self._busy.utilization)
        members = self.control.members
        self.traffic.share(
            map(_place, members.alive(_now())),
            map(_place, members.possibly_alive(_now())),
        )

    def _take_news(self) -> None:
        self.traffic.apply(self.control.belief)
        if self.serving and not self.control.members.own.ready:
            # The others name this VM to callers from now on.
            self._send_beat()

    def _addresses(self, domain: str) -> list[str]:
        serving = self.control.members.serving(_now())
        reach = self.traffic.reach
        return select_front_addresses(serving, domain, reach, self._rng)

    def _expose(self, exchange: Exchange) -> None:
        gateway = self.traffic.gateway
        page = format_metrics(
            gateway.counters,
            {
                'requests': len(gateway),
                'load': self._busy.utilization,
                'vms': len(self.control.members.alive(_now())),
                'config_version': gateway.config.version
                if gateway.config
                else 0,
            },
            self.traffic.latencies.bins(),
        )
        exchange.reply(HTTP_OK, page, (('content-type', TEXT),))

    def _write(
        self,
        number: int,
        fields: Mapping[str, Any],
        always: bool = False,
    ) -> None:
        self._log.event(number, fields, _now(), always)


def settings_path() -> str:
    """Return the path of the settings file, from the environment."""
    return os.environ.get(words.SETTINGS_VARIABLE, '')


def _place(news: VmState) -> VmInfo:
    return VmInfo(news.name, news.domain, news.capacity)


def _now() -> float:
    return asyncio.get_running_loop().time()

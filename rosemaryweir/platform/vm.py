"""The VM process on the platform, from start to exit."""

import asyncio
import os
import signal
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from rosemaryweir.daemons.clock import SystemClock
from rosemaryweir.exception import InvalidInput
from rosemaryweir.gateway.quota import VmInfo
from rosemaryweir.platform import events, protocol
from rosemaryweir.platform.caller_servers import (
    DirectoryServer,
    make_readiness_handler,
)
from rosemaryweir.platform.control_plane import ControlPlane, seed_addresses
from rosemaryweir.platform.gateway_driver import GatewayDriver
from rosemaryweir.platform.settings import VmSettings, read_settings
from rosemaryweir.presence.directory import select_front_addresses
from rosemaryweir.presence.heartbeats import VmState, heartbeat_interval
from rosemaryweir.telemetry.exposition import format_metrics
from rosemaryweir.telemetry.rate_limited_log import EventSink, RateLimitedLog
from rosemaryweir.telemetry.traffic import TrafficMeter
from rosemaryweir.transport.exchange import Exchange
from rosemaryweir.transport.http_server import HttpServer
from rosemaryweir.transport.loop_utilization import LoopUtilization

__all__ = ['VmProcess', 'settings_path']

#: Time that callers may cache a directory answer, in seconds.
DIRECTORY_TTL_S = 2.5
#: Time after SIGTERM in which callers with a cached directory answer may still
#: connect, in seconds.
LEAVE_DELAY_S = DIRECTORY_TTL_S + 0.3
#: Time before the expected SIGKILL at which the process exits, in seconds.
EXIT_MARGIN_S = 0.5
#: Time before the exit at which requests without a reply are answered, in
#: seconds: enough for their responses to be sent.
FINAL_RESPONSE_MARGIN_S = 0.2
#: Interval of checks whether all requests are answered, in seconds.
DRAIN_POLL_S = 0.02
#: Time for buffered bytes to be sent before the process exits, in seconds.
FLUSH_S = 0.05
#: Interval of the log entries that count bytes by purpose, in seconds.
TRAFFIC_LOG_INTERVAL_S = 10.0
#: Interval of checks whether the settings file has changed, in seconds.
SETTINGS_CHECK_INTERVAL_S = 1.0
HTTP_OK = 200
METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4'


class VmProcess:
    """All servers and tasks of one VM.

    Parameters
    ----------
    settings : VmSettings
        Validated settings.
    path : str
        Path of the settings file, for reloads.
    metrics_port : int
        Port of the metrics page; 0 for none.
    log : EventSink
        Receives the log events.
    wait_seconds : callable
        Returns the total time that the event loop has waited, in seconds.
    """

    def __init__(
        self,
        settings: VmSettings,
        path: str,
        metrics_port: int,
        log: EventSink,
        wait_seconds: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._path = path
        self._settings_version = _file_version(path)
        self._metrics_port = metrics_port
        # Used only to spread load, never for secrets.
        rng = Random()  # noqa: S311
        self._rng = rng
        incarnation = SystemClock().incarnation()
        self._log = RateLimitedLog(log)
        self._traffic = TrafficMeter(settings.domain)
        self.gateway_driver = GatewayDriver(
            settings, self._write, rng, self._traffic
        )
        self.control_plane = ControlPlane(
            settings,
            incarnation,
            self._write,
            self._apply_changes,
            self.gateway_driver.gateway.target_registry,
            rng,
            self._traffic,
        )
        ttl = min(DIRECTORY_TTL_S, settings.max_ttl)
        self._directory_server = DirectoryServer(self._directory_addresses, ttl)
        self._readiness_server = HttpServer(
            make_readiness_handler(lambda: self.serving)
        )
        self._metrics_server = HttpServer(self._serve_metrics)
        self._leaving = False
        self._stopped = asyncio.Event()
        self._wait_seconds = wait_seconds
        self._utilization = LoopUtilization(_now(), wait_seconds())

    @property
    def serving(self) -> bool:
        """Whether callers may be sent here."""
        return self.control_plane.store_cache.can_serve and not self._leaving

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.shutdown)
        loop.add_signal_handler(signal.SIGINT, self.shutdown)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.set_exception_handler(self._handle_loop_error)
        await self._listen()
        self._write(events.STARTED, {'ip': self._settings.ip}, always=True)
        await self.control_plane.start()
        self.control_plane.spawn_supervised(self._run_heartbeats)
        self.control_plane.spawn_supervised(self._log_traffic)
        self.control_plane.spawn_supervised(self._watch_settings)
        await self._stopped.wait()
        await self._close()

    def shutdown(self) -> None:
        """Leave the directory, answer remaining requests, then exit."""
        if self._leaving:
            return
        self._leaving = True
        fields = {'open': len(self.gateway_driver.caller_server)}
        self._write(events.STOPPING, fields, always=True)
        self.gateway_driver.caller_server.http.closing = True
        self._send_heartbeat()
        self.control_plane.spawn(self._leave())

    def reload(self) -> None:
        """Read the settings again."""
        self._settings_version = _file_version(self._path)
        try:
            found = read_settings(self._path)
        except InvalidInput as exc:
            fields = {'findings': str(exc), 'outcome': 'kept'}
            self._write(events.RELOADED, fields, always=True)
            return
        self._settings = found
        self.gateway_driver.apply_settings(found)
        self.control_plane.peers.add_candidates(seed_addresses(found))
        self._write(events.RELOADED, {'outcome': 'taken'}, always=True)

    async def _listen(self) -> None:
        settings = self._settings
        await self._directory_server.http.start(settings.directory_address)
        await self._readiness_server.start(settings.readiness_address)
        await self.gateway_driver.caller_server.http.start(
            settings.front_address
        )
        if self._metrics_port:
            address = f'{settings.ip}:{self._metrics_port}'
            await self._metrics_server.start(address)

    async def _leave(self) -> None:
        loop = asyncio.get_running_loop()
        caller_server = self.gateway_driver.caller_server
        grace = self._settings.termination_grace
        last = loop.time() + grace - EXIT_MARGIN_S
        self.gateway_driver.stop(last - FINAL_RESPONSE_MARGIN_S)
        await asyncio.sleep(min(LEAVE_DELAY_S, grace / 2))
        caller_server.http.stop_listening()
        caller_server.http.close_idle()
        while caller_server.http.busy and loop.time() < last:
            await asyncio.sleep(DRAIN_POLL_S)
        self._stopped.set()

    async def _close(self) -> None:
        fields = {'open': len(self.gateway_driver.caller_server)}
        self._write(events.STOPPED, fields, always=True)
        await self.gateway_driver.caller_server.http.stop()
        await self._directory_server.http.stop()
        await self._readiness_server.stop()
        await asyncio.sleep(FLUSH_S)
        await self.control_plane.stop()

    async def _run_heartbeats(self) -> None:
        started = _now()
        while True:
            self._send_heartbeat()
            await asyncio.sleep(heartbeat_interval(_now() - started))
            self._utilization.update(_now(), self._wait_seconds())
            self.control_plane.remove_expired_targets()

    async def _watch_settings(self) -> None:
        """Read the settings again when their file changes without SIGHUP."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            found = _file_version(self._path)
            if found != self._settings_version and not self._leaving:
                self.reload()

    def _handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        exc = context.get('exception')
        source = context.get('message', '')
        if isinstance(exc, Exception):
            self.control_plane.log_error(source, exc)
        else:
            loop.default_exception_handler(context)

    async def _log_traffic(self) -> None:
        while True:
            await asyncio.sleep(TRAFFIC_LOG_INTERVAL_S)
            self._write(events.TRAFFIC, self._traffic.counters)

    def _send_heartbeat(self) -> None:
        self.control_plane.send_heartbeat(
            self.serving, self._leaving, self._utilization.utilization
        )
        peers = self.control_plane.peers
        self.gateway_driver.update_vms(
            map(_vm_info, peers.alive(_now())),
            map(_vm_info, peers.possibly_alive(_now())),
        )

    def _apply_changes(self) -> None:
        self.gateway_driver.apply_store_cache(self.control_plane.store_cache)
        if self.serving and not self.control_plane.peers.own.ready:
            # From now on the other VMs name this one to callers.
            self._send_heartbeat()

    def _directory_addresses(self, domain: str) -> list[str]:
        serving = self.control_plane.peers.serving(_now())
        domain_coverage = self.gateway_driver.coverage_by_domain
        return select_front_addresses(
            serving, domain, domain_coverage, self._rng
        )

    def _serve_metrics(self, exchange: Exchange) -> None:
        gateway = self.gateway_driver.gateway
        page = format_metrics(
            gateway.counters | self._traffic.counters,
            {
                'requests': len(gateway),
                'reply_bytes': self.gateway_driver.reply_buffers.total,
                'replies_cut': self.gateway_driver.reply_buffers.cut_count,
                'load': self._utilization.utilization,
                'vms': len(self.control_plane.peers.alive(_now())),
                'config_version': gateway.config.version
                if gateway.config
                else 0,
            },
            self.gateway_driver.latencies.bins(),
        )
        exchange.reply(HTTP_OK, page, (('content-type', METRICS_CONTENT_TYPE),))

    def _write(
        self,
        number: int,
        fields: Mapping[str, Any],
        always: bool = False,
    ) -> None:
        self._log.event(number, fields, _now(), always)


def settings_path() -> str:
    """Return the path of the settings file, from the environment."""
    return os.environ.get(protocol.SETTINGS_ENV_VAR, '')


def _file_version(path: str) -> tuple[int, int, int]:
    """Return what changes with a file: inode, time and size; 0 without one."""
    try:
        found = os.stat(path)
    except OSError:
        return (0, 0, 0)
    return (found.st_ino, found.st_mtime_ns, found.st_size)


def _vm_info(state: VmState) -> VmInfo:
    return VmInfo(state.name, state.domain, state.capacity)


def _now() -> float:
    return asyncio.get_running_loop().time()

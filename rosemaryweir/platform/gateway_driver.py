"""Connect the gateway to its callers and targets and to the event loop."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

from rosemaryweir.gateway.action import (
    Action,
    CallerResponse,
    CloseTargetConnection,
    DecodedReply,
    InboundRequest,
    LogEntry,
    OpenTargetConnection,
    SendAttempt,
)
from rosemaryweir.gateway.gateway import Gateway
from rosemaryweir.gateway.quota import VmInfo, slack_share
from rosemaryweir.gateway.retry_budget import RetryBudgetPolicy
from rosemaryweir.platform.caller_servers import CallerServer
from rosemaryweir.platform.settings import VmSettings
from rosemaryweir.platform.store_cache import StoreCache
from rosemaryweir.platform.target_connections import TargetConnections
from rosemaryweir.telemetry.histogram import HistogramSet
from rosemaryweir.telemetry.traffic import TrafficMeter
from rosemaryweir.transport.limits import HttpLimits
from rosemaryweir.transport.reply_buffers import ReplyBuffers

__all__ = ['GatewayDriver']

#: Limit for request bodies until a configuration sets one, in bytes.
INITIAL_MAX_BODY_BYTES = 262_144
MS_PER_SECOND = 1000
MIB = 1024 * 1024
#: Share of the VM's memory that incomplete replies may fill: what the process
#: itself holds and its callers' requests need the rest.
REPLY_BUFFER_SHARE = 0.2
#: Time after the start for which this VM uses no share of the retry budget's
#: slack, in seconds: it may not know all other VMs yet; heartbeats find them
#: within 3 s.
SLACK_DELAY_S = 4.0
NEVER = float('inf')

WriteEvent = Callable[[int, Mapping[str, Any]], None]


class GatewayDriver:
    """Passes events to the gateway and performs the actions it returns.

    Parameters
    ----------
    settings : VmSettings
        Validated settings.
    write : callable
        Called with the number and the fields of each log event.
    rng : random.Random
        Source of random numbers.
    traffic : TrafficMeter
        Counts the bytes exchanged with targets.

    Attributes
    ----------
    latencies : HistogramSet
        Latency of responses by route and status.
    reply_buffers : ReplyBuffers
        Bytes of targets' incomplete replies.
    coverage_by_domain : dict of str to float
        Share of the shards that each failure domain holds targets of.
    """

    def __init__(
        self,
        settings: VmSettings,
        write: WriteEvent,
        rng: Random,
        traffic: TrafficMeter,
    ) -> None:
        policy = RetryBudgetPolicy(
            settings.retry_budget_ratio,
            settings.retry_budget_slack,
            settings.retry_budget_window,
        )
        limits = HttpLimits(body_bytes=INITIAL_MAX_BODY_BYTES)
        own_vm = VmInfo(settings.name, settings.domain, settings.capacity)
        self.latencies = HistogramSet()
        self.reply_buffers = ReplyBuffers(
            int(settings.memory_mb * MIB * REPLY_BUFFER_SHARE)
        )
        self.coverage_by_domain: dict[str, float] = {}
        self.gateway = Gateway(own_vm, policy, rng)
        self.caller_server = CallerServer(
            self._handle_request, self._handle_disconnect, limits
        )
        self._connections = TargetConnections(
            self._handle_opened,
            self._handle_reply,
            self._handle_failure,
            traffic,
            self.reply_buffers,
        )
        self._write = write
        self._timer: asyncio.TimerHandle | None = None
        self._started = _now()
        self._wakes_at = NEVER
        self._handlers: Mapping[type, Callable[[Any], None]] = {
            SendAttempt: self._connections.send,
            OpenTargetConnection: self._connections.open,
            CloseTargetConnection: self._connections.close,
            CallerResponse: self._send_response,
            LogEntry: self._write_log_entry,
        }

    def apply_settings(self, settings: VmSettings) -> None:
        """Apply settings that were reloaded."""
        policy = self.gateway.retry_policy
        policy.ratio = settings.retry_budget_ratio
        policy.slack = settings.retry_budget_slack
        policy.window = settings.retry_budget_window

    def stop(self, stops_at: float) -> None:
        """Answer every request by a time of the event loop's clock."""
        self._perform(self.gateway.stop(stops_at))

    def update_vms(
        self, alive_vms: Iterable[VmInfo], budget_vms: Iterable[VmInfo]
    ) -> None:
        """Update the VMs among which the targets' capacity is divided.

        Parameters
        ----------
        alive_vms : iterable of VmInfo
            VMs that share the connections to targets.
        budget_vms : iterable of VmInfo
            VMs that share the retry budget; includes VMs that fell silent a
            short time ago.
        """
        self.gateway.dispatcher.connection_quota.update(alive_vms)
        may_use_slack = _now() - self._started >= SLACK_DELAY_S
        share = slack_share(
            self.gateway.dispatcher.connection_quota.own, budget_vms
        )
        self.gateway.retry_policy.vm_share = (
            share if may_use_slack else float(0)
        )

    def apply_store_cache(self, store_cache: StoreCache) -> None:
        """Apply the configuration, the targets and evacuated domains."""
        config = store_cache.config
        if config is not None and config is not self.gateway.config:
            self.caller_server.http.limits = HttpLimits(*config.limits)
            self._perform(self.gateway.configure(config))
        self._perform(
            self.gateway.update_targets(
                store_cache.targets, store_cache.evacuated_domains, _now()
            ),
        )
        self.coverage_by_domain = self.gateway.domain_coverage()

    def _handle_request(self, request: InboundRequest) -> None:
        self._perform(self.gateway.handle_request(request, _now()))

    def _handle_disconnect(self, exchange_id: int) -> None:
        self._perform(self.gateway.caller_disconnected(exchange_id, _now()))

    def _handle_opened(self, conn: int) -> None:
        self._perform(self.gateway.connection_opened(conn, _now()))

    def _handle_reply(
        self,
        conn: int,
        reply: DecodedReply,
        reusable: bool,
        keep_alive_timeout: float | None,
    ) -> None:
        self._perform(
            self.gateway.reply_received(
                conn, reply, reusable, keep_alive_timeout, _now()
            ),
        )

    def _handle_failure(self, conn: int, reason: str) -> None:
        self._perform(self.gateway.connection_lost(conn, reason, _now()))

    def _wake(self) -> None:
        self._timer = None
        self._wakes_at = NEVER
        self._perform(self.gateway.wake(_now()))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            self._handlers[type(action)](action)
        due = self.gateway.next_wake()
        if due < self._wakes_at:
            if self._timer is not None:
                self._timer.cancel()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due, self._wake)
            self._wakes_at = due

    def _send_response(self, response: CallerResponse) -> None:
        self.caller_server.send_response(response)
        labels = {'route': response.route, 'status': str(response.status)}
        duration_ms = response.duration * MS_PER_SECOND
        self.latencies.record('request', duration_ms, labels)

    def _write_log_entry(self, entry: LogEntry) -> None:
        self._write(entry.number, entry.fields)


def _now() -> float:
    return asyncio.get_running_loop().time()

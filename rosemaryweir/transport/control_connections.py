"""Control connections to targets: cancellation, health and load requests.

Each target has at most one control connection, opened on demand and closed
when idle.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from rosemaryweir.node.action import CancelAttempt, ProbeTarget
from rosemaryweir.node.event import Event, TargetHealth
from rosemaryweir.node.ports import Clock
from rosemaryweir.schema.generated.target import HealthReport, LoadReport
from rosemaryweir.transport.exchange import encode_json
from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel

__all__ = ['ControlConnections']

#: Queue length of a target from which further requests are discarded:
#: cancellations are best effort.
MAX_QUEUED_REQUESTS = 64
#: Timeout of connecting and of one request, in seconds.
REQUEST_TIMEOUT_S = 1.0
#: Idle time after which a control connection is closed, in seconds.
IDLE_TIMEOUT_S = 10.0
HTTP_OK = 200
_HEALTH_DECODER = msgspec.json.Decoder(HealthReport)
_LOAD_DECODER = msgspec.json.Decoder(LoadReport)


class _ControlRequest(NamedTuple):
    """A request to send over a control connection.

    ``decoder`` and ``probe`` are set only for the requests of a probe.
    """

    method: str
    path: str
    body: bytes = b''
    decoder: msgspec.json.Decoder[Any] | None = None
    probe: ProbeTarget | None = None


class _HealthResult(NamedTuple):
    """Answer to the health request, the first of the two of a probe."""

    state: str
    incarnation: int


class _ControlConnection:
    """The control connection to one target."""

    def __init__(self, post: Callable[[Event], None], address: str) -> None:
        self._post = post
        self._address = address
        self._queue: deque[_ControlRequest] = deque()
        self._current_request: _ControlRequest | None = None
        self._channel: Channel | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._health: _HealthResult | None = None

    def add(self, *requests: _ControlRequest) -> None:
        """Queue requests, unless the queue is full."""
        if len(self._queue) < MAX_QUEUED_REQUESTS:
            self._queue.extend(requests)
            self._send_next()

    def close(self) -> None:
        """Abort the connection without posting an event."""
        self._cancel_timer()
        if self._task is not None:
            self._task.cancel()
        if self._channel is not None:
            self._channel.drop()
            self._channel = None

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Handle the reply to the current request."""
        request = self._current_request
        self._current_request = None
        self._set_timer(IDLE_TIMEOUT_S)
        if request is not None and request.probe is not None:
            self._handle_probe_reply(request, request.probe, reply)
        if not channel.reusable:
            self._channel = None
        self._send_next()

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Do nothing: replies to control requests are not streamed."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Fail the current request and reconnect for the queued ones."""
        if channel is self._channel:
            self._channel = None
        request = self._current_request
        self._current_request = None
        self._cancel_timer()
        if request is not None:
            self._report_unreachable(request)
        if self._queue:
            self._send_next()

    def _send_next(self) -> None:
        if self._current_request is not None or self._task is not None:
            return
        if not self._queue:
            return
        if self._channel is None:
            self._task = asyncio.create_task(self._connect())
            return
        self._current_request = self._queue.popleft()
        self._set_timer(REQUEST_TIMEOUT_S)
        request = self._current_request
        self._channel.send(request.method, request.path, (), request.body)

    async def _connect(self) -> None:
        try:
            self._channel = await open_channel(
                self._address,
                self,
                REQUEST_TIMEOUT_S,
            )
        except OSError:
            self._task = None
            self._fail_queued()
            return
        self._task = None
        if not self._channel.open:
            self._channel = None
        self._send_next()

    def _fail_queued(self) -> None:
        requests = tuple(self._queue)
        self._queue.clear()
        for request in requests:
            self._report_unreachable(request)

    def _handle_probe_reply(
        self,
        request: _ControlRequest,
        probe: ProbeTarget,
        reply: HttpReply,
    ) -> None:
        report = _decode_reply(request, reply)
        if report is None:
            self._report_unreachable(request)
        elif request.decoder is _HEALTH_DECODER:
            self._health = _HealthResult(report['state'], report['incarnation'])
        elif self._health is not None:
            self._post_health(probe, self._health, report['load'])

    def _post_health(
        self,
        probe: ProbeTarget,
        result: _HealthResult,
        load: float,
    ) -> None:
        self._health = None
        health = TargetHealth(
            probe.target,
            result.state,
            load,
            result.incarnation,
        )
        self._post(health)

    def _report_unreachable(self, request: _ControlRequest) -> None:
        # A probe consists of two requests; only the second one (load) reports
        # the outcome, so that each probe posts one event.
        if request.probe is not None and request.decoder is _LOAD_DECODER:
            self._health = None
            target = request.probe.target
            self._post(TargetHealth(target, 'unreachable', 0, 0))

    def _on_timeout(self) -> None:
        channel = self._channel
        if channel is not None:
            channel.fail('timeout' if self._current_request else 'idle')

    def _set_timer(self, seconds: float) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class ControlConnections:
    """Control connections to all targets, by address.

    Parameters
    ----------
    post : callable
        Called with each event.
    clock : Clock
        Source of the monotonic time.
    """

    def __init__(self, post: Callable[[Event], None], clock: Clock) -> None:
        self._post = post
        self._clock = clock
        self._connections: dict[str, _ControlConnection] = {}

    def cancel(self, action: CancelAttempt) -> None:
        """Ask a target to cancel an attempt; no event reports the outcome."""
        body = encode_json({'attempt': action.attempt})
        self._connection(action.address).add(
            _ControlRequest('POST', '/v1/cancel', body)
        )

    def probe(self, action: ProbeTarget) -> None:
        """Request health and load; the result is a ``TargetHealth`` event."""
        if self._clock.monotonic() >= action.deadline:
            return
        self._connection(action.address).add(
            _ControlRequest('GET', '/v1/health', b'', _HEALTH_DECODER, action),
            _ControlRequest('GET', '/v1/load', b'', _LOAD_DECODER, action),
        )

    def close(self) -> None:
        """Abort every connection without posting events."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    def _connection(self, address: str) -> _ControlConnection:
        connection = self._connections.get(address)
        if connection is None:
            connection = _ControlConnection(self._post, address)
            self._connections[address] = connection
        return connection


def _decode_reply(
    request: _ControlRequest, reply: HttpReply
) -> Mapping[str, Any] | None:
    if reply.status != HTTP_OK or request.decoder is None:
        return None
    try:
        report: Mapping[str, Any] = request.decoder.decode(reply.body)
    except (msgspec.MsgspecError, ValueError):
        return None
    return report

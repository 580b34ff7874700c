"""Control connections to targets: cancellations, health and load.

Each target has at most one; it opens on demand and closes when idle.
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

__all__ = ['ControlLines']

#: Requests that wait for one target at most; cancellations are best effort.
MAX_WAITING = 64
#: Time for one request over a control connection, in seconds.
CONTROL_SECONDS = 1.0
#: Time without use after which a control connection is closed.
IDLE_SECONDS = 10.0
HTTP_OK = 200
_HEALTH = msgspec.json.Decoder(HealthReport)
_LOAD = msgspec.json.Decoder(LoadReport)


class _Step(NamedTuple):
    """A request over a control connection."""

    method: str
    path: str
    body: bytes = b''
    decoder: msgspec.json.Decoder[Any] | None = None
    probe: ProbeTarget | None = None


class _Probe(NamedTuple):
    """What a probe has learnt so far."""

    state: str
    incarnation: int


class _Line:
    """The control connection to one target."""

    def __init__(self, post: Callable[[Event], None], address: str) -> None:
        self._post = post
        self._address = address
        self._steps: deque[_Step] = deque()
        self._current: _Step | None = None
        self._channel: Channel | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._learnt: _Probe | None = None

    def add(self, *steps: _Step) -> None:
        """Queue requests."""
        if len(self._steps) < MAX_WAITING:
            self._steps.extend(steps)
            self._pump()

    def close(self) -> None:
        """Drop the connection without a word."""
        self._disarm()
        if self._task is not None:
            self._task.cancel()
        if self._channel is not None:
            self._channel.drop()
            self._channel = None

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Take the answer to the request under way."""
        step = self._current
        self._current = None
        self._arm(IDLE_SECONDS)
        if step is not None and step.probe is not None:
            self._learn(step, step.probe, reply)
        if not channel.reusable:
            self._channel = None
        self._pump()

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Take nothing: control requests don't stream."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Fail what was under way; what waits gets a new connection."""
        if channel is self._channel:
            self._channel = None
        step = self._current
        self._current = None
        self._disarm()
        if step is not None:
            self._unreachable(step)
        if self._steps:
            self._pump()

    def _pump(self) -> None:
        if self._current is not None or self._task is not None:
            return
        if not self._steps:
            return
        if self._channel is None:
            self._task = asyncio.create_task(self._open())
            return
        self._current = self._steps.popleft()
        self._arm(CONTROL_SECONDS)
        step = self._current
        self._channel.send(step.method, step.path, (), step.body)

    async def _open(self) -> None:
        try:
            self._channel = await open_channel(
                self._address,
                self,
                CONTROL_SECONDS,
            )
        except OSError:
            self._task = None
            self._fail_all()
            return
        self._task = None
        if not self._channel.open:
            self._channel = None
        self._pump()

    def _fail_all(self) -> None:
        steps = tuple(self._steps)
        self._steps.clear()
        for step in steps:
            self._unreachable(step)

    def _learn(
        self,
        step: _Step,
        probe: ProbeTarget,
        reply: HttpReply,
    ) -> None:
        content = _checked(step, reply)
        if content is None:
            self._unreachable(step)
        elif step.decoder is _HEALTH:
            self._learnt = _Probe(content['state'], content['incarnation'])
        elif self._learnt is not None:
            self._report(probe, self._learnt, content['load'])

    def _report(
        self,
        probe: ProbeTarget,
        learnt: _Probe,
        load: float,
    ) -> None:
        self._learnt = None
        health = TargetHealth(
            probe.target,
            learnt.state,
            load,
            learnt.incarnation,
        )
        self._post(health)

    def _unreachable(self, step: _Step) -> None:
        # A probe is two requests; the second reports.
        if step.probe is not None and step.decoder is _LOAD:
            self._learnt = None
            target = step.probe.target
            self._post(TargetHealth(target, 'unreachable', 0, 0))

    def _expire(self) -> None:
        channel = self._channel
        if channel is not None:
            channel.fail('timeout' if self._current else 'idle')

    def _arm(self, seconds: float) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._expire)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class ControlLines:
    """The control connections to all targets.

    Parameters
    ----------
    post : callable
        Takes each event.
    clock : Clock
        The time.
    """

    def __init__(self, post: Callable[[Event], None], clock: Clock) -> None:
        self._post = post
        self._clock = clock
        self._lines: dict[str, _Line] = {}

    def cancel(self, action: CancelAttempt) -> None:
        """Tell a target to drop an attempt; nothing comes back."""
        body = encode_json({'attempt': action.attempt})
        self._line(action.address).add(_Step('POST', '/v1/cancel', body))

    def probe(self, action: ProbeTarget) -> None:
        """Ask for health and load; ``TargetHealth`` answers."""
        if self._clock.monotonic() >= action.deadline:
            return
        self._line(action.address).add(
            _Step('GET', '/v1/health', b'', _HEALTH, action),
            _Step('GET', '/v1/load', b'', _LOAD, action),
        )

    def close(self) -> None:
        """Drop every connection without a word."""
        for line in self._lines.values():
            line.close()
        self._lines.clear()

    def _line(self, address: str) -> _Line:
        line = self._lines.get(address)
        if line is None:
            line = _Line(self._post, address)
            self._lines[address] = line
        return line


def _checked(step: _Step, reply: HttpReply) -> Mapping[str, Any] | None:
    if reply.status != HTTP_OK or step.decoder is None:
        return None
    try:
        content: Mapping[str, Any] = step.decoder.decode(reply.body)
    except (msgspec.MsgspecError, ValueError):
        return None
    return content

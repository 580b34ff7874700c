"""The Store port over HTTP: client of the platform's object API.

A call whose request was not sent fails as ``unavailable``.  A write that was
sent but not answered fails as ``unknown``, since it may have taken effect.
"""

import asyncio
import json
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from rosemaryweir.node.action import (
    ListPlatform,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
    StoreUnwatch,
    StoreWatch,
)
from rosemaryweir.node.event import (
    Event,
    PlatformList,
    StoreFailed,
    StoreObject,
    StoreReply,
)
from rosemaryweir.node.ports import StoreCall
from rosemaryweir.objectstore.watch import WatchStream
from rosemaryweir.objectstore.wire import (
    OBJECTS_PATH,
    VERSION_HEADER,
    VMS_PATH,
    object_path,
    parse_object_list,
)
from rosemaryweir.schema.check import findings
from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel

__all__ = ['StoreClient']

#: Maximum connections to the store, not counting those of watches.
MAX_CHANNELS = 8
#: Maximum calls queued for a connection.
MAX_QUEUED_CALLS = 1024
#: Timeout of a call including its time in the queue, in seconds.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412
HTTP_UNAVAILABLE = 503
_STATUSES = {
    HTTP_OK: 'ok',
    HTTP_NOT_FOUND: 'missing',
    HTTP_PRECONDITION_FAILED: 'conflict',
}
_SLASH = '/'

UnaryCall = StoreGet | StoreList | StorePut | StoreDelete | ListPlatform


class _StoreRequest(NamedTuple):
    """HTTP request that carries out a store call."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class _PendingCall:
    """A queued or sent call; ``channel`` is set once it is sent."""

    timer: asyncio.TimerHandle

    def __init__(self, action: UnaryCall) -> None:
        self.action = action
        self.channel: Channel | None = None


class StoreClient:
    """Executes store calls over a pool of connections.

    Parameters
    ----------
    address : str
        ``ip:port`` of the object API.
    post : callable
        Called with the event that answers each call.
    """

    def __init__(self, address: str, post: Callable[[Event], None]) -> None:
        self._address = address
        self._post = post
        self._idle_channels: list[Channel] = []
        self._in_flight: dict[Channel, _PendingCall] = {}
        self._queue: deque[_PendingCall] = deque()
        self._connecting = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch_streams: dict[str, WatchStream] = {}

    def call(self, action: StoreCall) -> None:
        """Start a call; its result is posted as an event."""
        if isinstance(action, StoreWatch):
            self._drop_watch(action.call)
            watch_stream = WatchStream(self._address, action, self._post)
            self._watch_streams[action.call] = watch_stream
            watch_stream.start()
        elif isinstance(action, StoreUnwatch):
            self._drop_watch(action.call)
        else:
            self._enqueue(action)

    def close(self) -> None:
        """Abort every connection without posting events."""
        for name in tuple(self._watch_streams):
            self._drop_watch(name)
        for task in self._tasks:
            task.cancel()
        for call in (*self._in_flight.values(), *self._queue):
            call.timer.cancel()
        for channel in (*self._idle_channels, *self._in_flight):
            channel.drop()
        self._idle_channels.clear()
        self._in_flight.clear()
        self._queue.clear()

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Handle the reply to the call on a channel."""
        call = self._in_flight.pop(channel)
        call.timer.cancel()
        if channel.reusable:
            self._idle_channels.append(channel)
        self._post_result(call.action, reply)
        self._dispatch()

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Do nothing: replies to calls are not streamed."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Remove a closed channel and fail the call sent on it."""
        if channel in self._idle_channels:
            self._idle_channels.remove(channel)
        call = self._in_flight.pop(channel, None)
        if call is not None:
            call.timer.cancel()
            self._fail(call.action, sent=True)
        self._dispatch()

    def _enqueue(self, action: UnaryCall) -> None:
        if len(self._queue) >= MAX_QUEUED_CALLS:
            self._fail(action, sent=False)
            return
        loop = asyncio.get_running_loop()
        call = _PendingCall(action)
        call.timer = loop.call_later(CALL_TIMEOUT_S, self._on_timeout, call)
        self._queue.append(call)
        self._dispatch()

    def _dispatch(self) -> None:
        while self._queue and self._idle_channels:
            self._send(self._idle_channels.pop(), self._queue.popleft())
        busy = len(self._in_flight) + self._connecting
        if len(self._queue) > self._connecting and busy < MAX_CHANNELS:
            self._connecting += 1
            task = asyncio.create_task(self._connect())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _send(self, channel: Channel, call: _PendingCall) -> None:
        call.channel = channel
        self._in_flight[channel] = call
        request = _build_http_request(call.action)
        channel.send(
            request.method,
            request.path,
            request.headers,
            request.body,
        )

    async def _connect(self) -> None:
        try:
            channel = await open_channel(self._address, self, CONNECT_TIMEOUT_S)
        except OSError:
            self._connecting -= 1
            self._fail_queue()
            return
        self._connecting -= 1
        if channel.open:
            self._idle_channels.append(channel)
            self._dispatch()
        else:
            # The connection was closed at once: treat it as refused.
            self._fail_queue()

    def _fail_queue(self) -> None:
        queued = tuple(self._queue)
        self._queue.clear()
        for call in queued:
            call.timer.cancel()
            self._fail(call.action, sent=False)

    def _on_timeout(self, call: _PendingCall) -> None:
        if call.channel is None:
            self._queue.remove(call)
            self._fail(call.action, sent=False)
        else:
            call.channel.fail('timeout')
            # A channel that has already ended doesn't call `closed` again.
            self.closed(call.channel, 'timeout', idle=False)

    def _post_result(self, action: UnaryCall, reply: HttpReply) -> None:
        try:
            event = _parse_reply(action, reply)
        except ValueError:
            self._fail(action, sent=True)
            return
        if event is None:
            refused = reply.status == HTTP_UNAVAILABLE
            self._fail(action, sent=not refused)
        else:
            self._post(event)

    def _fail(self, action: UnaryCall, sent: bool) -> None:
        if isinstance(action, ListPlatform):
            return
        is_write = isinstance(action, StorePut | StoreDelete)
        reason = 'unknown' if sent and is_write else 'unavailable'
        self._post(StoreFailed(action.call, reason))

    def _drop_watch(self, name: str) -> None:
        watch_stream = self._watch_streams.pop(name, None)
        if watch_stream is not None:
            watch_stream.stop()


def _build_http_request(action: UnaryCall) -> _StoreRequest:
    if isinstance(action, ListPlatform):
        return _StoreRequest('GET', VMS_PATH)
    if isinstance(action, StoreList):
        prefix = object_path(action.prefix).removeprefix(OBJECTS_PATH)
        return _StoreRequest(
            'GET',
            f'{OBJECTS_PATH}?prefix={prefix.removeprefix(_SLASH)}',
        )
    path = object_path(action.key)
    if isinstance(action, StoreGet):
        return _StoreRequest('GET', path)
    condition = (('if-match', str(action.expected)),)
    if isinstance(action, StorePut):
        return _StoreRequest('PUT', path, condition, action.content)
    return _StoreRequest('DELETE', path, condition)


def _parse_reply(action: UnaryCall, reply: HttpReply) -> Event | None:
    if isinstance(action, ListPlatform):
        return _platform_list(reply)
    status = _STATUSES.get(reply.status)
    if status is None:
        return None
    if isinstance(action, StoreList):
        listing = parse_object_list(reply.body)
        return StoreReply(
            action.call,
            status,
            listing.objects,
            listing.revision,
        )
    version = int(reply.headers.get(VERSION_HEADER, ''))
    revision = int(reply.headers.get('x-revision', ''))
    content = reply.body
    if isinstance(action, StorePut) and status == 'ok':
        content = action.content
    item = StoreObject(action.key, version, content)
    objects = (item,) if version or status == 'conflict' else ()
    return StoreReply(action.call, status, objects, revision)


def _platform_list(reply: HttpReply) -> Event | None:
    if reply.status != HTTP_OK:
        return None
    content = json.loads(reply.body)
    if findings('platform/VmList', content):
        return None
    return PlatformList(tuple(content['live']), tuple(content['leaving']))

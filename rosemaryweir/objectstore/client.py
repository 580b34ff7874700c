"""The Store port over HTTP: the platform's object API.

A call whose request never left is reported ``unavailable``; a write whose
answer never came is reported ``unknown``, since it may have taken effect.
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

#: Connections to the store at once, watches apart.
MAX_CHANNELS = 8
#: Calls that wait for a connection at most.
MAX_QUEUE = 1024
#: Time for one call, waiting included, in seconds.
CALL_SECONDS = 2.0
CONNECT_SECONDS = 1.0
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

PlainCall = StoreGet | StoreList | StorePut | StoreDelete | ListPlatform


class _Request(NamedTuple):
    """A call as an HTTP request."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class _Call:
    """A call under way."""

    timer: asyncio.TimerHandle

    def __init__(self, action: PlainCall) -> None:
        self.action = action
        self.channel: Channel | None = None


class StoreClient:
    """Carries out store calls over a few connections.

    Parameters
    ----------
    address : str
        ``ip:port`` of the object API.
    post : callable
        Takes the event that answers each call.
    """

    def __init__(self, address: str, post: Callable[[Event], None]) -> None:
        self._address = address
        self._post = post
        self._free: list[Channel] = []
        self._in_flight: dict[Channel, _Call] = {}
        self._queue: deque[_Call] = deque()
        self._opening = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._watches: dict[str, WatchStream] = {}

    def call(self, action: StoreCall) -> None:
        """Start a call; its answer comes as an event."""
        if isinstance(action, StoreWatch):
            self._drop_watch(action.call)
            watcher = WatchStream(self._address, action, self._post)
            self._watches[action.call] = watcher
            watcher.start()
        elif isinstance(action, StoreUnwatch):
            self._drop_watch(action.call)
        else:
            self._enqueue(action)

    def close(self) -> None:
        """Drop every connection without a word."""
        for name in tuple(self._watches):
            self._drop_watch(name)
        for task in self._tasks:
            task.cancel()
        for call in (*self._in_flight.values(), *self._queue):
            call.timer.cancel()
        for channel in (*self._free, *self._in_flight):
            channel.drop()
        self._free.clear()
        self._in_flight.clear()
        self._queue.clear()

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Take the answer to the call on a channel."""
        call = self._in_flight.pop(channel)
        call.timer.cancel()
        if channel.reusable:
            self._free.append(channel)
        self._answer(call.action, reply)
        self._pump()

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Take nothing: plain calls don't stream."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Fail the call on a channel that ended."""
        if channel in self._free:
            self._free.remove(channel)
        call = self._in_flight.pop(channel, None)
        if call is not None:
            call.timer.cancel()
            self._fail(call.action, sent=True)
        self._pump()

    def _enqueue(self, action: PlainCall) -> None:
        if len(self._queue) >= MAX_QUEUE:
            self._fail(action, sent=False)
            return
        loop = asyncio.get_running_loop()
        call = _Call(action)
        call.timer = loop.call_later(CALL_SECONDS, self._expire, call)
        self._queue.append(call)
        self._pump()

    def _pump(self) -> None:
        while self._queue and self._free:
            self._send(self._free.pop(), self._queue.popleft())
        standing = len(self._in_flight) + self._opening
        if len(self._queue) > self._opening and standing < MAX_CHANNELS:
            self._opening += 1
            task = asyncio.create_task(self._open())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _send(self, channel: Channel, call: _Call) -> None:
        call.channel = channel
        self._in_flight[channel] = call
        request = _http_request(call.action)
        channel.send(
            request.method,
            request.path,
            request.headers,
            request.body,
        )

    async def _open(self) -> None:
        try:
            channel = await open_channel(self._address, self, CONNECT_SECONDS)
        except OSError:
            self._opening -= 1
            self._fail_queue()
            return
        self._opening -= 1
        if channel.open:
            self._free.append(channel)
            self._pump()
        else:
            # Accepted and closed at once: as good as refused.
            self._fail_queue()

    def _fail_queue(self) -> None:
        waiting = tuple(self._queue)
        self._queue.clear()
        for call in waiting:
            call.timer.cancel()
            self._fail(call.action, sent=False)

    def _expire(self, call: _Call) -> None:
        if call.channel is None:
            self._queue.remove(call)
            self._fail(call.action, sent=False)
        else:
            call.channel.fail('timeout')
            # A channel that had ended before reports nothing more.
            self.closed(call.channel, 'timeout', idle=False)

    def _answer(self, action: PlainCall, reply: HttpReply) -> None:
        try:
            event = _event(action, reply)
        except ValueError:
            self._fail(action, sent=True)
            return
        if event is None:
            refused = reply.status == HTTP_UNAVAILABLE
            self._fail(action, sent=not refused)
        else:
            self._post(event)

    def _fail(self, action: PlainCall, sent: bool) -> None:
        if isinstance(action, ListPlatform):
            return
        writes = isinstance(action, StorePut | StoreDelete)
        reason = 'unknown' if sent and writes else 'unavailable'
        self._post(StoreFailed(action.call, reason))

    def _drop_watch(self, name: str) -> None:
        watcher = self._watches.pop(name, None)
        if watcher is not None:
            watcher.stop()


def _http_request(action: PlainCall) -> _Request:
    if isinstance(action, ListPlatform):
        return _Request('GET', VMS_PATH)
    if isinstance(action, StoreList):
        prefix = object_path(action.prefix).removeprefix(OBJECTS_PATH)
        return _Request(
            'GET',
            f'{OBJECTS_PATH}?prefix={prefix.removeprefix(_SLASH)}',
        )
    path = object_path(action.key)
    if isinstance(action, StoreGet):
        return _Request('GET', path)
    condition = (('if-match', str(action.expected)),)
    if isinstance(action, StorePut):
        return _Request('PUT', path, condition, action.content)
    return _Request('DELETE', path, condition)


def _event(action: PlainCall, reply: HttpReply) -> Event | None:
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

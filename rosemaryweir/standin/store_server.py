"""Serves the platform's object API as a stand-in, with faults."""

import asyncio
import json
from collections import deque
from collections.abc import Callable
from typing import cast
from urllib.parse import parse_qs

from rosemaryweir.objectstore.wire import (
    OBJECTS_PATH,
    VERSION_HEADER,
    VMS_PATH,
    WATCH_PATH,
    build_object_list,
    key_from_path,
)
from rosemaryweir.schema.check import findings
from rosemaryweir.schema.generated.platform import (
    StoreFaults,
    StoreStats,
    VmList,
)
from rosemaryweir.standin.objects import (
    MAX_OBJECT_BYTES,
    ObjectStore,
    WriteOutcome,
)
from rosemaryweir.transport.exchange import Exchange, encode_json
from rosemaryweir.transport.http_server import HttpServer
from rosemaryweir.transport.limits import HttpLimits

__all__ = ['StoreServer']

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
HTTP_UNAVAILABLE = 503
MS_PER_SECOND = 1000
#: Interval between messages on a watch, so that clients see it is open.
BOOKMARK_INTERVAL_S = 0.5
_LIMITS = HttpLimits(body_bytes=MAX_OBJECT_BYTES, idle_seconds=600)


class _OpenWatch:
    """An open watch: its exchange, key prefix and last revision sent."""

    def __init__(
        self, exchange: Exchange, prefix: str, sent_revision: int
    ) -> None:
        self.exchange = exchange
        self.prefix = prefix
        self.sent_revision = sent_revision


class StoreServer:
    """Serves an `ObjectStore` over HTTP.

    Attributes
    ----------
    faults : StoreFaults
        Faults in force, as set by ``POST /admin/fault``.
    """

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.faults = StoreFaults()
        self.http = HttpServer(self._handle_exchange, _LIMITS)
        self._watches: set[_OpenWatch] = set()
        self._vm_lists: deque[tuple[float, VmList]] = deque()
        self._reads = 0
        self._writes = 0
        self._conflicts = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self, address: str) -> str:
        """Listen on an address; return it with the port in use."""
        self._task = asyncio.create_task(self._send_bookmarks())
        return await self.http.start(address)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._task is not None:
            self._task.cancel()
        self.http.abort_all()
        await self.http.stop()

    def set_faults(self, faults: StoreFaults) -> None:
        """Set faults; fields that are left out do not change."""
        self.faults.update(faults)
        if self.faults.get('down'):
            for watch in tuple(self._watches):
                watch.exchange.abort()
            self._watches.clear()

    def stats(self) -> StoreStats:
        """Return the counters and the size of the store."""
        return StoreStats(
            reads=self._reads,
            writes=self._writes,
            conflicts=self._conflicts,
            watches=len(self._watches),
            objects=len(self.store),
            revision=self.store.revision,
        )

    def _handle_exchange(self, exchange: Exchange) -> None:
        if exchange.request.path.startswith('/admin/'):
            self._handle_admin(exchange)
        elif self.faults.get('down'):
            exchange.abort()
        elif self.faults.get('refuse'):
            detail = 'the store is down'
            exchange.refuse(HTTP_UNAVAILABLE, 'store_down', detail)
        else:
            self._call_delayed(lambda: self._handle_call(exchange))

    def _call_delayed(self, call: Callable[[], None]) -> None:
        delay = self.faults.get('slow_ms', 0) / MS_PER_SECOND
        if delay:
            asyncio.get_running_loop().call_later(delay, call)
        else:
            call()

    def _handle_admin(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == '/admin/stats':
            exchange.reply_json(HTTP_OK, self.stats())
            return
        schema = 'platform/VmList' if path == '/admin/vms' else ''
        schema = 'platform/StoreFaults' if path == '/admin/fault' else schema
        content = _parse_body(schema, exchange.request.body) if schema else None
        if content is None:
            exchange.refuse(HTTP_BAD_REQUEST, 'malformed', path)
            return
        if path == '/admin/vms':
            loop = asyncio.get_running_loop()
            self._vm_lists.append((loop.time(), cast(VmList, content)))
        else:
            self.set_faults(cast(StoreFaults, content))
        exchange.reply_json(HTTP_OK, {})

    def _handle_call(self, exchange: Exchange) -> None:
        path, _, query = exchange.request.path.partition('?')
        fields = {key: texts[0] for key, texts in parse_qs(query).items()}
        if path == VMS_PATH:
            self._reads += 1
            exchange.reply_json(HTTP_OK, self._vm_list())
        elif path == WATCH_PATH:
            self._open_watch(exchange, fields)
        elif path == OBJECTS_PATH:
            self._reads += 1
            items = self.store.list(fields.get('prefix', ''))
            listed = build_object_list(self.store.revision, items)
            exchange.reply_json(HTTP_OK, listed)
        elif path.startswith(f'{OBJECTS_PATH}/'):
            self._handle_object(exchange, key_from_path(path))
        else:
            exchange.refuse(HTTP_NOT_FOUND, 'unknown_path', path)

    def _handle_object(self, exchange: Exchange, key: str) -> None:
        method = exchange.request.method
        expected = exchange.request.headers.get('if-match', '')
        if method == 'GET':
            self._reads += 1
            item = self.store.get(key)
            status = HTTP_OK if item.version else HTTP_NOT_FOUND
            self._reply_object(exchange, status, WriteOutcome(True, item))
        elif method in {'PUT', 'DELETE'} and expected.isdigit():
            self._handle_write(exchange, key, int(expected))
        else:
            exchange.refuse(
                HTTP_BAD_REQUEST,
                'malformed',
                'expected GET, or PUT or DELETE with a numeric If-Match',
            )

    def _handle_write(
        self, exchange: Exchange, key: str, expected: int
    ) -> None:
        self._writes += 1
        if exchange.request.method == 'PUT':
            outcome = self.store.put(key, expected, exchange.request.body)
        else:
            outcome = self.store.delete(key, expected)
        self._conflicts += int(not outcome.written)
        self._notify_watches()
        lost = self.faults.get('lose_replies', 0)
        if lost:
            self.faults['lose_replies'] = lost - 1
            exchange.abort()
            return
        status = HTTP_OK if outcome.written else HTTP_PRECONDITION_FAILED
        self._reply_object(exchange, status, outcome)

    def _reply_object(
        self,
        exchange: Exchange,
        status: int,
        outcome: WriteOutcome,
    ) -> None:
        headers = (
            (VERSION_HEADER, str(outcome.item.version)),
            ('x-revision', str(self.store.revision)),
        )
        exchange.reply(status, outcome.item.content, headers)

    def _vm_list(self) -> VmList:
        now = asyncio.get_running_loop().time()
        horizon = now - self.faults.get('list_lag_ms', 0) / MS_PER_SECOND
        while len(self._vm_lists) > 1 and self._vm_lists[1][0] <= horizon:
            self._vm_lists.popleft()
        if self._vm_lists and self._vm_lists[0][0] <= horizon:
            return self._vm_lists[0][1]
        return VmList(live=[], leaving=[])

    def _open_watch(self, exchange: Exchange, fields: dict[str, str]) -> None:
        text = fields.get('revision', '')
        revision = int(text) if text.isdigit() else -1
        if not self.store.has_all_changes_since(revision):
            exchange.refuse(
                HTTP_GONE, 'expired', 'revision not kept; list again'
            )
            return
        self._reads += 1
        watch = _OpenWatch(exchange, fields.get('prefix', ''), revision)
        exchange.on_disconnect = lambda: self._watches.discard(watch)
        exchange.writer.start_stream(HTTP_OK)
        self._watches.add(watch)
        self._notify_watch(watch, bookmark=True)

    def _notify_watches(self) -> None:
        for watch in tuple(self._watches):
            self._notify_watch(watch, bookmark=False)

    def _notify_watch(self, watch: _OpenWatch, bookmark: bool) -> None:
        if self.faults.get('stall_watches'):
            return
        changes = tuple(
            self.store.changes_since(watch.prefix, watch.sent_revision)
        )
        if changes or bookmark:
            watch.sent_revision = self.store.revision
            items = (change.item for change in changes)
            line = encode_json(build_object_list(watch.sent_revision, items))
            watch.exchange.writer.stream(b'%b\n' % line)

    async def _send_bookmarks(self) -> None:
        while True:
            await asyncio.sleep(BOOKMARK_INTERVAL_S)
            for watch in tuple(self._watches):
                self._notify_watch(watch, bookmark=True)


def _parse_body(schema: str, body: bytes) -> object:
    try:
        content = json.loads(body)
    except ValueError:
        return None
    return None if findings(schema, content) else content

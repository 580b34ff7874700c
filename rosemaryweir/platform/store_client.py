"""HTTP client of the platform's store: calls, lists and watches."""

import asyncio
import random
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any, Protocol
from urllib.parse import quote, urlencode

import msgspec

from rosemaryweir.catalog.table import ObjectVersion
from rosemaryweir.platform.store_answers import (
    ListAnswer,
    decode_list,
    decode_watch,
)
from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel

__all__ = [
    'StoreWatcher',
    'StoreError',
    'StoreConnection',
    'delete_object',
    'list_objects',
    'write_object',
]

#: Time-out for connecting to the store, in seconds.
CONNECT_TIMEOUT_S = 0.8
#: Time-out for one call, in seconds: the store answers within milliseconds,
#: and within some hundred milliseconds when it is slow.
CALL_TIMEOUT_S = 1.5
#: Time that a watch waits for changes, in seconds.  A dead connection is
#: detected after this and `WATCH_TIMEOUT_MARGIN_S`, early enough for a change
#: to take effect in the required time.
WATCH_WAIT_S = 2.0
#: Time beyond `WATCH_WAIT_S` that the answer to a watch may take, in seconds.
WATCH_TIMEOUT_MARGIN_S = 0.5
#: Pause after a watch that returned changes, in seconds: changes that follow
#: each other closely, as when targets are replaced, cost one call together.
WATCH_PAUSE_S = 0.1
#: Interval at which a VM that doesn't watch checks whether it has to, in
#: seconds.
WATCH_CHECK_INTERVAL_S = 0.2
#: Range of the random delay between the first list and the first watch, in
#: seconds: by then the VM has received heartbeats of VMs that watch already.
WATCH_START_DELAY_S = (0.6, 1.8)
#: Shortest and longest pause after failed calls, in seconds.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
HTTP_OK = 200
HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410

CountBytes = Callable[[int], None] | None


class StoreError(Exception):
    """A call that was not answered, or that the store refused.

    Parameters
    ----------
    status : int
        HTTP status; 0 without an answer.
    reason : str
        Description of the failure.
    """

    def __init__(self, status: int, reason: str) -> None:
        self.status = status
        super().__init__(reason)


class StoreConnection:
    """A connection to the store that is opened on demand.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    on_bytes : callable, optional
        Called after each call with the number of bytes exchanged.
    """

    def __init__(self, address: str, on_bytes: CountBytes = None) -> None:
        self._address = address
        self._on_bytes = on_bytes
        self._channel: Channel | None = None
        self._reply: asyncio.Future[HttpReply] | None = None

    async def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        timeout: float = CALL_TIMEOUT_S,
    ) -> HttpReply:
        """Make a call and return the store's answer.

        Raises
        ------
        StoreError
            If there is no answer in time, or the store refuses the call.
        """
        body = b'' if content is None else msgspec.json.encode(content)
        headers = (('content-type', 'application/json'),) if body else ()
        try:
            async with asyncio.timeout(timeout):
                channel = await self._open()
                self._reply = asyncio.get_running_loop().create_future()
                channel.send(method, path, headers, body)
                reply = await self._reply
            if self._on_bytes is not None:
                self._on_bytes(channel.take_byte_count())
        except OSError as exc:
            self.drop()
            raise StoreError(0, f'no answer: {exc!r}') from exc
        if reply.status not in {
            HTTP_OK,
            HTTP_CREATED,
            HTTP_NOT_FOUND,
            HTTP_CONFLICT,
        }:
            raise StoreError(reply.status, f'status {reply.status}')
        return reply

    def drop(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.drop()
            self._channel = None

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Deliver the answer to the waiting call."""
        if self._reply is not None and not self._reply.done():
            self._reply.set_result(reply)
        if not channel.reusable:
            self._channel = None

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Ignore a part of a body: no call is streamed."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Fail the waiting call, since the connection has ended."""
        if channel is self._channel:
            self._channel = None
        if self._reply is not None and not self._reply.done():
            self._reply.set_exception(ConnectionError(reason))

    async def _open(self) -> Channel:
        if self._channel is None or not self._channel.open:
            self._channel = await open_channel(
                self._address, self, CONNECT_TIMEOUT_S
            )
        return self._channel


class WatchListener(Protocol):
    """Receiver of the objects of a watched kind."""

    def merge_list(
        self, kind: str, objects: list[ObjectVersion], revision: int
    ) -> None:
        """Merge a list of all objects of a kind."""

    def merge_changes(
        self, kind: str, changes: list[ObjectVersion], revision: int
    ) -> None:
        """Merge the changes since the complete revision."""

    def store_failed(self, kind: str, exc: StoreError) -> None:
        """Record that a call failed."""

    def objects_skipped(self, kind: str, count: int) -> None:
        """Record that the names of some objects could not be read."""

    def complete_revision(self, kind: str) -> int:
        """Return the revision up to which every change is known."""

    def should_watch(self, kind: str) -> bool:
        """Return whether this VM is to watch a kind itself."""


async def _delay_watch() -> None:
    await asyncio.sleep(random.uniform(*WATCH_START_DELAY_S))  # noqa: S311


@contextmanager
def _temporary_connection(
    address: str, on_bytes: CountBytes
) -> Iterator[StoreConnection]:
    connection = StoreConnection(address, on_bytes)
    try:
        yield connection
    finally:
        connection.drop()


class StoreWatcher:
    """Lists one kind of object, and watches it when this VM is to.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    kind : str
        Kind of the objects.
    listener : WatchListener
        Receives objects and failures.
    on_bytes : callable, optional
        Called after each call with the number of bytes exchanged.
    """

    def __init__(
        self,
        address: str,
        kind: str,
        listener: WatchListener,
        on_bytes: CountBytes = None,
    ) -> None:
        self._connection = StoreConnection(address, on_bytes)
        self._kind = kind
        self._listener = listener
        self._failures = 0

    async def run(self) -> None:
        """List and watch until cancelled.

        The first list may be stale, which costs the store a tenth.  What it
        lacks arrives by the watch, or from VMs that watch.
        """
        needs_list = True
        allow_stale = True
        while True:
            try:
                if needs_list or not self._listener.complete_revision(
                    self._kind
                ):
                    await self._list(allow_stale)
                    needs_list = False
                    if allow_stale:
                        await _delay_watch()
                    allow_stale = False
                if self._listener.should_watch(self._kind):
                    await self._watch()
                else:
                    await asyncio.sleep(WATCH_CHECK_INTERVAL_S)
                self._failures = 0
            except StoreError as exc:
                needs_list = needs_list or exc.status == HTTP_GONE
                self._listener.store_failed(self._kind, exc)
                await self._back_off(exc)

    async def _back_off(self, exc: StoreError) -> None:
        if exc.status == HTTP_GONE:
            return
        delay = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        # Spreads the calls of VMs that lost the store at the same time.
        await asyncio.sleep(delay * (1 + random.random()) / 2)  # noqa: S311

    async def _list(self, allow_stale: bool) -> None:
        objects: list[ObjectVersion] = []
        page = await _read_page(self._connection, self._kind, '', allow_stale)
        revision = page.revision
        skipped = page.skipped
        objects.extend(page.changes)
        while page.more and page.changes:
            last = page.changes[-1].name
            page = await _read_page(
                self._connection, self._kind, last, allow_stale
            )
            objects.extend(page.changes)
            skipped += page.skipped
            # Pages of a stale list may be of different revisions.
            revision = min(revision, page.revision)
        self._report_skipped(skipped)
        self._listener.merge_list(self._kind, objects, revision)

    async def _watch(self) -> None:
        since = self._listener.complete_revision(self._kind)
        query = urlencode(
            {'watch': since, 'wait_ms': int(WATCH_WAIT_S * 1000)},
        )
        body = await _read_body(
            self._connection,
            f'/objects/{quote(self._kind)}?{query}',
            WATCH_WAIT_S + WATCH_TIMEOUT_MARGIN_S,
        )
        with _reporting_malformed(self._connection):
            answer = decode_watch(body)
        self._report_skipped(answer.skipped)
        newest = {change.name: change for change in answer.changes}
        self._listener.merge_changes(
            self._kind, list(newest.values()), answer.revision
        )
        if newest:
            await asyncio.sleep(WATCH_PAUSE_S)

    def _report_skipped(self, count: int) -> None:
        if count:
            self._listener.objects_skipped(self._kind, count)


async def _read_page(
    connection: StoreConnection,
    kind: str,
    after: str,
    allow_stale: bool,
) -> ListAnswer:
    params = {'after': after} if after else {}
    if allow_stale:
        params['allow_stale'] = '1'
    query = f'?{urlencode(params)}' if params else ''
    body = await _read_body(
        connection, f'/objects/{quote(kind)}{query}', CALL_TIMEOUT_S
    )
    with _reporting_malformed(connection):
        return decode_list(body)


@contextmanager
def _reporting_malformed(connection: StoreConnection) -> Iterator[None]:
    """Turn the errors of decoding an answer into a `StoreError`.

    What else an answer holds is unknown then: the kind is listed again.
    """
    try:
        yield
    except (LookupError, TypeError, ValueError) as exc:
        connection.drop()
        raise StoreError(0, f'malformed answer: {exc!r}') from exc


async def _read_body(
    connection: StoreConnection,
    path: str,
    timeout: float,
) -> bytes:
    reply = await connection.call('GET', path, timeout=timeout)
    if reply.status != HTTP_OK:
        raise StoreError(reply.status, f'status {reply.status}')
    return reply.body


async def write_object(
    address: str,
    kind: str,
    name: str,
    spec: Mapping[str, Any],
    on_bytes: CountBytes = None,
) -> None:
    """Create or replace an object.

    Raises
    ------
    StoreError
        If the store did not confirm the write.
    """
    content = {'meta': {'name': name}, 'spec': spec}
    with _temporary_connection(address, on_bytes) as connection:
        reply = await connection.call('POST', f'/objects/{kind}', content)
        if reply.status == HTTP_CONFLICT:
            path = f'/objects/{kind}/{quote(name)}'
            await connection.call('PUT', path, content)


async def delete_object(
    address: str,
    kind: str,
    name: str,
    revision: int = 0,
    on_bytes: CountBytes = None,
) -> None:
    """Delete an object if it exists.

    Parameters
    ----------
    address, kind, name : str
        The store and the object.
    revision : int
        Delete the object only if it still has this revision; 0 for any.

    Raises
    ------
    StoreError
        If the store did not answer.
    """
    path = f'/objects/{kind}/{quote(name)}'
    if revision:
        path = f'{path}?revision={revision}'
    with _temporary_connection(address, on_bytes) as connection:
        await connection.call('DELETE', path)


async def list_objects(
    address: str, kind: str, after: str = '', on_bytes: CountBytes = None
) -> list[ObjectVersion]:
    """Return the objects of a kind, at most one page of them.

    Parameters
    ----------
    address, kind : str
        The store and the kind.
    after : str
        Return only objects whose names sort after this one.

    Raises
    ------
    StoreError
        If the store did not answer.
    """
    with _temporary_connection(address, on_bytes) as connection:
        page = await _read_page(connection, kind, after, allow_stale=True)
    return page.changes

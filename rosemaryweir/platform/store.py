"""The client of the platform's store: calls, lists and watches."""

import asyncio
import random
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Any, NamedTuple, Protocol
from urllib.parse import quote, urlencode

import msgspec

from rosemaryweir.catalog.table import ObjectVersion
from rosemaryweir.platform.decode import decode_object
from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel

__all__ = [
    'Follower',
    'StoreError',
    'StoreLink',
    'delete_own',
    'list_own',
    'write_own',
]

#: Time for a connection to the store, in seconds.
CONNECT_S = 0.8
#: Time for one call, in seconds: the store answers in milliseconds when it is
#: well, and in some hundreds when it is slow.
CALL_S = 1.5
#: Time that a watch waits for news, in seconds.  A connection that has gone
#: silent is noticed after this and `WATCH_MARGIN_S`, within the time in which
#: a change has to be in force.
WATCH_S = 2.0
WATCH_MARGIN_S = 0.5
#: Time after which a VM that doesn't follow looks whether it has to, in s.
ASIDE_S = 0.2
#: Least and longest time after the first list before a VM follows, in
#: seconds: by then it has heard of VMs that do.
SETTLE_S = (0.6, 1.8)
#: Pauses after failed calls, in seconds.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
HTTP_OK = 200
HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
_JSON = msgspec.json.Decoder()


class StoreError(Exception):
    """A call without an answer, or one that was refused.

    Parameters
    ----------
    status : int
        HTTP status; 0 when there was no answer.
    """

    def __init__(self, status: int, reason: str) -> None:
        self.status = status
        super().__init__(reason)


class StoreLink:
    """One connection to the store, opened when it is needed."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._channel: Channel | None = None
        self._reply: asyncio.Future[HttpReply] | None = None

    async def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        timeout: float = CALL_S,
    ) -> HttpReply:
        """Return the answer to a call.

        Raises
        ------
        StoreError
            If there is none within the time, or it refuses the call.
        """
        body = b'' if content is None else msgspec.json.encode(content)
        headers = (('content-type', 'application/json'),) if body else ()
        try:
            async with asyncio.timeout(timeout):
                channel = await self._open()
                self._reply = asyncio.get_running_loop().create_future()
                channel.send(method, path, headers, body)
                reply = await self._reply
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
        """Take the answer."""
        if self._reply is not None and not self._reply.done():
            self._reply.set_result(reply)
        if not channel.reusable:
            self._channel = None

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Take nothing: no call streams."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Take the end of the connection."""
        if channel is self._channel:
            self._channel = None
        if self._reply is not None and not self._reply.done():
            self._reply.set_exception(ConnectionError(reason))

    async def _open(self) -> Channel:
        if self._channel is None or not self._channel.open:
            self._channel = await open_channel(self._address, self, CONNECT_S)
        return self._channel


class _Page(NamedTuple):
    """A part of a list."""

    changes: list[ObjectVersion]
    revision: int
    more: bool


class Listener(Protocol):
    """Whoever follows a kind of object."""

    def listed(
        self, kind: str, objects: list[ObjectVersion], revision: int
    ) -> None:
        """Take all objects of a kind."""

    def changed(
        self, kind: str, changes: list[ObjectVersion], revision: int
    ) -> None:
        """Take what changed since."""

    def store_failed(self, kind: str, exc: StoreError) -> None:
        """Take that a call failed."""

    def known_up_to(self, kind: str) -> int:
        """Return the revision up to which all is known."""

    def should_follow(self, kind: str) -> bool:
        """Return whether this VM is to watch a kind itself."""


async def _settle() -> None:
    await asyncio.sleep(random.uniform(*SETTLE_S))  # noqa: S311


@contextmanager
def _one_link(address: str) -> Iterator[StoreLink]:
    link = StoreLink(address)
    try:
        yield link
    finally:
        link.drop()


class Follower:
    """Lists one kind of object, and watches it while this VM is to.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    kind : str
        Kind of the objects.
    listener : Listener
        Takes what is learnt.
    """

    def __init__(self, address: str, kind: str, listener: Listener) -> None:
        self._link = StoreLink(address)
        self._kind = kind
        self._listener = listener
        self._failures = 0

    async def run(self) -> None:
        """Follow until cancelled.

        The first list may be a stale one, at a tenth of the cost: what it
        lacks comes by the watch, or from VMs that follow.
        """
        fresh = True
        stale = True
        while True:
            try:
                if fresh or not self._listener.known_up_to(self._kind):
                    await self._list(stale)
                    fresh = False
                    if stale:
                        await _settle()
                    stale = False
                if self._listener.should_follow(self._kind):
                    await self._watch()
                else:
                    await asyncio.sleep(ASIDE_S)
                self._failures = 0
            except StoreError as exc:
                fresh = fresh or exc.status == HTTP_GONE
                self._listener.store_failed(self._kind, exc)
                await self._pause(exc)

    async def _pause(self, exc: StoreError) -> None:
        if exc.status == HTTP_GONE:
            return
        pause = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        # Spreads the calls of VMs that lost the store together.
        await asyncio.sleep(pause * (1 + random.random()) / 2)  # noqa: S311

    async def _list(self, stale: bool) -> None:
        objects: list[ObjectVersion] = []
        page = await _page(self._link, self._kind, '', stale)
        revision = page.revision
        objects.extend(page.changes)
        while page.more and page.changes:
            last = page.changes[-1].name
            page = await _page(self._link, self._kind, last, stale)
            objects.extend(page.changes)
            # Stale pages may be of different ages.
            revision = min(revision, page.revision)
        self._listener.listed(self._kind, objects, revision)

    async def _watch(self) -> None:
        since = self._listener.known_up_to(self._kind)
        query = urlencode(
            {'watch': since, 'wait_ms': int(WATCH_S * 1000)},
        )
        content = await _read(
            self._link,
            f'/objects/{quote(self._kind)}?{query}',
            WATCH_S + WATCH_MARGIN_S,
        )
        revision = int(content['as_of'])
        changes: dict[str, ObjectVersion] = {}
        for event in content['events']:
            name, at, spec = decode_object(event['object'])
            if event['deleted']:
                # An object that is gone at the end was gone by `as_of`,
                # whatever revision its last state had.
                changes[name] = ObjectVersion(name, max(at, revision))
            else:
                changes[name] = ObjectVersion(
                    name, at, {} if spec is None else spec
                )
        self._listener.changed(self._kind, list(changes.values()), revision)


async def _page(
    link: StoreLink,
    kind: str,
    after: str,
    stale: bool,
) -> _Page:
    asked = {'after': after} if after else {}
    if stale:
        asked['allow_stale'] = '1'
    query = f'?{urlencode(asked)}' if asked else ''
    content = await _read(link, f'/objects/{quote(kind)}{query}', CALL_S)
    changes = [
        ObjectVersion(name, revision, {} if spec is None else spec)
        for name, revision, spec in map(decode_object, content['items'])
    ]
    return _Page(changes, int(content['as_of']), bool(content['has_more']))


async def _read(
    link: StoreLink,
    path: str,
    timeout: float,
) -> Mapping[str, Any]:
    reply = await link.call('GET', path, timeout=timeout)
    if reply.status != HTTP_OK:
        raise StoreError(reply.status, f'status {reply.status}')
    try:
        return dict(_JSON.decode(reply.body))
    except (msgspec.DecodeError, ValueError, TypeError) as exc:
        link.drop()
        raise StoreError(0, f'unreadable answer: {exc}') from exc


async def write_own(
    address: str,
    kind: str,
    name: str,
    spec: Mapping[str, Any],
) -> None:
    """Create an object of ours, or replace it.

    Raises
    ------
    StoreError
        If the store did not confirm it.
    """
    content = {'meta': {'name': name}, 'spec': spec}
    with _one_link(address) as link:
        reply = await link.call('POST', f'/objects/{kind}', content)
        if reply.status == HTTP_CONFLICT:
            path = f'/objects/{kind}/{quote(name)}'
            await link.call('PUT', path, content)


async def delete_own(
    address: str,
    kind: str,
    name: str,
    revision: int = 0,
) -> None:
    """Remove an object of ours; it may be gone already.

    Parameters
    ----------
    address, kind, name : str
        The store and the object.
    revision : int
        Only as of this revision; an object that has changed since stays.

    Raises
    ------
    StoreError
        If the store did not answer.
    """
    path = f'/objects/{kind}/{quote(name)}'
    if revision:
        path = f'{path}?revision={revision}'
    with _one_link(address) as link:
        await link.call('DELETE', path)


async def list_own(
    address: str, kind: str, after: str = ''
) -> list[ObjectVersion]:
    """Return the objects of a kind of ours, at most one page of them.

    Parameters
    ----------
    address, kind : str
        The store and the kind.
    after : str
        Only names behind this one.

    Raises
    ------
    StoreError
        If the store did not answer.
    """
    with _one_link(address) as link:
        page = await _page(link, kind, after, stale=True)
    return page.changes

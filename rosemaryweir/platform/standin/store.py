"""Stand-in for the platform's store, with the platform's protocol."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from rosemaryweir.transport.exchange import Exchange
from rosemaryweir.transport.http_server import HttpServer

__all__ = ['StandInStore']

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_UNAVAILABLE = 503
#: Objects per page: few, so that lists have several pages.
PAGE_SIZE = 2
MS_PER_SECOND = 1000


class StandInStore:
    """In-memory store that can simulate faults.

    Attributes
    ----------
    mode : str
        ``good``; ``busy``: answers 503; ``silent``: answers nothing;
        ``forgetful``: answers 410 to every watch; ``unreadable``: answers
        malformed JSON.
    calls : list of (str, str)
        Method and path of each call.
    revision : int
        Revision of the newest change.
    objects : dict of (str, str) to dict
        Objects by kind and name.
    """

    def __init__(self) -> None:
        self.mode = 'good'
        self.calls: list[tuple[str, str]] = []
        self.revision = 5
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.http = HttpServer(self._handle)
        self._events: list[tuple[int, str, Mapping[str, Any]]] = []
        self._pending_watches: list[Callable[[], None]] = []
        self._faults: Mapping[str, Callable[[Exchange], None]] = {
            'silent': lambda exchange: None,
            'busy': lambda exchange: exchange.reply(HTTP_UNAVAILABLE, b''),
            'unreadable': lambda exchange: exchange.reply(
                HTTP_OK,
                b'{"items": 3',
            ),
        }

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object."""
        self.revision += 1
        item = {
            'meta': {'name': name, 'revision': self.revision},
            'spec': spec,
            'status': None,
        }
        self.objects[kind, name] = item
        self._publish(kind, item, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        item = self.objects.pop((kind, name))
        self.revision += 1
        self._publish(kind, item, deleted=True)

    def _publish(self, kind: str, item: Any, deleted: bool) -> None:
        event = {'object': item, 'deleted': deleted}
        self._events.append((self.revision, kind, event))
        waiting = self._pending_watches
        self._pending_watches = []
        for retry in waiting:
            retry()

    def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        self.calls.append((request.method, request.path))
        if self.mode in self._faults:
            self._faults[self.mode](exchange)
            return
        path, query = _path_and_query(exchange)
        kind, _, name = path.removeprefix('/objects/').partition('/')
        if request.method == 'GET' and 'watch' in query:
            self._watch(exchange, kind, query)
        elif request.method == 'GET':
            self._list(exchange, kind, query.get('after', ''))
        elif request.method == 'DELETE':
            self._delete(exchange, kind, name, query.get('revision'))
        else:
            self._write(exchange, kind, name)

    def _list(self, exchange: Exchange, kind: str, after: str) -> None:
        names = sorted(
            name
            for object_kind, name in self.objects
            if object_kind == kind and name > after
        )
        content = {
            'items': [self.objects[kind, name] for name in names[:PAGE_SIZE]],
            'has_more': len(names) > PAGE_SIZE,
            'as_of': self.revision,
        }
        exchange.reply_json(HTTP_OK, content)

    def _watch(
        self,
        exchange: Exchange,
        kind: str,
        query: Mapping[str, str],
    ) -> None:
        if self.mode == 'forgetful':
            exchange.reply(HTTP_GONE, b'')
            return
        since = int(query['watch'])
        events = [
            event
            for revision, changed, event in self._events
            if changed == kind and revision > since
        ]
        if events:
            self._reply_events(exchange, events)
            return

        def retry() -> None:
            if not exchange.done:
                self._watch(exchange, kind, query)

        self._pending_watches.append(retry)
        asyncio.get_running_loop().call_later(
            int(query['wait_ms']) / MS_PER_SECOND,
            self._reply_events,
            exchange,
            [],
        )

    def _reply_events(self, exchange: Exchange, events: list[Any]) -> None:
        content = {'events': events, 'as_of': self.revision}
        exchange.reply_json(HTTP_OK, content)

    def _write(self, exchange: Exchange, kind: str, name: str) -> None:
        content = msgspec.json.decode(exchange.request.body)
        name = name or content['meta']['name']
        existing = self.objects.get((kind, name))
        if exchange.request.method == 'POST' and existing is not None:
            exchange.reply_json(HTTP_CONFLICT, existing)
            return
        self.put(kind, name, content['spec'])
        exchange.reply_json(HTTP_OK, self.objects[kind, name])

    def _delete(
        self,
        exchange: Exchange,
        kind: str,
        name: str,
        revision: str | None,
    ) -> None:
        existing = self.objects.get((kind, name))
        if existing is None:
            exchange.reply_json(HTTP_NOT_FOUND, {})
        elif revision not in {None, str(existing['meta']['revision'])}:
            exchange.reply_json(HTTP_CONFLICT, existing)
        else:
            self.delete(kind, name)
            exchange.reply_json(HTTP_OK, {})


def _path_and_query(exchange: Exchange) -> tuple[str, dict[str, str]]:
    target = urlsplit(exchange.request.path)
    query = parse_qs(target.query)
    return target.path, {key: texts[0] for key, texts in query.items()}

"""A stand-in of the platform's store, over its published protocol."""

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
#: Objects of one page: small, so that lists have several pages.
PAGE = 2
MS_PER_SECOND = 1000


class StandInStore:
    """Objects by kind and name; misbehaves as its mode says.

    Attributes
    ----------
    mode : str
        ``good``, ``busy`` (503), ``silent``, ``forgetful`` (410 to every
        watch), ``unreadable``.
    calls : list of (str, str)
        Method and path of each call.
    objects : dict of (str, str) to dict
        Objects by kind and name.
    """

    def __init__(self) -> None:
        self.mode = 'good'
        self.calls: list[tuple[str, str]] = []
        self.revision = 5
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.http = HttpServer(self._take)
        self._events: list[tuple[int, str, Mapping[str, Any]]] = []
        self._waiting: list[Callable[[], None]] = []
        self._faults: Mapping[str, Callable[[Exchange], None]] = {
            'silent': lambda exchange: None,
            'busy': lambda exchange: exchange.reply(HTTP_UNAVAILABLE, b''),
            'unreadable': lambda exchange: exchange.reply(
                HTTP_OK,
                b'{"items": 3',
            ),
        }

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object."""
        self.revision += 1
        item = {
            'meta': {'name': name, 'revision': self.revision},
            'spec': spec,
            'status': None,
        }
        self.objects[kind, name] = item
        self._tell(kind, item, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name))
        self.revision += 1
        self._tell(kind, item, deleted=True)

    def _tell(self, kind: str, item: Any, deleted: bool) -> None:
        event = {'object': item, 'deleted': deleted}
        self._events.append((self.revision, kind, event))
        waiting = self._waiting
        self._waiting = []
        for again in waiting:
            again()

    def _take(self, exchange: Exchange) -> None:
        request = exchange.request
        self.calls.append((request.method, request.path))
        if self.mode in self._faults:
            self._faults[self.mode](exchange)
            return
        path, query = _parts(exchange)
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
            for found, name in self.objects
            if found == kind and name > after
        )
        content = {
            'items': [self.objects[kind, name] for name in names[:PAGE]],
            'has_more': len(names) > PAGE,
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
        found = [
            event
            for revision, changed, event in self._events
            if changed == kind and revision > since
        ]
        if found:
            self._reply_events(exchange, found)
            return

        def again() -> None:
            if not exchange.done:
                self._watch(exchange, kind, query)

        self._waiting.append(again)
        asyncio.get_running_loop().call_later(
            int(query['wait_ms']) / MS_PER_SECOND,
            self._reply_events,
            exchange,
            [],
        )

    def _reply_events(self, exchange: Exchange, found: list[Any]) -> None:
        content = {'events': found, 'as_of': self.revision}
        exchange.reply_json(HTTP_OK, content)

    def _write(self, exchange: Exchange, kind: str, name: str) -> None:
        content = msgspec.json.decode(exchange.request.body)
        name = name or content['meta']['name']
        known = self.objects.get((kind, name))
        if exchange.request.method == 'POST' and known is not None:
            exchange.reply_json(HTTP_CONFLICT, known)
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
        known = self.objects.get((kind, name))
        if known is None:
            exchange.reply_json(HTTP_NOT_FOUND, {})
        elif revision not in {None, str(known['meta']['revision'])}:
            exchange.reply_json(HTTP_CONFLICT, known)
        else:
            self.delete(kind, name)
            exchange.reply_json(HTTP_OK, {})


def _parts(exchange: Exchange) -> tuple[str, dict[str, str]]:
    target = urlsplit(exchange.request.path)
    query = parse_qs(target.query)
    return target.path, {key: texts[0] for key, texts in query.items()}

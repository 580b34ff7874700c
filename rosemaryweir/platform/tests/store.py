"""A stand-in of the platform's store, over its published protocol."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from rosemaryweir.transport.http_server import HttpServer


class FakeStore:
    """Objects by kind and name; misbehaves as its mode says.

    Modes: ``good``, ``busy`` (503), ``silent``, ``forgetful`` (410 to every
    watch), ``unreadable``.
    """

    def __init__(self):
        self.mode = 'good'
        self.calls = []
        self.revision = 5
        self.objects = {}
        self.events = []
        self.http = HttpServer(self._take)
        self._waiting = []

    def put(self, kind, name, spec):
        self.revision += 1
        item = {
            'meta': {'name': name, 'revision': self.revision},
            'spec': spec,
            'status': None,
        }
        self.objects[kind, name] = item
        self._tell(kind, item, False)

    def delete(self, kind, name):
        item = self.objects.pop((kind, name))
        self.revision += 1
        self._tell(kind, item, True)

    def _tell(self, kind, item, deleted):
        event = {'object': item, 'deleted': deleted}
        self.events.append((self.revision, kind, event))
        waiting = self._waiting
        self._waiting = []
        for again in waiting:
            again()

    def _take(self, exchange):
        request = exchange.request
        target = urlsplit(request.path)
        query = {key: text[0] for key, text in parse_qs(target.query).items()}
        self.calls.append((request.method, request.path))
        if self.mode == 'silent':
            return
        if self.mode == 'busy':
            exchange.reply(503, b'')
            return
        if self.mode == 'unreadable':
            exchange.reply(200, b'{"items": 3')
            return
        kind, _, name = target.path.removeprefix('/objects/').partition('/')
        if request.method == 'GET' and 'watch' in query:
            self._watch(exchange, kind, query)
        elif request.method == 'GET':
            self._list(exchange, kind, query)
        else:
            self._write(exchange, kind, name)

    def _list(self, exchange, kind, query):
        names = sorted(
            name
            for found, name in self.objects
            if found == kind and name > query.get('after', '')
        )
        items = [self.objects[kind, name] for name in names[:2]]
        exchange.reply_json(
            200,
            {
                'items': items,
                'has_more': len(names) > 2,
                'as_of': self.revision,
            },
        )

    def _watch(self, exchange, kind, query):
        since = int(query['watch'])
        if self.mode == 'forgetful':
            exchange.reply(410, b'')
            return
        events = [
            event
            for revision, found, event in self.events
            if found == kind and revision > since
        ]
        if events:
            content = {'events': events, 'as_of': self.revision}
            exchange.reply_json(200, content)
            return
        loop = asyncio.get_running_loop()

        def again():
            if not exchange.done:
                self._watch(exchange, kind, query)

        def late():
            content = {'events': [], 'as_of': self.revision}
            exchange.reply_json(200, content)

        self._waiting.append(again)
        loop.call_later(int(query['wait_ms']) / 1000, late)

    def _write(self, exchange, kind, name):
        method = exchange.request.method
        if method == 'DELETE':
            self._delete(exchange, kind, name)
            return
        content = json.loads(exchange.request.body)
        name = name or content['meta']['name']
        if method == 'POST' and (kind, name) in self.objects:
            exchange.reply_json(409, self.objects[kind, name])
            return
        self.put(kind, name, content['spec'])
        exchange.reply_json(200, self.objects[kind, name])

    def _delete(self, exchange, kind, name):
        query = parse_qs(urlsplit(exchange.request.path).query)
        item = self.objects.get((kind, name))
        if item is None:
            exchange.reply_json(404, {})
        elif query.get('revision', [str(item['meta']['revision'])])[0] != str(
            item['meta']['revision'],
        ):
            exchange.reply_json(409, item)
        else:
            self.delete(kind, name)
            exchange.reply_json(200, {})

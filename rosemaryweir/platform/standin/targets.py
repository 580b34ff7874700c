"""A stand-in of a target, over the platform's published protocol."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from rosemaryweir.platform import words
from rosemaryweir.transport.exchange import Exchange
from rosemaryweir.transport.http_server import HttpServer

__all__ = ['StandInTarget', 'registration']

HTTP_OK = 200
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
#: Size of a record.
RECORD_BYTES = 16


class StandInTarget:
    """Answers every request with one record, or as its mode says.

    Parameters
    ----------
    name : str
        Its incarnation.
    work : float
        Seconds that a request takes.

    Attributes
    ----------
    mode : str
        ``good``; ``cut``: it ends the connection; ``stray``: its reply names
        another request; ``full``: it turns requests away.
    seen : list of HttpRequest
        What came.
    runs : Counter of str
        How often it ran each request, by its id.
    """

    def __init__(self, name: str, work: float = 0) -> None:
        self.name = name
        self.mode = 'good'
        self.seen: list[Any] = []
        self.runs: Counter[str] = Counter()
        self.http = HttpServer(self._take)
        self._work = work
        self._modes: Mapping[str, Callable[[Exchange, str], None]] = {
            'good': self._run,
            'cut': lambda exchange, _: exchange.abort(),
            'stray': lambda exchange, _: self._run(exchange, 'other'),
            'full': self._turn_away,
        }

    def _take(self, exchange: Exchange) -> None:
        request = exchange.request
        self.seen.append(request)
        name = request.headers[words.REQUEST_ID]
        if request.headers[words.INCARNATION] == self.name:
            self._modes[self.mode](exchange, name)
        else:
            headers = [(words.REQUEST_ID, name)]
            exchange.reply(HTTP_MISDIRECTED, b'', headers)

    def _turn_away(self, exchange: Exchange, name: str) -> None:
        headers = [(words.REQUEST_ID, name), (words.NOT_RUN, '1')]
        exchange.reply(HTTP_UNAVAILABLE, b'', headers)

    def _run(self, exchange: Exchange, name: str) -> None:
        self.runs[name] += 1
        if self._work:
            loop = asyncio.get_running_loop()
            loop.call_later(self._work, self._reply, exchange, name)
        else:
            self._reply(exchange, name)

    def _reply(self, exchange: Exchange, name: str) -> None:
        asked = exchange.request.headers[words.REQUEST_ID]
        headers = [
            (words.REQUEST_ID, name),
            (words.SIGNATURE, f'{self.name}.{asked}'),
            ('keep-alive', 'timeout=5'),
        ]
        record = self.name.ljust(RECORD_BYTES).encode()
        exchange.reply(HTTP_OK, record, headers)


def registration(
    service: str,
    address: str,
    domain: str = 'd0',
    **changes: Any,
) -> dict[str, Any]:
    """Return the entry that a target writes of itself."""
    return {
        'service': service,
        'address': address,
        'zone': domain,
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'seq': 1,
        **changes,
    }

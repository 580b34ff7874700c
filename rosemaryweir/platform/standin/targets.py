"""Stand-in for a target, with the platform's protocol."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from rosemaryweir.platform import protocol
from rosemaryweir.transport.exchange import Exchange
from rosemaryweir.transport.http_server import HttpServer

__all__ = ['StandInTarget', 'build_registration']

HTTP_OK = 200
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
#: Size of a record in a reply.
RECORD_BYTES = 16


class StandInTarget:
    """Target that replies with one record, or simulates a fault.

    Parameters
    ----------
    name : str
        Incarnation of the target.
    work_time : float
        Time that a request takes, in seconds.

    Attributes
    ----------
    mode : str
        ``good``; ``cut``: closes the connection; ``stray``: replies with the
        id of another request; ``full``: refuses requests; ``silent``: never
        replies.
    notices : list of (str, str)
        Headers that are added to every reply.
    requests : list of HttpRequest
        Requests that arrived.
    runs : Counter of str
        Number of runs of each request, by its id.
    """

    def __init__(self, name: str, work_time: float = 0) -> None:
        self.name = name
        self.mode = 'good'
        self.notices: list[tuple[str, str]] = []
        self.requests: list[Any] = []
        self.runs: Counter[str] = Counter()
        self.http = HttpServer(self._handle)
        self._work_time = work_time
        self._modes: Mapping[str, Callable[[Exchange, str], None]] = {
            'good': self._run,
            'cut': lambda exchange, _: exchange.abort(),
            'stray': lambda exchange, _: self._run(exchange, 'other'),
            'full': self._refuse,
            'silent': lambda exchange, _: None,
        }

    def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        self.requests.append(request)
        request_id = request.headers[protocol.REQUEST_ID_HEADER]
        if request.headers[protocol.EXPECTED_INCARNATION_HEADER] == self.name:
            self._modes[self.mode](exchange, request_id)
        else:
            headers = [(protocol.REQUEST_ID_HEADER, request_id)]
            exchange.reply(HTTP_MISDIRECTED, b'', headers)

    def _refuse(self, exchange: Exchange, request_id: str) -> None:
        headers = [
            (protocol.REQUEST_ID_HEADER, request_id),
            (protocol.NOT_RUN_HEADER, '1'),
            *self.notices,
        ]
        exchange.reply(HTTP_UNAVAILABLE, b'', headers)

    def _run(self, exchange: Exchange, request_id: str) -> None:
        self.runs[request_id] += 1
        if self._work_time:
            loop = asyncio.get_running_loop()
            loop.call_later(self._work_time, self._reply, exchange, request_id)
        else:
            self._reply(exchange, request_id)

    def _reply(self, exchange: Exchange, request_id: str) -> None:
        received_id = exchange.request.headers[protocol.REQUEST_ID_HEADER]
        headers = [
            (protocol.REQUEST_ID_HEADER, request_id),
            (protocol.SIGNATURE_HEADER, f'{self.name}.{received_id}'),
            ('keep-alive', 'timeout=5'),
            *self.notices,
        ]
        record = self.name.ljust(RECORD_BYTES).encode()
        exchange.reply(HTTP_OK, record, headers)


def build_registration(
    service: str,
    address: str,
    domain: str = 'd0',
    **changes: Any,
) -> dict[str, Any]:
    """Return the object that a target registers in the store.

    Parameters
    ----------
    service, address, domain : str
        The service, ``ip:port`` and failure domain of the target.
    **changes : Any
        Other values of fields.
    """
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

"""Callers: requests in, answers out; directory and readiness."""

from collections.abc import Callable, Iterator
from itertools import count
from urllib.parse import parse_qs, urlsplit

from rosemaryweir.gateway.action import CallerResponse, InboundRequest
from rosemaryweir.platform import words
from rosemaryweir.platform.targets import passed_on
from rosemaryweir.transport.exchange import Exchange
from rosemaryweir.transport.http_server import HttpServer
from rosemaryweir.transport.limits import HttpLimits

__all__ = ['CallerFront', 'Directory', 'ready_handler']

MS_PER_SECOND = 1000
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
Header = tuple[str | bytes, str | bytes]


class CallerFront:
    """Serves callers on one address.

    Parameters
    ----------
    take : callable
        Takes each request.
    left : callable
        Takes the number of a request whose caller hung up.
    limits : HttpLimits
        What callers may cost until a configuration says so.
    """

    def __init__(
        self,
        take: Callable[[InboundRequest], None],
        left: Callable[[int], None],
        limits: HttpLimits,
    ) -> None:
        self.http = HttpServer(self._begin, limits)
        self._take = take
        self._left = left
        self._numbers = count(1)
        self._open: dict[int, Exchange] = {}

    def __len__(self) -> int:
        """Return the number of requests that wait for an answer."""
        return len(self._open)

    def answer(self, answer: CallerResponse) -> None:
        """Write an answer, if the caller still waits."""
        exchange = self._open.pop(answer.exchange_id, None)
        if exchange is not None:
            headers = list(_headers(answer))
            exchange.reply(answer.status, answer.body, headers)

    def _begin(self, exchange: Exchange) -> None:
        req = next(self._numbers)
        self._open[req] = exchange
        exchange.on_disconnect = lambda: self._gone(req)
        self._take(_decode(req, exchange))

    def _gone(self, req: int) -> None:
        if self._open.pop(req, None) is not None:
            self._left(req)


class Directory:
    """Tells callers which addresses to use.

    Parameters
    ----------
    addresses : callable
        Returns the addresses for a caller's failure domain.
    ttl : float
        Time that callers may keep an answer, in seconds.
    """

    def __init__(
        self,
        addresses: Callable[[str], list[str]],
        ttl: float,
    ) -> None:
        self.http = HttpServer(self._answer)
        self._addresses = addresses
        self._ttl = ttl

    def _answer(self, exchange: Exchange) -> None:
        target = urlsplit(exchange.request.path)
        if target.path != words.RESOLVE_PATH:
            exchange.refuse(HTTP_NOT_FOUND, 'unknown', target.path)
            return
        query = parse_qs(target.query)
        domain = query.get('zone', [''])[0]
        addresses = self._addresses(domain)
        if addresses:
            content = {'addrs': addresses, 'ttl_s': self._ttl}
            exchange.reply_json(HTTP_OK, content)
        else:
            detail = 'no VM is known to serve'
            exchange.refuse(HTTP_UNAVAILABLE, 'unavailable', detail)


def ready_handler(ready: Callable[[], bool]) -> Callable[[Exchange], None]:
    """Return a handler that tells whether this VM serves."""

    def handle(exchange: Exchange) -> None:
        known = exchange.request.path.partition('?')[0] == words.READY_PATH
        if not known:
            exchange.refuse(HTTP_NOT_FOUND, 'unknown', exchange.request.path)
            return
        status = HTTP_OK if ready() else HTTP_UNAVAILABLE
        exchange.reply(status, b'')

    return handle


def _decode(req: int, exchange: Exchange) -> InboundRequest:
    request = exchange.request
    left = request.headers.get(words.DEADLINE, '')
    return InboundRequest(
        exchange_id=req,
        request_id=request.headers.get(words.REQUEST_ID, ''),
        method=request.method,
        target=request.path,
        host=request.headers.get('host', ''),
        headers=tuple(passed_on(request.raw_headers)),
        body=request.body,
        time_left=int(left) / MS_PER_SECOND if left.isdigit() else None,
        first_on_connection=exchange.writer.request_count == 1,
    )


def _headers(answer: CallerResponse) -> Iterator[Header]:
    yield from passed_on(answer.headers)
    if answer.signatures is not None:
        yield words.PARTIALS, ', '.join(answer.signatures)
        yield words.MISSING, str(answer.missing_shards)
    if answer.retry_after is not None:
        yield words.RETRY_AFTER, f'{answer.retry_after:.3f}'

"""HTTP servers for callers: requests, directory and readiness."""

from collections.abc import Callable, Iterator, Mapping
from itertools import count
from urllib.parse import parse_qs, urlsplit

from rosemaryweir.gateway.action import CallerResponse, InboundRequest
from rosemaryweir.platform import protocol
from rosemaryweir.platform.target_connections import forwardable_headers
from rosemaryweir.transport.exchange import (
    Exchange,
    encode_json,
    refusal_body,
)
from rosemaryweir.transport.framing import parse_decimal
from rosemaryweir.transport.http_server import HttpServer
from rosemaryweir.transport.limits import HttpLimits

__all__ = ['CallerServer', 'DirectoryServer', 'make_readiness_handler']

MS_PER_SECOND = 1000
#: Characters of a malformed value that are quoted in a refusal.
MAX_QUOTED = 40
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
#: Own statuses from which on a request may have reached a target, but for 503.
FIRST_UNCERTAIN_STATUS = 500
#: Reasons of refusals in the product's error format, by status.
_REASONS: Mapping[int, str] = {
    400: 'malformed',
    404: 'unknown',
    502: 'failed',
    503: 'unavailable',
    504: 'deadline',
}
_JSON_HEADER = ('content-type', 'application/json')
Header = tuple[str | bytes, str | bytes]


class CallerServer:
    """Server of callers' requests.

    Parameters
    ----------
    on_request : callable
        Called with each request.
    on_disconnect : callable
        Called with the number of a request whose caller disconnected.
    limits : HttpLimits
        Limits until a configuration sets others.
    """

    def __init__(
        self,
        on_request: Callable[[InboundRequest], None],
        on_disconnect: Callable[[int], None],
        limits: HttpLimits,
    ) -> None:
        self.http = HttpServer(self._handle, limits)
        self._on_request = on_request
        self._on_disconnect = on_disconnect
        self._numbers = count(1)
        self._exchanges: dict[int, Exchange] = {}

    def __len__(self) -> int:
        """Return the number of unanswered requests."""
        return len(self._exchanges)

    def send_response(self, response: CallerResponse) -> None:
        """Send a response, unless the caller has disconnected."""
        exchange = self._exchanges.pop(response.exchange_id, None)
        if exchange is not None:
            headers = list(_response_headers(response))
            body = response.body
            if response.reason and not response.relayed:
                headers.append(_JSON_HEADER)
                body = encode_json(_failure_body(response))
            exchange.reply(response.status, body, headers)

    def _handle(self, exchange: Exchange) -> None:
        exchange_id = next(self._numbers)
        self._exchanges[exchange_id] = exchange
        exchange.on_disconnect = lambda: self._handle_disconnect(exchange_id)
        self._on_request(_decode_request(exchange_id, exchange))

    def _handle_disconnect(self, exchange_id: int) -> None:
        if self._exchanges.pop(exchange_id, None) is not None:
            self._on_disconnect(exchange_id)


class DirectoryServer:
    """Server of the addresses that callers are to use.

    Parameters
    ----------
    addresses : callable
        Returns the addresses for a caller's failure domain.
    ttl : float
        Time that callers may cache an answer, in seconds.
    """

    def __init__(
        self,
        addresses: Callable[[str], list[str]],
        ttl: float,
    ) -> None:
        self.http = HttpServer(self._handle)
        self._addresses = addresses
        self._ttl = ttl

    def _handle(self, exchange: Exchange) -> None:
        target = urlsplit(exchange.request.path)
        if target.path != protocol.RESOLVE_PATH:
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


def make_readiness_handler(
    ready: Callable[[], bool],
) -> Callable[[Exchange], None]:
    """Return a handler that answers whether this VM serves."""

    def handle(exchange: Exchange) -> None:
        path_matches = (
            exchange.request.path.partition('?')[0] == protocol.READY_PATH
        )
        if not path_matches:
            exchange.refuse(HTTP_NOT_FOUND, 'unknown', exchange.request.path)
            return
        status = HTTP_OK if ready() else HTTP_UNAVAILABLE
        exchange.reply(status, b'')

    return handle


def _decode_request(exchange_id: int, exchange: Exchange) -> InboundRequest:
    request = exchange.request
    left = request.headers.get(protocol.DEADLINE_HEADER)
    left_ms = None if left is None else parse_decimal(left)
    defect = ''
    if left is not None and left_ms is None:
        defect = (
            f'{protocol.DEADLINE_HEADER}: expected a number of '
            f'milliseconds, got {left[:MAX_QUOTED]!r}'
        )
    return InboundRequest(
        exchange_id=exchange_id,
        request_id=request.headers.get(protocol.REQUEST_ID_HEADER, ''),
        method=request.method,
        target=request.path,
        host=request.headers.get('host', ''),
        headers=tuple(forwardable_headers(request.raw_headers)),
        body=request.body,
        time_left=None if left_ms is None else left_ms / MS_PER_SECOND,
        first_on_connection=exchange.writer.request_count == 1,
        defect=defect,
    )


def _failure_body(response: CallerResponse) -> dict[str, str]:
    """Return the body of a failure that is not a target's reply."""
    status = response.status
    body = refusal_body(_REASONS.get(status, 'failed'), response.reason)
    may_have_run = (
        status >= FIRST_UNCERTAIN_STATUS and status != HTTP_UNAVAILABLE
    )
    return {**body, 'ran': 'unknown'} if may_have_run else body


def _response_headers(response: CallerResponse) -> Iterator[Header]:
    yield from forwardable_headers(response.headers)
    if response.signatures is not None:
        yield protocol.PARTIAL_SIGNATURES_HEADER, ', '.join(response.signatures)
        yield protocol.MISSING_COUNT_HEADER, str(response.missing_shards)
    if response.retry_after is not None:
        yield protocol.RETRY_AFTER_HEADER, f'{response.retry_after:.3f}'

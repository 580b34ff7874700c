"""The Caller port over HTTP: turns requests into events, sends replies."""

from collections.abc import Callable, Mapping
from itertools import count
from typing import Any

from returns.pipeline import is_successful

from rosemaryweir.node.action import ReplyCaller, StopListening
from rosemaryweir.node.event import CallerGone, CallerRequest, Event
from rosemaryweir.node.ports import Clock
from rosemaryweir.transport.exchange import Exchange
from rosemaryweir.transport.http_server import HttpServer
from rosemaryweir.transport.limits import KIB, HttpLimits
from rosemaryweir.transport.request_decoder import decode_request

__all__ = ['OPERATOR_LIMITS', 'CallerPort']

#: Operators send release notes, which are larger than requests of callers.
OPERATOR_LIMITS = HttpLimits(body_bytes=8 * KIB * KIB, read_seconds=30.0)
STATUS_TOPIC = 'status'
_LIMITS = {
    'entry_http': HttpLimits(),
    'leaf_http': HttpLimits(),
    'agent_http': OPERATOR_LIMITS,
}


class CallerPort:
    """Serves HTTP on one address and tracks the requests in flight.

    Parameters
    ----------
    server : str
        Name of the address in the settings: ``entry_http``, ``leaf_http`` or
        ``agent_http``.
    post : callable
        Called with each event.
    clock : Clock
        Source of the wall-clock time of arrival.

    Attributes
    ----------
    extra_status : callable
        Returns fields that the status page shows in addition to those of the
        node.
    """

    def __init__(
        self,
        server: str,
        post: Callable[[Event], None],
        clock: Clock,
    ) -> None:
        self._server_name = server
        self._post = post
        self._clock = clock
        self._req_ids = count(1)
        self._exchanges: dict[int, Exchange] = {}
        self._status_reqs: set[int] = set()
        self.extra_status: Callable[[], Mapping[str, Any]] = dict
        self.http = HttpServer(self._handle_exchange, _LIMITS[server])

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._exchanges)

    def reply(self, action: ReplyCaller) -> None:
        """Send the response to a request, unless its caller disconnected."""
        exchange = self._exchanges.pop(action.req, None)
        body = action.body
        if action.req in self._status_reqs:
            self._status_reqs.discard(action.req)
            body = {**body, **self.extra_status()}
        if exchange is not None:
            exchange.reply_json(action.status, body)

    def stop_listening(self, action: StopListening) -> None:
        """Accept no new connections; answer requests on open ones."""
        self.http.stop_listening()

    def _handle_exchange(self, exchange: Exchange) -> None:
        result = decode_request(self._server_name, exchange.request)
        if not is_successful(result):
            refused = result.failure()
            exchange.reply_json(refused.status, refused.body)
            return
        decoded = result.unwrap()
        req = next(self._req_ids)
        self._exchanges[req] = exchange
        if decoded.topic == STATUS_TOPIC:
            self._status_reqs.add(req)
        exchange.on_disconnect = lambda: self._disconnected(req, decoded.topic)
        now = self._clock.wall()
        self._post(CallerRequest(req, decoded.topic, decoded.body, now))

    def _disconnected(self, req: int, topic: str) -> None:
        self._status_reqs.discard(req)
        if self._exchanges.pop(req, None) is not None:
            self._post(CallerGone(req, topic))

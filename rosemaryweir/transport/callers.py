"""The callers' side: HTTP requests to events, replies to HTTP answers."""

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
from rosemaryweir.transport.request_decoder import decode

__all__ = ['OPERATOR_LIMITS', 'CallerPort']

#: Release notes are larger than questions.
OPERATOR_LIMITS = HttpLimits(body_bytes=8 * KIB * KIB, read_seconds=30.0)
STATUS_TOPIC = 'status'
_LIMITS = {
    'entry_http': HttpLimits(),
    'leaf_http': HttpLimits(),
    'agent_http': OPERATOR_LIMITS,
}


class CallerPort:
    """Serves HTTP on one address and keeps the requests in flight.

    Parameters
    ----------
    server : str
        Name of the address in the settings: ``entry_http``, ``leaf_http`` or
        ``agent_http``.
    post : callable
        Takes each event.
    clock : Clock
        Gives the wall-clock time of arrival.

    Attributes
    ----------
    extra_status : callable
        Returns what the status page shows beside the node's own.
    """

    def __init__(
        self,
        server: str,
        post: Callable[[Event], None],
        clock: Clock,
    ) -> None:
        self._name = server
        self._post = post
        self._clock = clock
        self._numbers = count(1)
        self._waiting: dict[int, Exchange] = {}
        self._status_reqs: set[int] = set()
        self.extra_status: Callable[[], Mapping[str, Any]] = dict
        self.http = HttpServer(self._take, _LIMITS[server])

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._waiting)

    def reply(self, action: ReplyCaller) -> None:
        """Answer a request, if its caller still waits."""
        exchange = self._waiting.pop(action.req, None)
        body = action.body
        if action.req in self._status_reqs:
            self._status_reqs.discard(action.req)
            body = {**body, **self.extra_status()}
        if exchange is not None:
            exchange.reply_json(action.status, body)

    def stop_listening(self, action: StopListening) -> None:
        """Take no new connections; answer on those that are open."""
        self.http.stop_listening()

    def _take(self, exchange: Exchange) -> None:
        outcome = decode(self._name, exchange.request)
        if not is_successful(outcome):
            refused = outcome.failure()
            exchange.reply_json(refused.status, refused.body)
            return
        decoded = outcome.unwrap()
        req = next(self._numbers)
        self._waiting[req] = exchange
        if decoded.topic == STATUS_TOPIC:
            self._status_reqs.add(req)
        exchange.on_disconnect = lambda: self._gone(req, decoded.topic)
        wall = self._clock.wall()
        self._post(CallerRequest(req, decoded.topic, decoded.body, wall))

    def _gone(self, req: int, topic: str) -> None:
        self._status_reqs.discard(req)
        if self._waiting.pop(req, None) is not None:
            self._post(CallerGone(req, topic))

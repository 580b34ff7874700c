"""Serves one stand-in target over HTTP, with faults."""

import asyncio
import json
import math
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from rosemaryweir.schema.check import findings
from rosemaryweir.schema.generated.target import (
    HealthReport,
    LoadReport,
    TargetAnswer,
    TargetFault,
)
from rosemaryweir.standin.target_model import (
    DEFAULT_RESTART_S,
    MS_PER_SECOND,
    TargetModel,
)
from rosemaryweir.transport.exchange import (
    Exchange,
    ResponseWriter,
    encode_json,
)
from rosemaryweir.transport.http_server import HttpServer, ServerConnection
from rosemaryweir.transport.limits import HttpLimits

__all__ = ['TargetServer']

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
_STATUSES = {
    'ok': HTTP_OK,
    'wrong_version': 409,
    'cancelled': 499,
    'failed': 500,
    'shed': 503,
    'draining': 503,
}
_WORK_SCHEMAS = {'/v1/search': 'SearchRequest', '/v1/orders': 'OrderRun'}
_LIMITS = HttpLimits(read_seconds=30, idle_seconds=600)
#: A complete response to no request, for the fault ``unasked``.
_UNREQUESTED_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nx-attempt: unasked\r\ncontent-length: 2\r\n\r\n{}'
)


class _RunningRequest(NamedTuple):
    """A request that runs in a slot, with its answer and timer."""

    exchange: Exchange
    attempt: str
    answer: TargetAnswer
    timer: asyncio.TimerHandle


class _Listener(HttpServer):
    """Listens for a target; aborts connections while it is down."""

    def __init__(self, target: 'TargetServer') -> None:
        super().__init__(target.handle_request, _LIMITS)
        self._target = target

    def admit(self, conn: ServerConnection) -> bool:
        """Admit a connection, but abort it while the target is down."""
        if self._target.is_down():
            conn.transport.abort()
        return super().admit(conn)

    def forget(self, conn: ServerConnection) -> None:
        """Forget a closed connection, here and in the target."""
        super().forget(conn)
        self._target.forget(conn)


class TargetServer:
    """Serves one `TargetModel` over HTTP.

    Parameters
    ----------
    model : TargetModel
        Model of the target.
    order_runs : Counter
        Number of runs of each order, over all targets of the process.
    admin : callable
        Called as ``(server, exchange)`` for requests to ``/admin/`` paths.
    """

    def __init__(
        self,
        model: TargetModel,
        order_runs: Counter[str],
        admin: Callable[['TargetServer', Exchange], None],
    ) -> None:
        self.model = model
        self._order_runs = order_runs
        self._handle_admin = admin
        self._running: dict[int, _RunningRequest] = {}
        self._work_conns: set[ResponseWriter] = set()
        self._silent_conns: set[ResponseWriter] = set()
        self._setup_free_at = 0.0
        self.http = _Listener(self)

    def is_down(self) -> bool:
        """Return whether the target accepts no connections now."""
        return self.model.is_down(_now())

    def forget(self, conn: ResponseWriter) -> None:
        """Remove a closed connection from the sets of connections."""
        self._work_conns.discard(conn)
        self._silent_conns.discard(conn)

    def apply(self, fault: TargetFault) -> None:
        """Apply a fault."""
        now = _now()
        amount = fault.get('amount', DEFAULT_RESTART_S)
        if fault['kind'] == 'silent':
            self._silence_connections(fault.get('share', 1.0))
        elif fault['kind'] in {'restart', 'down'}:
            seconds = fault.get('seconds', amount)
            self.model.restart(now, seconds)
            self._drop_all()
        else:
            self.model.apply(fault, now)

    def handle_request(self, exchange: Exchange) -> None:
        """Handle a request of any path."""
        path = exchange.request.path
        schema = _WORK_SCHEMAS.get(path, '')
        if schema:
            self._handle_work(exchange, schema)
        elif path.startswith('/admin/'):
            self._handle_admin(self, exchange)
        elif path == '/v1/cancel':
            self._cancel(exchange)
        elif path in {'/v1/health', '/v1/load'}:
            self._handle_health(exchange)
        else:
            exchange.refuse(HTTP_NOT_FOUND, 'unknown_path', path)

    def _handle_work(self, exchange: Exchange, schema: str) -> None:
        content = _parse_body(f'target/{schema}', exchange.request.body)
        if content is None or 'x-attempt' not in exchange.request.headers:
            exchange.refuse(HTTP_BAD_REQUEST, 'malformed', schema)
            return
        if exchange.writer in self._silent_conns:
            return
        if exchange.writer in self._work_conns:
            self._start(exchange, content)
        else:
            self._set_up_connection(exchange, content)

    def _set_up_connection(
        self, exchange: Exchange, content: dict[str, Any]
    ) -> None:
        stats = self.model.stats
        stats['connects'] += 1
        if len(self._work_conns) >= self.model.service_config['connections']:
            stats['refused_connections'] += 1
            exchange.abort()
            return
        self._work_conns.add(exchange.writer)
        load = len(self._work_conns)
        stats['peak_connections'] = max(stats['peak_connections'], load)
        # The target sets up new connections one after the other.
        cost = self.model.service_config['connect_ms'] / MS_PER_SECOND
        self._setup_free_at = max(self._setup_free_at, _now()) + cost
        loop = asyncio.get_running_loop()
        loop.call_at(self._setup_free_at, self._start, exchange, content)

    def _start(self, exchange: Exchange, content: dict[str, Any]) -> None:
        if exchange.done:
            return
        now = _now()
        is_order = 'order_key' in content
        if is_order:
            decision = self.model.begin_order(now)
        else:
            decision = self.model.begin_search(
                content['layout'],
                content['version'],
                now,
            )
        answer = self._build_answer(decision.status, content)
        if decision.status != 'ok':
            self._reply(exchange, answer)
            return
        if is_order:
            self._order_runs[content['order_key']] += 1
        self._run(exchange, answer, decision.duration, is_order)

    def _run(
        self,
        exchange: Exchange,
        answer: TargetAnswer,
        duration: float,
        is_order: bool,
    ) -> None:
        slot = self.model.acquire_slot(_now())
        left = exchange.request.headers.get('x-deadline-ms', '')
        seconds = int(left) / MS_PER_SECOND if left.isdigit() else duration
        if seconds < duration and not is_order:
            answer['status'] = 'cancelled'
            duration = seconds
        loop = asyncio.get_running_loop()
        timer = loop.call_later(duration, self._finish, slot)
        attempt = exchange.request.headers['x-attempt']
        self._running[slot] = _RunningRequest(exchange, attempt, answer, timer)
        if not is_order:
            exchange.on_disconnect = lambda: self._drop_run(slot)
        if self.model.is_overloaded():
            self.model.collapse(_now())
            self._drop_all()

    def _finish(self, slot: int) -> None:
        run = self._running.pop(slot, None)
        if run is not None and self.model.finish(slot, _now()):
            self._reply(run.exchange, run.answer)

    def _drop_run(self, slot: int) -> None:
        run = self._running.pop(slot, None)
        if run is not None:
            run.timer.cancel()
            self.model.finish(slot, _now(), served=False)

    def _cancel(self, exchange: Exchange) -> None:
        content = _parse_body('target/CancelRequest', exchange.request.body)
        attempt = content['attempt'] if content else ''
        running = [
            (slot, run)
            for slot, run in self._running.items()
            if run.attempt == attempt and 'reply' not in run.answer
        ]
        for slot, run in running:
            self.model.stats['cancelled'] += 1
            self._drop_run(slot)
            run.answer['status'] = 'cancelled'
            self._reply(run.exchange, run.answer)
        exchange.reply_json(HTTP_OK, {'cancelled': len(running)})

    def _handle_health(self, exchange: Exchange) -> None:
        sample = self.model.lagging_health(_now())
        if exchange.request.path == '/v1/load':
            exchange.reply_json(HTTP_OK, LoadReport(load=sample.load))
            return
        health = HealthReport(
            state=sample.state,  # type: ignore[typeddict-item]
            incarnation=sample.incarnation,
        )
        exchange.reply_json(HTTP_OK, health)

    def _build_answer(
        self, status: str, content: dict[str, Any]
    ) -> TargetAnswer:
        model = self.model
        answer = TargetAnswer(
            status=status,  # type: ignore[typeddict-item]
            incarnation=model.incarnation,
            layout=model.layouts[-1],
            version=model.versions[-1],
        )
        if status != 'ok':
            return answer
        order_key = content.get('order_key')
        if order_key is not None:
            answer['reply'] = f'{model.name} ran {order_key}'
            return answer
        answer['layout'] = content['layout'] or model.layouts[-1]
        answer['version'] = content['version'] or model.versions[-1]
        shard = content['shard']
        text = content['text']
        key = f'{shard}/{text}'
        answer['rows'] = [[key, f'{text} in {shard} at {answer["version"]}']]
        return answer

    def _reply(self, exchange: Exchange, answer: TargetAnswer) -> None:
        now = _now()
        echo = exchange.request.headers['x-attempt']
        if self.model.fault_applies('wrong_echo', now):
            echo = self._other_attempt(echo)
        if self.model.fault_applies('cut', now) and not exchange.done:
            _send_truncated(exchange, echo, answer)
            return
        headers = (('x-attempt', echo),)
        exchange.reply_json(_STATUSES[answer['status']], answer, headers)
        if self.model.fault_applies('unasked', now):
            exchange.writer.transport.write(_UNREQUESTED_RESPONSE)

    def _other_attempt(self, attempt: str) -> str:
        others = (run.attempt for run in self._running.values())
        return next(
            (other for other in others if other != attempt),
            f'{attempt}-other',
        )

    def _silence_connections(self, share: float) -> None:
        conns = [
            conn for conn in self._work_conns if conn not in self._silent_conns
        ]
        self._silent_conns.update(conns[: math.ceil(len(conns) * share)])

    def _drop_all(self) -> None:
        for run in self._running.values():
            run.timer.cancel()
        self._running.clear()
        self.http.abort_all()


def _now() -> float:
    return asyncio.get_running_loop().time()


def _parse_body(schema: str, body: bytes) -> dict[str, Any] | None:
    try:
        content: dict[str, Any] = json.loads(body)
    except ValueError:
        return None
    return None if findings(schema, content) else content


def _send_truncated(
    exchange: Exchange, echo: str, answer: TargetAnswer
) -> None:
    body = encode_json(answer)
    head = f'HTTP/1.1 200 OK\r\nx-attempt: {echo}\r\n'
    length = f'content-length: {len(body)}\r\n\r\n'
    exchange.done = True
    transport = exchange.writer.transport
    transport.write(f'{head}{length}'.encode())
    transport.write(body[: len(body) // 2])
    transport.close()

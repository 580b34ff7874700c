"""One stand-in target on its own loopback address."""

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
from rosemaryweir.standin.target import (
    MS_PER_SECOND,
    RESTART_SECONDS,
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
_WORK = {'/v1/search': 'SearchRequest', '/v1/orders': 'OrderRun'}
_LIMITS = HttpLimits(read_seconds=30, idle_seconds=600)
#: A whole answer that nobody asked for.
_UNASKED = (
    b'HTTP/1.1 200 OK\r\nx-attempt: unasked\r\ncontent-length: 2\r\n\r\n{}'
)


class _Job(NamedTuple):
    """A request that holds a slot."""

    exchange: Exchange
    attempt: str
    answer: TargetAnswer
    timer: asyncio.TimerHandle


class _Listener(HttpServer):
    """Refuses connections while the target is down."""

    def __init__(self, target: 'TargetServer') -> None:
        super().__init__(target.take, _LIMITS)
        self._target = target

    def admit(self, conn: ServerConnection) -> bool:
        """Count a connection; drop it while the target is down."""
        if self._target.is_down():
            conn.transport.abort()
        return super().admit(conn)

    def forget(self, conn: ServerConnection) -> None:
        """Drop a closed connection."""
        super().forget(conn)
        self._target.forget(conn)


class TargetServer:
    """Serves a `TargetModel` over HTTP.

    Parameters
    ----------
    model : TargetModel
        The target.
    order_runs : Counter
        How often each order ran, over all targets of the process.
    admin : callable
        Takes the exchanges on ``/admin/`` paths.
    """

    def __init__(
        self,
        model: TargetModel,
        order_runs: Counter[str],
        admin: Callable[['TargetServer', Exchange], None],
    ) -> None:
        self.model = model
        self._order_runs = order_runs
        self._admin = admin
        self._jobs: dict[int, _Job] = {}
        self._work: set[ResponseWriter] = set()
        self._silent: set[ResponseWriter] = set()
        self._gate_free = 0.0
        self.http = _Listener(self)

    def is_down(self) -> bool:
        """Return whether the target takes no connection now."""
        return self.model.down(_now())

    def forget(self, conn: ResponseWriter) -> None:
        """Note that a connection closed."""
        self._work.discard(conn)
        self._silent.discard(conn)

    def apply(self, fault: TargetFault) -> None:
        """Put a fault in force."""
        now = _now()
        amount = fault.get('amount', RESTART_SECONDS)
        if fault['kind'] == 'silent':
            self._silence(fault.get('share', 1.0))
        elif fault['kind'] in {'restart', 'down'}:
            seconds = fault.get('seconds', amount)
            self.model.restart(now, seconds)
            self._drop_all()
        else:
            self.model.apply(fault, now)

    def take(self, exchange: Exchange) -> None:
        """Take a request."""
        path = exchange.request.path
        schema = _WORK.get(path, '')
        if schema:
            self._take_work(exchange, schema)
        elif path.startswith('/admin/'):
            self._admin(self, exchange)
        elif path == '/v1/cancel':
            self._cancel(exchange)
        elif path in {'/v1/health', '/v1/load'}:
            self._report(exchange)
        else:
            exchange.refuse(HTTP_NOT_FOUND, 'unknown_path', path)

    def _take_work(self, exchange: Exchange, schema: str) -> None:
        content = _content(f'target/{schema}', exchange.request.body)
        if content is None or 'x-attempt' not in exchange.request.headers:
            exchange.refuse(HTTP_BAD_REQUEST, 'malformed', schema)
            return
        if exchange.writer in self._silent:
            return
        if exchange.writer in self._work:
            self._start(exchange, content)
        else:
            self._first_work(exchange, content)

    def _first_work(self, exchange: Exchange, content: dict[str, Any]) -> None:
        stats = self.model.stats
        stats['connects'] += 1
        if len(self._work) >= self.model.policy['connections']:
            stats['refused_connections'] += 1
            exchange.abort()
            return
        self._work.add(exchange.writer)
        load = len(self._work)
        stats['peak_connections'] = max(stats['peak_connections'], load)
        # New connections are set up one after the other.
        cost = self.model.policy['connect_ms'] / MS_PER_SECOND
        self._gate_free = max(self._gate_free, _now()) + cost
        loop = asyncio.get_running_loop()
        loop.call_at(self._gate_free, self._start, exchange, content)

    def _start(self, exchange: Exchange, content: dict[str, Any]) -> None:
        if exchange.done:
            return
        now = _now()
        is_order = 'order_key' in content
        if is_order:
            admission = self.model.begin_order(now)
        else:
            admission = self.model.begin_search(
                content['layout'],
                content['version'],
                now,
            )
        answer = self._answer(admission.status, content)
        if admission.status != 'ok':
            self._reply(exchange, answer)
            return
        if is_order:
            self._order_runs[content['order_key']] += 1
        self._run(exchange, answer, admission.took, is_order)

    def _run(
        self,
        exchange: Exchange,
        answer: TargetAnswer,
        took: float,
        is_order: bool,
    ) -> None:
        number = self.model.hold(_now())
        left = exchange.request.headers.get('x-deadline-ms', '')
        seconds = int(left) / MS_PER_SECOND if left.isdigit() else took
        if seconds < took and not is_order:
            answer['status'] = 'cancelled'
            took = seconds
        loop = asyncio.get_running_loop()
        timer = loop.call_later(took, self._finish, number)
        attempt = exchange.request.headers['x-attempt']
        self._jobs[number] = _Job(exchange, attempt, answer, timer)
        if not is_order:
            exchange.on_disconnect = lambda: self._abandon(number)
        if self.model.overwhelmed():
            self.model.collapse(_now())
            self._drop_all()

    def _finish(self, number: int) -> None:
        job = self._jobs.pop(number, None)
        if job is not None and self.model.finish(number, _now()):
            self._reply(job.exchange, job.answer)

    def _abandon(self, number: int) -> None:
        job = self._jobs.pop(number, None)
        if job is not None:
            job.timer.cancel()
            self.model.finish(number, _now(), served=False)

    def _cancel(self, exchange: Exchange) -> None:
        content = _content('target/CancelRequest', exchange.request.body)
        attempt = content['attempt'] if content else ''
        running = [
            (number, job)
            for number, job in self._jobs.items()
            if job.attempt == attempt and 'reply' not in job.answer
        ]
        for number, job in running:
            self.model.stats['cancelled'] += 1
            self._abandon(number)
            job.answer['status'] = 'cancelled'
            self._reply(job.exchange, job.answer)
        exchange.reply_json(HTTP_OK, {'cancelled': len(running)})

    def _report(self, exchange: Exchange) -> None:
        report = self.model.report(_now())
        if exchange.request.path == '/v1/load':
            exchange.reply_json(HTTP_OK, LoadReport(load=report.load))
            return
        health = HealthReport(
            state=report.state,  # type: ignore[typeddict-item]
            incarnation=report.incarnation,
        )
        exchange.reply_json(HTTP_OK, health)

    def _answer(self, status: str, content: dict[str, Any]) -> TargetAnswer:
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
        if self.model.struck('wrong_echo', now):
            echo = self._other_attempt(echo)
        if self.model.struck('cut', now) and not exchange.done:
            _cut(exchange, echo, answer)
            return
        headers = (('x-attempt', echo),)
        exchange.reply_json(_STATUSES[answer['status']], answer, headers)
        if self.model.struck('unasked', now):
            exchange.writer.transport.write(_UNASKED)

    def _other_attempt(self, attempt: str) -> str:
        others = (job.attempt for job in self._jobs.values())
        return next(
            (other for other in others if other != attempt),
            f'{attempt}-other',
        )

    def _silence(self, share: float) -> None:
        conns = [conn for conn in self._work if conn not in self._silent]
        self._silent.update(conns[: math.ceil(len(conns) * share)])

    def _drop_all(self) -> None:
        for job in self._jobs.values():
            job.timer.cancel()
        self._jobs.clear()
        self.http.abort_all()


def _now() -> float:
    return asyncio.get_running_loop().time()


def _content(schema: str, body: bytes) -> dict[str, Any] | None:
    try:
        content: dict[str, Any] = json.loads(body)
    except ValueError:
        return None
    return None if findings(schema, content) else content


def _cut(exchange: Exchange, echo: str, answer: TargetAnswer) -> None:
    body = encode_json(answer)
    head = f'HTTP/1.1 200 OK\r\nx-attempt: {echo}\r\n'
    length = f'content-length: {len(body)}\r\n\r\n'
    exchange.done = True
    transport = exchange.writer.transport
    transport.write(f'{head}{length}'.encode())
    transport.write(body[: len(body) // 2])
    transport.close()

"""Simulates targets in virtual time, with faults and a log of runs."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from rosemaryweir.node.action import SendTarget
from rosemaryweir.node.event import ConnectionClosed, Event, TargetReply
from rosemaryweir.testing.scheduler import Scheduler

__all__ = ['FakeTarget', 'Run', 'TargetSpec', 'exponential', 'steady']

#: Delay of the right reply after a crossed reply (of another attempt).
CROSSED_REPLY_DELAY_S = 0.02

Deliver = Callable[[Event], None]
ServiceTime = Callable[[Random], float]


class TargetSpec(NamedTuple):
    """Capacity and timing of a target; times in seconds."""

    slots: int
    connections: int
    connect_time: float
    cold_slots: int
    warm_after: int
    service_time: ServiceTime


class Run(NamedTuple):
    """An attempt that a target started to run.

    ``subject`` is the order key of an order, or the shard of a query.
    """

    when: float
    attempt: str
    work: str
    subject: str
    client: str


class RunningAttempt(NamedTuple):
    """An attempt that a target is running."""

    conn: tuple[str, int]
    action: SendTarget
    client: str
    deliver: Deliver


def steady(seconds: float) -> ServiceTime:
    """Return a function that always gives the same service time."""
    return lambda rng: seconds


def exponential(median: float) -> ServiceTime:
    """Return a function that draws shifted exponential service times.

    Their median is about ``median``, their minimum half of it.
    """
    return lambda rng: median * (0.5 + rng.expovariate(1.0) * 0.72)


class FakeTarget:
    """Simulates a target with limited slots and connections.

    While cold, it collapses (restarts after 3 s) when it runs more than
    ``spec.cold_slots`` attempts at once; it is warm after it has served
    ``spec.warm_after`` attempts.

    Attributes
    ----------
    factor : float
        Multiplier of service times: above 1 for a straggler.
    up, draining, shedding : bool
        Whether it accepts connections; refuses new attempts because it is
        about to stop; sheds every attempt.
    cold : bool
        Whether ``spec.cold_slots`` applies.
    served : int
        Number of attempts finished since it became cold.
    versions : tuple of int
        Index versions that it can serve, newest last.
    silent : set
        Connections on which it ignores requests and sends no replies.
    reply_fault : str
        Fault of the next reply: ``crossed`` (the reply of another attempt
        comes first, the right one later), ``cut`` (the connection closes
        within the reply) or empty.
    runs : list of Run
        All attempts that it started.
    peak, cold_peak : int
        Largest number of attempts at once without those that made it
        collapse, and while cold with them.
    collapses : int
        Number of collapses.
    """

    def __init__(
        self,
        name: str,
        spec: TargetSpec,
        scheduler: Scheduler,
        rng: Random,
    ) -> None:
        self.name = name
        self.spec = spec
        self.scheduler = scheduler
        self.rng = rng
        self.factor = 1.0
        self.up = True
        self.draining = False
        self.shedding = False
        self.cold = True
        self.served = 0
        self.incarnation = 1
        self.layout = 1
        self.versions: tuple[int, ...] = (1,)
        self.silent: set[tuple[str, int]] = set()
        self.reply_fault = ''
        self.runs: list[Run] = []
        self.peak = 0
        self.cold_peak = 0
        self.collapses = 0
        self.connections: dict[tuple[str, int], Deliver] = {}
        self.connection_peak = 0
        self.running: dict[str, RunningAttempt] = {}

    def open(self, conn: tuple[str, int], deliver: Deliver) -> str:
        """Accept a connection; return why not, or an empty string."""
        if not self.up:
            return 'refused'
        if len(self.connections) >= self.spec.connections:
            return 'too many connections'
        self.connections[conn] = deliver
        self.connection_peak = max(self.connection_peak, len(self.connections))
        return ''

    def hang_up(self, conn: tuple[str, int]) -> None:
        """Close a connection as the client; running attempts continue."""
        self.connections.pop(conn, None)
        self.silent.discard(conn)

    def receive(
        self,
        conn: tuple[str, int],
        client: str,
        action: SendTarget,
        remaining: float,
    ) -> None:
        """Handle a request with ``remaining`` seconds to its deadline."""
        deliver = self.connections.get(conn)
        if deliver is None or conn in self.silent:
            return
        refusal = self._refusal(action, remaining)
        if refusal:
            self._send_reply(conn, action, deliver, refusal)
            return
        self._start(RunningAttempt(conn, action, client, deliver), remaining)

    def cancel(self, attempt: str) -> None:
        """Cancel a running attempt and reply ``cancelled``."""
        running_attempt = self.running.pop(attempt, None)
        if running_attempt is not None:
            self._send_reply(
                running_attempt.conn,
                running_attempt.action,
                running_attempt.deliver,
                'cancelled',
            )

    def stop(self) -> None:
        """Stop: connections close, running attempts are lost."""
        self.up = False
        self.running.clear()
        for (_, number), deliver in tuple(self.connections.items()):
            event = ConnectionClosed(number, self.name, 'reset', False)
            self.scheduler.after(0.001, deliver, event)
        self.connections.clear()
        self.silent.clear()

    def start(self) -> None:
        """Start cold, as a new incarnation."""
        self.up = True
        self.draining = False
        self.incarnation += 1
        self.make_cold()

    def make_cold(self) -> None:
        """Become cold again without a new incarnation."""
        self.cold = True
        self.served = 0

    def _refusal(self, action: SendTarget, remaining: float) -> str:
        if self.draining:
            return 'draining'
        is_full = len(self.running) >= self.spec.slots
        if self.shedding or is_full or remaining <= 0:
            return 'shed'
        if action.work == 'query' and not self._can_serve(action):
            return 'wrong_version'
        return ''

    def _can_serve(self, action: SendTarget) -> bool:
        requested = action.body['version']
        version_matches = requested == 0 or requested in self.versions
        return version_matches and action.body['layout'] in {0, self.layout}

    def _start(self, running_attempt: RunningAttempt, remaining: float) -> None:
        attempt = running_attempt.action.attempt
        subject = (
            running_attempt.action.body.get('order_key')
            or running_attempt.action.body['shard']
        )
        self.runs.append(
            Run(
                self.scheduler.now,
                attempt,
                running_attempt.action.work,
                subject,
                running_attempt.client,
            ),
        )
        self.running[attempt] = running_attempt
        count = len(self.running)
        if self.cold:
            self.cold_peak = max(self.cold_peak, count)
            if count > self.spec.cold_slots:
                self._collapse()
                return
        self.peak = max(self.peak, count)
        duration = self.spec.service_time(self.rng) * self.factor
        if self.cold:
            duration *= 3
        if duration > remaining and running_attempt.action.work == 'query':
            self.scheduler.after(remaining, self._expire, attempt)
        else:
            self.scheduler.after(
                duration, self._finish, attempt, running_attempt
            )

    def _collapse(self) -> None:
        self.collapses += 1
        self.stop()
        self.scheduler.after(3.0, self.start)

    def _expire(self, attempt: str) -> None:
        running_attempt = self.running.pop(attempt, None)
        if running_attempt is not None:
            self._send_reply(
                running_attempt.conn,
                running_attempt.action,
                running_attempt.deliver,
                'cancelled',
            )

    def _finish(self, attempt: str, running_attempt: RunningAttempt) -> None:
        if self.running.get(attempt) is not running_attempt:
            return
        self.running.pop(attempt)
        self.served += 1
        if self.served >= self.spec.warm_after:
            self.cold = False
        self._send_reply(
            running_attempt.conn,
            running_attempt.action,
            running_attempt.deliver,
            'ok',
        )

    def _send_reply(
        self,
        conn: tuple[str, int],
        action: SendTarget,
        deliver: Deliver,
        status: str,
    ) -> None:
        if conn not in self.connections or conn in self.silent:
            return
        event: Event = self._build_reply(conn, action, status)
        if self.reply_fault == 'cut':
            self.connections.pop(conn)
            event = ConnectionClosed(conn[1], self.name, 'cut', False)
        if self.reply_fault == 'crossed':
            self.scheduler.after(CROSSED_REPLY_DELAY_S, deliver, event)
            event = self._build_reply(conn, action, status, 'another')
        self.reply_fault = ''
        self.scheduler.after(0.001, deliver, event)

    def _build_reply(
        self,
        conn: tuple[str, int],
        action: SendTarget,
        status: str,
        echo: str = '',
    ) -> TargetReply:
        version = self.versions[-1]
        rows: tuple[tuple[str, str], ...] = ()
        text = ''
        if status == 'ok' and action.work == 'query':
            version = action.body['version'] or version
            shard = action.body['shard']
            query = echo or action.body.get('text', '')
            rows = ((query, f'{shard}@{self.layout}.{version}'),)
        if status == 'ok' and action.work == 'order':
            text = f'ran {echo or action.body["order_key"]}'
        return TargetReply(
            conn[1],
            self.name,
            echo or action.attempt,
            status,
            self.layout,
            version,
            rows,
            text,
            self.incarnation,
        )

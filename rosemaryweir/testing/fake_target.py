"""Fakes of targets, with faults on demand and a log of what they ran."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from rosemaryweir.node.action import SendTarget
from rosemaryweir.node.event import ConnectionClosed, Event, TargetReply
from rosemaryweir.testing.scheduler import Scheduler

__all__ = ['FakeTarget', 'Run', 'TargetSpec', 'exponential', 'steady']

#: How long after a crossed reply the right one comes, in seconds.
LATE_AFTER = 0.02

Deliver = Callable[[Event], None]
ServiceTime = Callable[[Random], float]


class TargetSpec(NamedTuple):
    """What a target bears; times in seconds."""

    slots: int
    connections: int
    connect_time: float
    cold_slots: int
    warm_after: int
    service_time: ServiceTime


class Run(NamedTuple):
    """One piece of work that a target began."""

    when: float
    attempt: str
    work: str
    subject: str
    client: str


class RunningAttempt(NamedTuple):
    """Work that runs on a target."""

    conn: tuple[str, int]
    action: SendTarget
    client: str
    deliver: Deliver


def steady(seconds: float) -> ServiceTime:
    """Return a service time that is always the same."""
    return lambda rng: seconds


def exponential(median: float) -> ServiceTime:
    """Return service times with a median, from a shifted exponential."""
    return lambda rng: median * (0.5 + rng.expovariate(1.0) * 0.72)


class FakeTarget:
    """A target: slots, connections, warmth, index versions, faults.

    Attributes
    ----------
    factor : float
        Service times are multiplied by it: above 1 for a straggler.
    up, draining, shedding : bool
        Whether it takes connections; refuses new work; sheds everything.
    cold : bool
        Whether it collapses when pushed past ``spec.cold_slots``.
    versions : tuple of int
        Index versions that it can serve, newest last.
    silent : set
        Connections that have gone silent for good.
    reply_fault : str
        ``crossed`` (its own comes late) or ``cut`` for the next reply; empty
        for none.
    runs : list of Run
        Everything it began to run.
    peak, cold_peak : int
        Largest number of jobs at once while warm, while cold.
    collapses : int
        How often it collapsed.
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
        """Take a connection; return why not, or an empty string."""
        if not self.up:
            return 'refused'
        if len(self.connections) >= self.spec.connections:
            return 'too many connections'
        self.connections[conn] = deliver
        self.connection_peak = max(self.connection_peak, len(self.connections))
        return ''

    def hang_up(self, conn: tuple[str, int]) -> None:
        """Close a connection from the other end; what runs, runs on."""
        self.connections.pop(conn, None)
        self.silent.discard(conn)

    def receive(
        self,
        conn: tuple[str, int],
        client: str,
        action: SendTarget,
        remaining: float,
    ) -> None:
        """Take a request; ``remaining`` seconds are left of its deadline."""
        deliver = self.connections.get(conn)
        if deliver is None or conn in self.silent:
            return
        refusal = self._refusal(action, remaining)
        if refusal:
            self._answer(conn, action, deliver, refusal)
            return
        self._start(RunningAttempt(conn, action, client, deliver), remaining)

    def cancel(self, attempt: str) -> None:
        """Drop an attempt that runs, and say so on its connection."""
        job = self.running.pop(attempt, None)
        if job is not None:
            self._answer(job.conn, job.action, job.deliver, 'cancelled')

    def stop(self) -> None:
        """Go down: connections close, what runs is lost."""
        self.up = False
        self.running.clear()
        for (_, number), deliver in tuple(self.connections.items()):
            event = ConnectionClosed(number, self.name, 'reset', False)
            self.scheduler.after(0.001, deliver, event)
        self.connections.clear()
        self.silent.clear()

    def start(self) -> None:
        """Come up cold, as a new incarnation."""
        self.up = True
        self.draining = False
        self.incarnation += 1
        self.make_cold()

    def make_cold(self) -> None:
        """Turn cold without a sign."""
        self.cold = True
        self.served = 0

    def _refusal(self, action: SendTarget, remaining: float) -> str:
        if self.draining:
            return 'draining'
        over = len(self.running) >= self.spec.slots
        if self.shedding or over or remaining <= 0:
            return 'shed'
        if action.work == 'query' and not self._has(action):
            return 'wrong_version'
        return ''

    def _has(self, action: SendTarget) -> bool:
        wanted = action.body['version']
        fits = wanted == 0 or wanted in self.versions
        return fits and action.body['layout'] in {0, self.layout}

    def _start(self, job: RunningAttempt, remaining: float) -> None:
        attempt = job.action.attempt
        subject = job.action.body.get('order_key') or job.action.body['shard']
        self.runs.append(
            Run(
                self.scheduler.now,
                attempt,
                job.action.work,
                subject,
                job.client,
            ),
        )
        self.running[attempt] = job
        count = len(self.running)
        if self.cold:
            self.cold_peak = max(self.cold_peak, count)
            if count > self.spec.cold_slots:
                self._collapse()
                return
        self.peak = max(self.peak, count)
        took = self.spec.service_time(self.rng) * self.factor
        if self.cold:
            took *= 3
        if took > remaining and job.action.work == 'query':
            self.scheduler.after(remaining, self._expire, attempt)
        else:
            self.scheduler.after(took, self._finish, attempt, job)

    def _collapse(self) -> None:
        self.collapses += 1
        self.stop()
        self.scheduler.after(3.0, self.start)

    def _expire(self, attempt: str) -> None:
        job = self.running.pop(attempt, None)
        if job is not None:
            self._answer(job.conn, job.action, job.deliver, 'cancelled')

    def _finish(self, attempt: str, job: RunningAttempt) -> None:
        if self.running.get(attempt) is not job:
            return
        self.running.pop(attempt)
        self.served += 1
        if self.served >= self.spec.warm_after:
            self.cold = False
        self._answer(job.conn, job.action, job.deliver, 'ok')

    def _answer(
        self,
        conn: tuple[str, int],
        action: SendTarget,
        deliver: Deliver,
        status: str,
    ) -> None:
        if conn not in self.connections or conn in self.silent:
            return
        event: Event = self._reply(conn, action, status)
        if self.reply_fault == 'cut':
            self.connections.pop(conn)
            event = ConnectionClosed(conn[1], self.name, 'cut', False)
        if self.reply_fault == 'crossed':
            self.scheduler.after(LATE_AFTER, deliver, event)
            event = self._reply(conn, action, status, 'another')
        self.reply_fault = ''
        self.scheduler.after(0.001, deliver, event)

    def _reply(
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

"""The entry's part for queries: events in, actions out."""

from collections.abc import Iterator
from random import Random
from typing import Any

from rosemaryweir.node.action import Action, LogEvent, Metric, ReplyCaller
from rosemaryweir.node.event import CallerGone, CallerRequest, PeerMessage
from rosemaryweir.node.log_events import register_event
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.query.admission import QUEUE, Applicant
from rosemaryweir.query.answer_policy import outcome_of
from rosemaryweir.query.attempt import Attempts
from rosemaryweir.query.outbox import Scatter
from rosemaryweir.query.plan import Fleet
from rosemaryweir.query.request import Asked, refuse
from rosemaryweir.query.runner import Runner
from rosemaryweir.query.running_query import Running
from rosemaryweir.query.service_state import ServiceState
from rosemaryweir.query.straggler import CHECK_INTERVAL_S, eject
from rosemaryweir.query.timers import Timers
from rosemaryweir.schema.generated.http import QueryAnswer

__all__ = ['QueryService']

LEAF_SILENT = register_event(
    200,
    'query.leaf_silent',
    'warning',
    'A leaf does not answer; queries use other replicas. Look at its VM.',
)
EJECTED = register_event(
    201,
    'query.targets_ejected',
    'info',
    'Targets far slower than the others get work only when no other is left.',
)
STRAY = register_event(
    202,
    'query.partial_stray',
    'debug',
    'A partial that answers nothing in flight was dropped.',
)
REPINNED = register_event(
    203,
    'query.repinned',
    'debug',
    'A query changed to an index version that covers more.',
)
LEAF_RESTARTED = register_event(
    204,
    'query.leaf_restarted',
    'info',
    'A leaf came back as a new process; what it held is asked elsewhere.',
)

#: Interval of the checks of leaves and queues, in seconds.
TICK_S = 0.02
TICK = 'tick'
MS = 1000
HTTP_OK = 200
#: Refused pieces that mean congestion, as a share of the shards.
REFUSED_SHARE = 0.05


@part_of('entry')
class QueryService(Part):
    """Answers queries.

    Notes
    -----
    Queries are admitted per service (`rosemaryweir.query.service_state`).
    `rosemaryweir.query.runner` handles the events of an admitted query.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.fleet = Fleet(state)
        self.attempts = Attempts(state.uid)
        self.runner = Runner(state, self.fleet, self.attempts, rng)
        self.timers = Timers()
        self.service_states: dict[str, ServiceState] = {}
        self.running: dict[str, Running] = {}
        self._by_req: dict[int, str] = {}

    @handles(CallerRequest, 'query')
    def ask(self, event: CallerRequest, now: float) -> Iterator[Action]:
        """Admit or refuse a query."""
        body: Any = event.body
        refusal = self._refusal(event.req, body['service'], now)
        if refusal is not None:
            yield refusal
            return
        asked = Asked.from_request(event.req, body, self.state.config, now)
        service_state = self.service_states.setdefault(
            body['service'], ServiceState(body['service'])
        )
        applicant = Applicant(
            event.req,
            asked.tenant,
            asked.share['weight'],
            asked.share.get('queue', QUEUE),
            asked.policy.get('priority', 0),
            asked.deadlines.answer,
            asked,
        )
        if service_state.admission.apply(applicant, now):
            yield from self._admit(service_state, now)
            self._tick_at(now + TICK_S)
        else:
            wait = service_state.admission.wait(applicant)
            yield _count('query.refused', asked, reason='overloaded')
            yield refuse(
                event.req,
                'overloaded',
                'the queue is longer than the time that is left',
                retry_after_ms=int(wait * MS) + 1,
            )

    @handles(PeerMessage, 'partials')
    def partials(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Take what a leaf answers."""
        message = event.message
        health = self.fleet.leaf(event.sender)
        restarted = health.restarted(event.incarnation)
        self.fleet.take_loads(message, now)
        query = self.running.get(message['query'])
        strays = self.attempts.strays
        not_run = self.runner.not_run.copy()
        for piece in message['pieces']:
            attempt = self.attempts.claim(
                message['query'],
                event.sender,
                piece,
            )
            if attempt is not None and query is not None:
                health.heard(now - attempt.sent, now)
                self.runner.take(query, attempt, piece, now)
        for outcome, count in (self.runner.not_run - not_run).items():
            yield Metric(
                'count',
                'query.attempts_not_run',
                count,
                {'outcome': outcome, 'leaf': event.sender},
            )
        if self.attempts.strays > strays:
            yield LogEvent(STRAY, {'leaf': event.sender})
        if restarted:
            yield LogEvent(LEAF_RESTARTED, {'leaf': event.sender})
            yield from self._lose(event.sender, now)
        if query is not None:
            yield from self._after(query, now)

    @handles(CallerGone)
    def gone(self, event: CallerGone, now: float) -> Iterator[Action]:
        """Drop the query of a caller who hung up."""
        query = self.running.get(self._by_req.get(event.req, ''))
        if query is None:
            for service_state in self.service_states.values():
                service_state.admission.gone(event.req)
            return
        self._end(query, now)
        query.service_state.admission.limit.drop()
        yield from query.outbox.flush(query.scatter, self.state, now)
        yield from self._admit(query.service_state, now)

    def next_wake(self) -> float | None:
        """Return the time of the next timer."""
        return self.timers.next_due()

    def wake(self, now: float) -> Iterator[Action]:
        """Hedge, retry, answer, and check leaves and queues."""
        for uid in self.timers.due(now):
            query = self.running.get(uid)
            if query is not None:
                self.runner.step(query, now)
                yield from self._after(query, now)
            elif uid == TICK:
                yield from self._tick(now)

    def busy(self, now: float) -> bool:
        """Return whether queries run or wait."""
        return any(
            not service_state.idle
            for service_state in self.service_states.values()
        )

    def status(self, now: float) -> dict[str, Any]:
        """Return what the status page shows."""
        return {
            'running': len(self.running),
            'attempts': self.attempts.status(),
            'first': self.runner.first_attempts,
            'extra': self.runner.extra_attempts,
            'not_run': dict(self.runner.not_run),
            'silent_leaves': [
                health.name
                for health in self.fleet.leaves.values()
                if health.suspect
            ],
            'services': {
                name: service_state.status()
                for name, service_state in self.service_states.items()
            },
        }

    def _refusal(
        self,
        req: int,
        name: str,
        now: float,
    ) -> ReplyCaller | None:
        service = self.state.service(name)
        if not self.state.may_start(now):
            return refuse(req, 'fenced', self.state.lease.reason)
        if service is None or service['work'] != 'query':
            return refuse(req, 'unknown_service', 'no such query service')
        return None

    def _admit(
        self, service_state: ServiceState, now: float
    ) -> Iterator[Action]:
        for applicant in service_state.admission.started():
            yield from self._start(service_state, applicant.item, now)

    def _start(
        self, service_state: ServiceState, asked: Asked, now: float
    ) -> Iterator[Action]:
        refusal = self._refusal(asked.req, service_state.service, now)
        service = self.state.service(service_state.service)
        if refusal is not None or service is None:
            service_state.admission.limit.drop()
            if refusal is not None:
                yield refusal
            return
        scatter = Scatter(
            self.attempts.next_uid(),
            service_state.service,
            asked.body['query'],
            service['layout'],
            asked.deadlines.answer,
        )
        plan = self.fleet.plan(service_state.service, service)
        query = Running(asked, scatter, service_state, plan, now)
        self.running[query.uid] = query
        self._by_req[asked.req] = query.uid
        self.runner.start(query, now)
        yield from self._after(query, now)

    def _after(self, query: Running, now: float) -> Iterator[Action]:
        """Answer a query if it is done; let leave what waits to leave."""
        if query.done(now):
            yield from self._answer(query, now)
            yield from self._admit(query.service_state, now)
        else:
            yield from query.outbox.flush(query.scatter, self.state, now)
            self.timers.set(query.uid, query.due(now))

    def _answer(self, query: Running, now: float) -> Iterator[Action]:
        asked = query.asked
        self._end(query, now)
        yield from query.outbox.flush(query.scatter, self.state, now)
        took = now - query.started
        query.service_state.admission.limit.end(
            took,
            query.bulk,
            asked.deadlines.early - asked.arrived,
            query.refused > max(1, REFUSED_SHARE * len(query.plan.shards)),
            now,
        )
        reply = self._reply(query)
        yield reply
        covered = reply.body.get('coverage', {}).get('covered', 0)
        total = max(1, len(query.plan.shards))
        tags = _tags(asked)
        yield Metric('time', 'query.latency', (now - asked.arrived) * MS, tags)
        yield Metric('gauge', 'query.coverage', covered / total, tags)
        if query.repinned:
            yield LogEvent(REPINNED, {'service': query.service_state.service})

    def _reply(self, query: Running) -> ReplyCaller:
        asked = query.asked
        version = query.merge.best(query.version)
        merged = query.merge.answer(version)
        covered = merged.coverage['covered']
        if not covered:
            return refuse(
                asked.req,
                'deadline' if query.ran else 'no_capacity',
                'no shard answered in time',
                'unknown' if query.ran else 'not_run',
            )
        total = merged.coverage['total']
        if covered == total:
            query.service_state.pin(query.scatter.layout).answered(version)
        answer = QueryAnswer(
            outcome=outcome_of(
                covered,
                total,
                asked.policy['coverage_floor'],
            ),
            snapshot=merged.snapshot,
            coverage=merged.coverage,
            rows=merged.rows,
            generation=self.state.config['generation'],
        )
        return ReplyCaller(asked.req, HTTP_OK, answer)

    def _end(self, query: Running, now: float) -> None:
        self.runner.finish(query, now)
        self.running.pop(query.uid)
        self._by_req.pop(query.asked.req)
        self.timers.drop(query.uid)

    def _tick(self, now: float) -> Iterator[Action]:
        for health in tuple(self.fleet.leaves.values()):
            if health.outstanding and health.check(now):
                yield LogEvent(LEAF_SILENT, {'leaf': health.name})
                yield from self._doubt(health.name, now)
        for service_state in tuple(self.service_states.values()):
            yield from self._overdue(service_state, now)
            yield from self._stragglers(service_state, now)
        if self.busy(now):
            self._tick_at(now + TICK_S)

    def _tick_at(self, when: float) -> None:
        self.timers.keep(TICK, when)

    def _overdue(
        self, service_state: ServiceState, now: float
    ) -> Iterator[Action]:
        for applicant in service_state.admission.overdue(now):
            yield _count('query.refused', applicant.item, reason='deadline')
            yield refuse(
                applicant.req,
                'deadline',
                'it waited too long to be answered in time',
            )

    def _stragglers(
        self, service_state: ServiceState, now: float
    ) -> Iterator[Action]:
        service = self.state.service(service_state.service)
        if now - service_state.checked < CHECK_INTERVAL_S or service is None:
            return
        service_state.checked = now
        ejected = eject(
            self.fleet.plan(service_state.service, service).sights, now
        )
        if set(ejected) - set(service_state.ejected):
            yield LogEvent(
                EJECTED,
                {'service': service_state.service, 'targets': ejected},
            )
        service_state.ejected = ejected

    def _lose(self, leaf: str, now: float) -> Iterator[Action]:
        """Take that a leaf restarted: what it held is lost."""
        for attempt in self.attempts.at(leaf):
            self.attempts.settle(attempt)
            query = self.running.get(attempt.query)
            if query is not None:
                query.ran = True
                self.runner.lost(query, attempt, now)
                yield from self._after(query, now)

    def _doubt(self, leaf: str, now: float) -> Iterator[Action]:
        """Ask elsewhere for what a silent leaf holds."""
        for attempt in self.attempts.at(leaf):
            query = self.running.get(attempt.query)
            if query is not None:
                self.runner.doubt(query, attempt, now)
                yield from self._after(query, now)


def _tags(asked: Asked, **more: str) -> dict[str, str]:
    return {
        'service': asked.body['service'],
        'tenant': asked.tenant,
        'class': asked.class_name,
        **more,
    }


def _count(name: str, asked: Asked, **more: str) -> Metric:
    return Metric('count', name, 1, _tags(asked, **more))

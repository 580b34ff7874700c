"""The entry part that answers queries."""

from collections.abc import Iterator
from random import Random
from typing import Any

from rosemaryweir.node.action import Action, LogEvent, Metric, ReplyCaller
from rosemaryweir.node.event import CallerGone, CallerRequest, PeerMessage
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.query.admission import (
    DEFAULT_MAX_QUEUE_LENGTH,
    AdmissionRequest,
)
from rosemaryweir.query.answer_policy import outcome_of
from rosemaryweir.query.attempt import InFlightAttempts
from rosemaryweir.query.outbox import QueryContext
from rosemaryweir.query.plan import QueryPlanner
from rosemaryweir.query.request import CallerQuery, refuse
from rosemaryweir.query.runner import QueryRunner
from rosemaryweir.query.running_query import RunningQuery
from rosemaryweir.query.service_state import ServiceState
from rosemaryweir.query.straggler import (
    STRAGGLER_CHECK_INTERVAL_S,
    eject_stragglers,
)
from rosemaryweir.query.timers import QueryTimers
from rosemaryweir.schema.generated.http import QueryAnswer
from rosemaryweir.telemetry.log_events import register_event

__all__ = ['QueryService']

LEAF_SILENT = register_event(
    200,
    'query.leaf_silent',
    'warning',
    'A leaf does not answer; queries use other replicas. Check its VM.',
)
EJECTED = register_event(
    201,
    'query.targets_ejected',
    'info',
    'Targets far slower than the others get work only if no other is left.',
)
STRAY = register_event(
    202,
    'query.partial_stray',
    'debug',
    'A partial without a matching attempt in flight was dropped.',
)
REPINNED = register_event(
    203,
    'query.repinned',
    'debug',
    'A running query was pinned to an index version that covers more.',
)
LEAF_RESTARTED = register_event(
    204,
    'query.leaf_restarted',
    'info',
    'A leaf restarted; the sub-queries it held are retried.',
)

#: Interval between checks of leaves and queues, in seconds.
TICK_INTERVAL_S = 0.02
#: Timer of these checks, beside the timers of queries.
TICK_TIMER = 'tick'
MS_PER_S = 1000
HTTP_OK = 200
#: Share of the sub-queries refused for lack of capacity above which the
#: targets count as congested.
CONGESTED_REFUSED_SHARE = 0.05


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
        self.planner = QueryPlanner(state)
        self.attempts = InFlightAttempts(state.uid)
        self.runner = QueryRunner(state, self.planner, self.attempts, rng)
        self.timers = QueryTimers()
        self.service_states: dict[str, ServiceState] = {}
        self.running: dict[str, RunningQuery] = {}
        self._by_req: dict[int, str] = {}

    @handles(CallerRequest, 'query')
    def handle_query(
        self, event: CallerRequest, now: float
    ) -> Iterator[Action]:
        """Admit or refuse a query."""
        body: Any = event.body
        refusal = self._refusal(event.req, body['service'], now)
        if refusal is not None:
            yield refusal
            return
        request = CallerQuery.from_request(
            event.req,
            body,
            self.state.config,
            now,
        )
        service_state = self.service_states.setdefault(
            body['service'],
            ServiceState(body['service']),
        )
        waiting = AdmissionRequest(
            event.req,
            request.tenant,
            request.tenant_config['weight'],
            request.tenant_config.get('queue', DEFAULT_MAX_QUEUE_LENGTH),
            request.policy.get('priority', 0),
            request.deadlines.latest,
            request,
        )
        if service_state.admission.submit(waiting, now):
            yield from self._admit(service_state, now)
            self._schedule_tick(now + TICK_INTERVAL_S)
        else:
            wait = service_state.admission.expected_wait(waiting)
            yield _count('query.refused', request, reason='overloaded')
            yield refuse(
                event.req,
                'overloaded',
                'the queue is full or the expected wait exceeds the deadline',
                retry_after_ms=int(wait * MS_PER_S) + 1,
            )

    @handles(PeerMessage, 'partials')
    def handle_partials(
        self, event: PeerMessage, now: float
    ) -> Iterator[Action]:
        """Handle the partials of a leaf and the loads that it reports."""
        message = event.message
        health = self.planner.leaf(event.sender)
        restarted = health.update_incarnation(event.incarnation)
        self.planner.update_loads(message, now)
        query = self.running.get(message['query'])
        strays = self.attempts.strays
        not_run = self.runner.not_run.copy()
        for partial in message['pieces']:
            attempt = self.attempts.match_partial(
                message['query'],
                event.sender,
                partial,
            )
            if attempt is not None and query is not None:
                health.record_reply(now - attempt.sent_at, now)
                self.runner.handle_partial(query, attempt, partial, now)
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
            yield from self._retry_lost(event.sender, now)
        if query is not None:
            yield from self._advance(query, now)

    @handles(CallerGone)
    def handle_caller_gone(
        self, event: CallerGone, now: float
    ) -> Iterator[Action]:
        """Cancel the query of a caller that disconnected."""
        query = self.running.get(self._by_req.get(event.req, ''))
        if query is None:
            for service_state in self.service_states.values():
                service_state.admission.cancel(event.req)
            return
        self._close(query, now)
        query.service_state.admission.limit.abandon()
        yield from query.outbox.flush(query.context, self.state, now)
        yield from self._admit(query.service_state, now)

    def next_wake(self) -> float | None:
        """Return the time of the next timer."""
        return self.timers.next_due()

    def wake(self, now: float) -> Iterator[Action]:
        """Hedge, retry and answer queries; run the periodic checks."""
        for uid in self.timers.pop_due(now):
            query = self.running.get(uid)
            if query is not None:
                self.runner.run_due(query, now)
                yield from self._advance(query, now)
            elif uid == TICK_TIMER:
                yield from self._tick(now)

    def busy(self, now: float) -> bool:
        """Return whether any query runs or waits."""
        return any(
            not service_state.idle
            for service_state in self.service_states.values()
        )

    def status(self, now: float) -> dict[str, Any]:
        """Return the figures for the status page."""
        return {
            'running': len(self.running),
            'attempts': self.attempts.status(),
            'first': self.runner.first_attempts,
            'extra': self.runner.extra_attempts,
            'not_run': dict(self.runner.not_run),
            'silent_leaves': [
                health.name
                for health in self.planner.leaves.values()
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
        self,
        service_state: ServiceState,
        now: float,
    ) -> Iterator[Action]:
        for waiting in service_state.admission.pop_startable():
            yield from self._start(service_state, waiting.item, now)

    def _start(
        self,
        service_state: ServiceState,
        request: CallerQuery,
        now: float,
    ) -> Iterator[Action]:
        refusal = self._refusal(request.req, service_state.service, now)
        service = self.state.service(service_state.service)
        if refusal is not None or service is None:
            service_state.admission.limit.abandon()
            if refusal is not None:
                yield refusal
            return
        context = QueryContext(
            self.attempts.next_uid(),
            service_state.service,
            request.body['query'],
            service['layout'],
            request.deadlines.latest,
        )
        plan = self.planner.plan(service_state.service, service)
        query = RunningQuery(request, context, service_state, plan, now)
        self.running[query.uid] = query
        self._by_req[request.req] = query.uid
        self.runner.start(query, now)
        yield from self._advance(query, now)

    def _advance(self, query: RunningQuery, now: float) -> Iterator[Action]:
        """Answer a query if it is done, else flush it and set its timer."""
        if query.is_done(now):
            yield from self._answer(query, now)
            yield from self._admit(query.service_state, now)
        else:
            yield from query.outbox.flush(query.context, self.state, now)
            self.timers.set(query.uid, query.next_due(now))

    def _answer(self, query: RunningQuery, now: float) -> Iterator[Action]:
        request = query.request
        self._close(query, now)
        yield from query.outbox.flush(query.context, self.state, now)
        latency = now - query.started_at
        query.service_state.admission.limit.finish(
            latency,
            query.bulk_latency,
            request.deadlines.earliest - request.arrived_at,
            query.capacity_refusals
            > max(1, CONGESTED_REFUSED_SHARE * len(query.plan.shards)),
            now,
        )
        reply = self._reply(query)
        yield reply
        covered = reply.body.get('coverage', {}).get('covered', 0)
        total = max(1, len(query.plan.shards))
        tags = _tags(request)
        yield Metric(
            'time',
            'query.latency',
            (now - request.arrived_at) * MS_PER_S,
            tags,
        )
        yield Metric('gauge', 'query.coverage', covered / total, tags)
        if query.repinned:
            yield LogEvent(REPINNED, {'service': query.service_state.service})

    def _reply(self, query: RunningQuery) -> ReplyCaller:
        request = query.request
        version = query.merge.best_version(query.version)
        merged = query.merge.answer(version)
        covered = merged.coverage['covered']
        if not covered:
            return refuse(
                request.req,
                'deadline' if query.ran else 'no_capacity',
                'no shard answered in time',
                'unknown' if query.ran else 'not_run',
            )
        total = merged.coverage['total']
        if covered == total:
            query.service_state.pin(query.context.layout).record_answer(version)
        answer = QueryAnswer(
            outcome=outcome_of(
                covered,
                total,
                request.policy['coverage_floor'],
            ),
            snapshot=merged.snapshot,
            coverage=merged.coverage,
            rows=merged.rows,
            generation=self.state.config['generation'],
        )
        return ReplyCaller(request.req, HTTP_OK, answer)

    def _close(self, query: RunningQuery, now: float) -> None:
        self.runner.cancel_all(query, now)
        self.running.pop(query.uid)
        self._by_req.pop(query.request.req)
        self.timers.cancel(query.uid)

    def _tick(self, now: float) -> Iterator[Action]:
        for health in tuple(self.planner.leaves.values()):
            if health.outstanding and health.check_silence(now):
                yield LogEvent(LEAF_SILENT, {'leaf': health.name})
                yield from self._retry_silent(health.name, now)
        for service_state in tuple(self.service_states.values()):
            yield from self._refuse_overdue(service_state, now)
            yield from self._check_stragglers(service_state, now)
        if self.busy(now):
            self._schedule_tick(now + TICK_INTERVAL_S)

    def _schedule_tick(self, due_at: float) -> None:
        self.timers.set_default(TICK_TIMER, due_at)

    def _refuse_overdue(
        self,
        service_state: ServiceState,
        now: float,
    ) -> Iterator[Action]:
        for waiting in service_state.admission.pop_overdue(now):
            yield _count('query.refused', waiting.item, reason='deadline')
            yield refuse(
                waiting.req,
                'deadline',
                'the request waited too long to be answered in time',
            )

    def _check_stragglers(
        self,
        service_state: ServiceState,
        now: float,
    ) -> Iterator[Action]:
        service = self.state.service(service_state.service)
        if (
            now - service_state.checked_at < STRAGGLER_CHECK_INTERVAL_S
            or service is None
        ):
            return
        service_state.checked_at = now
        ejected = eject_stragglers(
            self.planner.plan(service_state.service, service).observed_targets,
            now,
        )
        if set(ejected) - set(service_state.ejected):
            yield LogEvent(
                EJECTED,
                {'service': service_state.service, 'targets': ejected},
            )
        service_state.ejected = ejected

    def _retry_lost(self, leaf: str, now: float) -> Iterator[Action]:
        """Retry the attempts that a leaf lost when it restarted."""
        for attempt in self.attempts.at_leaf(leaf):
            self.attempts.close(attempt)
            query = self.running.get(attempt.query_id)
            if query is not None:
                query.ran = True
                self.runner.handle_lost(query, attempt, now)
                yield from self._advance(query, now)

    def _retry_silent(self, leaf: str, now: float) -> Iterator[Action]:
        """Ask other replicas beside the attempts at a silent leaf."""
        for attempt in self.attempts.at_leaf(leaf):
            query = self.running.get(attempt.query_id)
            if query is not None:
                self.runner.retry_beside(query, attempt, now)
                yield from self._advance(query, now)


def _tags(request: CallerQuery, **more: str) -> dict[str, str]:
    return {
        'service': request.body['service'],
        'tenant': request.tenant,
        'class': request.class_name,
        **more,
    }


def _count(name: str, request: CallerQuery, **more: str) -> Metric:
    return Metric('count', name, 1, _tags(request, **more))

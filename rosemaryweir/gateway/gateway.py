"""State machine of a VM's requests, from a caller's request to its response.

Every method takes the present time and returns actions; nothing here does
I/O.
"""

import heapq
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from random import Random

from rosemaryweir.gateway.action import (
    Action,
    CallerResponse,
    DecodedReply,
    InboundRequest,
)
from rosemaryweir.gateway.attempt_dispatcher import AttemptDispatcher
from rosemaryweir.gateway.attempt_outcome import AttemptOutcome, classify_reply
from rosemaryweir.gateway.caller_time import CallerTimeTracker
from rosemaryweir.gateway.final_response import (
    HTTP_UNAVAILABLE,
    failure_response,
    merge_partials,
    relay_reply,
)
from rosemaryweir.gateway.log_entries import (
    lost_sub_request_entry,
    notice_entry,
    refusal_entry,
    request_end_entry,
)
from rosemaryweir.gateway.model import Configuration, RouteConfig, TargetEntry
from rosemaryweir.gateway.pending_request import (
    PendingRequest,
    SubRequest,
    SubRequestAttempt,
)
from rosemaryweir.gateway.quota import VmInfo
from rosemaryweir.gateway.retry_budget import RetryBudget, RetryBudgetPolicy
from rosemaryweir.gateway.round_robin import WeightedRoundRobin
from rosemaryweir.gateway.route_latency import RouteLatency
from rosemaryweir.gateway.route_table import RouteTable
from rosemaryweir.gateway.target_registry import TargetRegistry
from rosemaryweir.gateway.target_state import TargetState
from rosemaryweir.gateway.timing import (
    ABANDONED_ATTEMPT_GRACE_S,
    MAINTENANCE_INTERVAL_S,
    TimerLag,
    compute_deadline,
    compute_retry_after,
    compute_soft_deadline,
)
from rosemaryweir.gateway.work_time import WorkTime

__all__ = ['Gateway']

HTTP_NOT_FOUND = 404
HTTP_BAD_REQUEST = 400
#: Maximum number of sends of one sub-request, including those that a target
#: refused.
MAX_SENDS = 5
#: One of this many plain successes is logged.
SUCCESS_LOG_INTERVAL = 50
NEVER = float('inf')


class Gateway:
    """Pending requests of one VM.

    Parameters
    ----------
    own : VmInfo
        The VM and its failure domain.
    retry_policy : RetryBudgetPolicy
        Parameters of the retry budgets.
    rng : random.Random
        Source of randomness.

    Attributes
    ----------
    counters : Counter
        Counts of responses and attempts by result, for the metrics.
    """

    def __init__(
        self,
        own: VmInfo,
        retry_policy: RetryBudgetPolicy,
        rng: Random,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.target_registry = TargetRegistry()
        self.dispatcher = AttemptDispatcher(self.target_registry, own, rng)
        self.config: Configuration | None = None
        self.retry_policy = retry_policy
        self._rng = rng
        self._route_table = RouteTable(())
        self._round_robins: dict[str, WeightedRoundRobin] = {}
        self._latencies: dict[str, RouteLatency] = {}
        self._work_times: dict[tuple[str, str], WorkTime] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._pending: dict[int, PendingRequest] = {}
        self._timers: list[
            tuple[float, int, PendingRequest | SubRequestAttempt]
        ] = []
        self._caller_times = CallerTimeTracker()
        self._lag = TimerLag()
        self._maintained_at = 0.0
        self._timer_count = 0
        #: Time when every request is to be answered.
        self._stops_at = NEVER

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._pending)

    def next_wake(self) -> float:
        """Return the time when `wake` is due."""
        due = self._maintained_at + MAINTENANCE_INTERVAL_S
        if self._pending:
            due = min(due, self._stops_at)
        return min(due, self._timers[0][0]) if self._timers else due

    def wake(self, now: float) -> list[Action]:
        """Run the timers and the maintenance that are due."""
        while self._timers and self._timers[0][0] <= now:
            due, _, item = heapq.heappop(self._timers)
            self._lag.record(due, now)
            if isinstance(item, SubRequestAttempt):
                self._abort_if_open(item, now)
            elif not item.answered:
                self._check(item, now)
        if now >= self._stops_at:
            for pending in tuple(self._pending.values()):
                self._finish(pending, now)
        if now - self._maintained_at >= MAINTENANCE_INTERVAL_S:
            self._maintained_at = now
            self.dispatcher.close_expired(now)
        return self._take_actions()

    def stop(self, stops_at: float) -> list[Action]:
        """Answer every request by the time when the process exits.

        A request that would not end by then is refused at once, so that its
        caller can go to another VM.
        """
        self._stops_at = stops_at
        for pending in self._pending.values():
            pending.deadline = min(pending.deadline, stops_at)
        return self._take_actions()

    def configure(self, config: Configuration) -> list[Action]:
        """Put a version of the configuration in force."""
        self.config = config
        self._route_table = RouteTable(config.routes)
        self.dispatcher.target_limits = dict(config.services)
        routes_by_name = {route.name: route for route in config.routes}
        self._round_robins = {
            name: round_robin
            for name, round_robin in self._round_robins.items()
            if name in routes_by_name
            and routes_by_name[name].weighted_services == round_robin.candidates
        }
        return self._take_actions()

    def update_targets(
        self,
        entries: Mapping[str, TargetEntry],
        excluded_domains: Collection[str],
        now: float,
    ) -> list[Action]:
        """Set the targets that are alive and the excluded failure domains."""
        for target in self.target_registry.update(
            entries, excluded_domains, now
        ):
            self.dispatcher.close_idle_connections(target)
        return self._take_actions()

    def domain_coverage(self) -> dict[str, float]:
        """Return the share of all shards that each failure domain can serve."""
        return self.target_registry.domain_coverage(self._route_table.shards)

    def handle_request(
        self, request: InboundRequest, now: float
    ) -> list[Action]:
        """Route a caller's request, or refuse it."""
        if self.config is None:
            self._refuse(request, 'no configuration received yet', now)
            return self._take_actions()
        route = self._route_table.find(request.host, request.target)
        if route is None:
            reason = 'no route for the host and path'
            self._reject(request, HTTP_NOT_FOUND, reason)
        elif request.defect or not request.request_id:
            reason = request.defect or 'the request has no id'
            self._reject(request, HTTP_BAD_REQUEST, reason)
        else:
            self._start(request, route, now)
        return self._take_actions()

    def caller_disconnected(self, exchange_id: int, now: float) -> list[Action]:
        """Abandon a request whose caller disconnected before the response."""
        pending = self._pending.pop(exchange_id, None)
        if pending is not None:
            self.counters['left'] += 1
            self._abandon(pending, now)
        return self._take_actions()

    def connection_opened(self, conn: int, now: float) -> list[Action]:
        """Use a connection that was opened."""
        self.dispatcher.connection_opened(conn, now)
        self._give_up_overdue(now)
        return self._take_actions()

    def connection_lost(
        self, number: int, reason: str, now: float
    ) -> list[Action]:
        """Handle a connection that was closed or could not be opened."""
        conn = self.dispatcher.remove_connection(number)
        if conn is None:
            return self._take_actions()
        attempt = conn.attempt
        if attempt is not None:
            self.dispatcher.finish(attempt)
            conn.target.record_failure(now)
            self.counters['attempts_lost'] += 1
            self._apply_outcome(
                attempt, AttemptOutcome('lost', None, reason), now
            )
        elif not conn.established:
            conn.target.record_unreachable(now)
            self.counters['connects_failed'] += 1
            self._reassign_queued(conn.target.entry.service, now)
        return self._take_actions()

    def reply_received(
        self,
        number: int,
        reply: DecodedReply,
        reusable: bool,
        keep_alive: float | None,
        now: float,
    ) -> list[Action]:
        """Handle a target's complete reply.

        Parameters
        ----------
        number : int
            The connection.
        reply : DecodedReply
            The reply.
        reusable : bool
            Whether the connection stays open.
        keep_alive : float or None
            Seconds for which the target keeps an idle connection; None if not
            stated.
        now : float
            Present time.
        """
        conn = self.dispatcher.conn(number)
        if conn is None or conn.attempt is None:
            return self._take_actions()
        attempt = conn.attempt
        target = conn.target
        outcome = classify_reply(
            reply, attempt.sub_request.parent.request.request_id
        )
        if outcome.kind not in {'stray', 'misdirected'}:
            self._apply_notices(target, reply, now)
        self.dispatcher.finish(attempt)
        self._observe(attempt, target, outcome, now)
        self._count_if_in_vain(attempt)
        if outcome.kind == 'stray':
            self.dispatcher.abort(attempt)
        elif reusable:
            self.dispatcher.connection_idle(conn, keep_alive, now)
        else:
            self.dispatcher.remove_connection(number)
        self._apply_outcome(attempt, outcome, now)
        self._give_up_overdue(now)
        return self._take_actions()

    def _start(
        self, request: InboundRequest, route: RouteConfig, now: float
    ) -> None:
        """Send the sub-requests of a request, or refuse it."""
        config = self.config
        assert config is not None  # noqa: S101
        services = route.shards or (self._next_service(route),)
        pending = PendingRequest(
            request,
            route,
            config.version,
            self._route_latency(route),
            self._work_time(route, services),
            now,
        )
        elapsed = self._caller_times.elapsed(
            route.name, request.time_left, route.latency_goal
        )
        pending.deadline = min(
            compute_deadline(route, request, now), self._stops_at
        )
        pending.soft_deadline = compute_soft_deadline(
            route, request, elapsed, self._lag.seconds(now), now
        )
        pending.sub_requests = [
            SubRequest(pending, service) for service in services
        ]
        unservable = [
            sub_request
            for sub_request in pending.sub_requests
            if self._is_unservable(sub_request, now)
        ]
        if now + pending.latency.usual_limit(now) > self._stops_at:
            self._refuse(request, 'this VM is about to stop', now, pending)
            return
        if pending.deadline <= now:
            reason = 'the deadline passes before a target can reply'
            self._refuse(request, reason, now, pending)
            return
        allowed = (1 - route.min_coverage) * len(pending.sub_requests)
        if len(unservable) > allowed + 1e-9 or len(unservable) == len(
            pending.sub_requests
        ):
            self._refuse(
                request,
                'too few targets can reply before the deadline',
                now,
                pending,
            )
            return
        self._pending[request.exchange_id] = pending
        for sub_request in pending.sub_requests:
            if sub_request in unservable:
                sub_request.done = True
                self.counters['pieces_hopeless'] += 1
            else:
                self._retry_budget(sub_request.service).record_request(now)
                self.dispatcher.send_or_queue(sub_request, now)
        self._schedule_check(pending, now)

    def _is_unservable(self, sub_request: SubRequest, now: float) -> bool:
        """Return whether no target is expected to reply by the deadline."""
        targets = self.dispatcher.available_targets(sub_request.service, now)
        if not targets:
            return not self._may_wait_for_rest(sub_request, now)
        pending = sub_request.parent
        queue = self.dispatcher.queue(sub_request.service)
        if not queue and any(target.idle for target in targets):
            if pending.can_end_in_time(now, waited=False):
                return False
        if not queue and not any(target.in_flight for target in targets):
            # Shows how long the work takes now.
            return False
        connections = sum(map(self.dispatcher.max_connections, targets))
        wait = queue.expected_wait(
            connections,
            now,
            pending.work_time.long(now),
            pending.route.priority,
        )
        if wait > pending.longest_wait(now):
            return True
        return not pending.can_end_in_time(now + wait, waited=wait > 0)

    def _may_wait_for_rest(self, sub_request: SubRequest, now: float) -> bool:
        """Return whether the rest of a target ends in time for a request."""
        pending = sub_request.parent
        end = self.dispatcher.earliest_rest_end(sub_request.service, now)
        if end is None or end - now > pending.longest_wait(now):
            return False
        return pending.can_end_in_time(end, waited=True)

    def _schedule_check(self, pending: PendingRequest, now: float) -> None:
        due = [pending.deadline]
        if pending.soft_deadline > now and pending.route.shards:
            due.append(pending.soft_deadline)
        if any(not sub_request.done for sub_request in pending.sub_requests):
            hedge_delay = self._hedge_delay(pending, now)
            hedge_at = pending.received_at + hedge_delay
            due.append(hedge_at if hedge_at > now else now + hedge_delay / 2)
        latest_send = pending.deadline - pending.work_time.long(now)
        if latest_send > now and any(
            sub_request.queued for sub_request in pending.sub_requests
        ):
            due.append(latest_send)
        self._add_timer(min(due), pending)

    def _check(self, pending: PendingRequest, now: float) -> None:
        """Finish a request that is due, or send its hedges."""
        if now >= pending.deadline:
            self._finish(pending, now)
            return
        if (
            pending.route.shards
            and now >= pending.soft_deadline
            and pending.has_min_coverage()
        ):
            self._finish(pending, now)
            return
        hedge_delay = self._hedge_delay(pending, now)
        for sub_request in pending.sub_requests:
            if not sub_request.done and not pending.answered:
                self._check_sub_request(sub_request, hedge_delay, now)
        self._schedule_check(pending, now)

    def _check_sub_request(
        self, sub_request: SubRequest, hedge_delay: float, now: float
    ) -> None:
        """Give up or send what waits for a connection; hedge what was sent."""
        if not sub_request.queued:
            sent_at = sub_request.open_attempts[-1].sent_at
            if now - sent_at >= hedge_delay * 0.999:
                self._send_hedge(sub_request, now)
        elif sub_request.parent.can_end_in_time(now, waited=True):
            self.dispatcher.send_or_queue(
                sub_request, now, sub_request.queued_hedge
            )
        else:
            self._give_up(sub_request, now)

    def _give_up_overdue(self, now: float) -> None:
        """Give up the sub-requests that waited too long for a connection."""
        for sub_request in self.dispatcher.take_overdue():
            self._give_up(sub_request, now)

    def _give_up(self, sub_request: SubRequest, now: float) -> None:
        """Stop waiting for a connection that would come too late."""
        pending = sub_request.parent
        self.dispatcher.queue(sub_request.service).discard(sub_request)
        self.counters['pieces_too_late'] += 1
        if pending.answered or sub_request.open_attempts:
            return
        sub_request.done = True
        if self._is_decided(pending, now):
            self._finish(pending, now)

    def _hedge_delay(self, pending: PendingRequest, now: float) -> float:
        return pending.latency.hedge_delay(
            now, pending.soft_deadline - pending.received_at
        )

    def _send_hedge(self, sub_request: SubRequest, now: float) -> None:
        """Send a second attempt if it is allowed and likely to help."""
        pending = sub_request.parent
        if not pending.route.idempotent or len(sub_request.open_attempts) > 1:
            return
        if sub_request.possible_runs >= pending.route.max_targets:
            return
        if self.dispatcher.queue(sub_request.service):
            # Others wait for the connection that a hedge would use.
            return
        if not pending.can_end_in_time(now, waited=False):
            return
        selected = self.dispatcher.select_target(sub_request, now)
        if selected is None or not selected.responsive:
            return
        if not self._retry_budget(sub_request.service).try_spend(now):
            self.counters['hedges_unaffordable'] += 1
            return
        pending.hedge_count += 1
        self.counters['hedges'] += 1
        self.dispatcher.send_or_queue(sub_request, now, hedge=True)

    def _apply_outcome(
        self, attempt: SubRequestAttempt, outcome: AttemptOutcome, now: float
    ) -> None:
        """Apply the outcome of an attempt to its request."""
        sub_request = attempt.sub_request
        pending = sub_request.parent
        if pending.answered or sub_request.done:
            return
        if outcome.kind != 'served':
            pending.record_failed_attempt(attempt, outcome, now)
        if outcome.not_run:
            sub_request.possible_runs -= 1
            # The target may be tried again, as it did not run the request.
            sub_request.tried_targets.discard(attempt.target_name)
        if outcome.kind == 'served' or (
            outcome.kind == 'failed' and not pending.route.shards
        ):
            sub_request.reply = outcome.reply
        if outcome.kind == 'served':
            self._abandon_attempts(sub_request, now)
            sub_request.done = True
        elif not sub_request.open_attempts and not self._retry(
            sub_request, now
        ):
            sub_request.done = True
            log_entry = lost_sub_request_entry(
                sub_request, attempt, outcome, now
            )
            self.dispatcher.actions.append(log_entry)
        if self._is_decided(pending, now):
            self._finish(pending, now)

    def _is_decided(self, pending: PendingRequest, now: float) -> bool:
        """Return whether waiting longer would not improve the response.

        A query that can't reach its minimum coverage fails at once, so that
        its caller has time left to retry.
        """
        if pending.done or not pending.can_reach_min_coverage():
            return True
        return (
            bool(pending.route.shards)
            and now >= pending.soft_deadline
            and pending.has_min_coverage()
        )

    def _retry(self, sub_request: SubRequest, now: float) -> bool:
        """Send or queue a sub-request again; return False if not allowed."""
        pending = sub_request.parent
        repeatable = pending.route.idempotent or sub_request.possible_runs == 0
        if sub_request.queued:
            return True
        if sub_request.send_count >= MAX_SENDS:
            return False
        if (
            not repeatable
            or sub_request.possible_runs >= pending.route.max_targets
        ):
            return False
        queued = bool(self.dispatcher.queue(sub_request.service))
        if not pending.can_end_in_time(now, waited=queued):
            return False
        selected = self.dispatcher.select_target(sub_request, now)
        if selected is None or not self._retry_budget(
            sub_request.service
        ).try_spend(now):
            return False
        self.counters['retries'] += 1
        self.dispatcher.send_or_queue(sub_request, now)
        return True

    def _abandon_attempts(self, sub_request: SubRequest, now: float) -> None:
        """Abort a sub-request's open attempts if they don't end soon."""
        self.dispatcher.queue(sub_request.service).discard(sub_request)
        for attempt in sub_request.open_attempts:
            self._add_timer(now + ABANDONED_ATTEMPT_GRACE_S, attempt)

    def _abort_if_open(self, attempt: SubRequestAttempt, now: float) -> None:
        if attempt.number in self.dispatcher.attempts:
            conn = self.dispatcher.conn(attempt.conn)
            if conn is not None:
                conn.target.record_unreachable(now)
            work_time = attempt.sub_request.parent.work_time
            work_time.record_unfinished(now - attempt.sent_at, now)
            self.counters['attempts_cut'] += 1
            self._count_if_in_vain(attempt)
            self.dispatcher.abort(attempt)

    def _observe(
        self,
        attempt: SubRequestAttempt,
        target: TargetState,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Record what the reply to an attempt tells of its target."""
        if outcome.kind == 'served':
            duration = now - attempt.sent_at
            pending = attempt.sub_request.parent
            target.record_success(duration, pending.latency.median(now), now)
            pending.latency.record(duration, now)
            pending.work_time.record(duration, now)
            self.dispatcher.queue(attempt.sub_request.service).record(duration)
        elif outcome.kind == 'misdirected':
            target.replaced = True
        elif outcome.kind == 'not_run':
            target.record_full(now)
        else:
            target.record_failure(now)
        if outcome.kind in {'served', 'failed'}:
            target.notices.record_work(now)

    def _apply_notices(
        self, target: TargetState, reply: DecodedReply, now: float
    ) -> None:
        """Apply what a target says of itself in the reply to a request."""
        if reply.cold_seconds is not None:
            target.cold_until = now + reply.cold_seconds
        notices = target.notices
        if reply.leaving and not notices.leaving:
            notices.leave()
            self.counters['targets_leaving'] += 1
            self.dispatcher.close_idle_connections(target)
            self.dispatcher.actions.append(notice_entry(target, reply))
        if reply.rest_seconds or reply.malformed_rest:
            self.counters['rests'] += bool(reply.rest_seconds)
            notices.ask_for_rest(reply.rest_seconds, now)
            self.dispatcher.actions.append(notice_entry(target, reply))

    def _count_if_in_vain(self, attempt: SubRequestAttempt) -> None:
        """Count an attempt that ended after its request had failed."""
        sub_request = attempt.sub_request
        if sub_request.parent.answered and sub_request.reply is None:
            self.counters['attempts_in_vain'] += 1

    def _reassign_queued(self, service: str, now: float) -> None:
        """Select a target again for the queued sub-requests of a service."""
        for sub_request in tuple(self.dispatcher.queue(service).waiting):
            self.dispatcher.send_or_queue(
                sub_request, now, sub_request.queued_hedge
            )

    def _finish(self, pending: PendingRequest, now: float) -> None:
        """Send and log the final response."""
        response = self._final_response(pending, now)
        self._pending.pop(pending.request.exchange_id, None)
        self._respond(response)
        self._log_end(pending, response, now)
        self._abandon(pending, now)

    def _final_response(
        self, pending: PendingRequest, now: float
    ) -> CallerResponse:
        if pending.route.shards:
            response = (
                merge_partials(pending) if pending.has_min_coverage() else None
            )
        else:
            response = relay_reply(pending)
        if response is None:
            response = failure_response(
                pending, self._retry_after(pending, now), now
            )
        return response._replace(
            route=pending.route.name, duration=now - pending.received_at
        )

    def _abandon(self, pending: PendingRequest, now: float) -> None:
        """Abandon the open attempts of a request."""
        pending.answered = True
        for sub_request in pending.sub_requests:
            self._abandon_attempts(sub_request, now)

    def _refuse(
        self,
        request: InboundRequest,
        reason: str,
        now: float,
        pending: PendingRequest | None = None,
    ) -> None:
        """Send and log the response to a request that is not sent on."""
        wait = (
            self._retry_after(pending, now)
            if pending
            else MAINTENANCE_INTERVAL_S
        )
        response = CallerResponse(
            request.exchange_id,
            HTTP_UNAVAILABLE,
            retry_after=wait,
            reason=reason,
            route=pending.route.name if pending else '',
        )
        self._respond_and_log(request, response)

    def _reject(
        self, request: InboundRequest, status: int, reason: str
    ) -> None:
        """Send and log the response to a request that can never be served."""
        response = CallerResponse(request.exchange_id, status, reason=reason)
        self._respond_and_log(request, response)

    def _respond_and_log(
        self, request: InboundRequest, response: CallerResponse
    ) -> None:
        self._respond(response)
        version = self.config.version if self.config else 0
        log_entry = refusal_entry(response, request.request_id, version)
        self.dispatcher.actions.append(log_entry)

    def _retry_after(self, pending: PendingRequest, now: float) -> float:
        queues = [
            self.dispatcher.queue(sub_request.service)
            for sub_request in pending.sub_requests
        ]
        longest_wait = max(
            queue.expected_wait(
                self.dispatcher.service_connections(sub_request.service),
                now,
                pending.work_time.typical(now),
            )
            for queue, sub_request in zip(
                queues, pending.sub_requests, strict=True
            )
        )
        backoffs = [
            target.backoff_until - now
            for sub_request in pending.sub_requests
            for target in self.target_registry.usable_targets(
                sub_request.service
            )
        ]
        shortest = min(
            (backoff for backoff in backoffs if backoff > 0), default=0
        )
        return compute_retry_after(
            longest_wait, shortest, self._longest_rest(pending, now), self._rng
        )

    def _longest_rest(self, pending: PendingRequest, now: float) -> float:
        """Return how long a service of a request has only resting targets."""
        ends = [
            self.dispatcher.earliest_rest_end(sub_request.service, now)
            for sub_request in pending.sub_requests
            if not self.dispatcher.available_targets(sub_request.service, now)
        ]
        return max((end - now for end in ends if end is not None), default=0)

    def _respond(self, response: CallerResponse) -> None:
        self.counters[f'answers_{response.status}'] += 1
        self.dispatcher.actions.append(response)

    def _log_end(
        self, pending: PendingRequest, response: CallerResponse, now: float
    ) -> None:
        """Log each unusual end of a request, and a sample of the others."""
        response_count = sum(
            count
            for name, count in self.counters.items()
            if name.startswith('answers_')
        )
        plain = (
            not response.reason
            and not response.missing_shards
            and not pending.hedge_count
        )
        if not plain or response_count % SUCCESS_LOG_INTERVAL == 0:
            self.dispatcher.actions.append(
                request_end_entry(pending, response, now)
            )

    def _route_latency(self, route: RouteConfig) -> RouteLatency:
        known = self._latencies.get(route.name)
        if known is None:
            known = RouteLatency(route.latency_goal)
            self._latencies[route.name] = known
        return known

    def _work_time(
        self, route: RouteConfig, services: Sequence[str]
    ) -> WorkTime:
        """Return the work times of a route for a service or all shards."""
        key = (route.name, '' if route.shards else services[0])
        return self._work_times.setdefault(key, WorkTime())

    def _next_service(self, route: RouteConfig) -> str:
        known = self._round_robins.get(route.name)
        if known is None:
            known = WeightedRoundRobin(route.weighted_services, self._rng)
            self._round_robins[route.name] = known
        return known.next()

    def _retry_budget(self, service: str) -> RetryBudget:
        known = self._retry_budgets.get(service)
        if known is None:
            known = RetryBudget(self.retry_policy)
            self._retry_budgets[service] = known
        return known

    def _add_timer(
        self, due: float, item: PendingRequest | SubRequestAttempt
    ) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (due, self._timer_count, item))

    def _take_actions(self) -> list[Action]:
        actions = self.dispatcher.actions
        self.dispatcher.actions = []
        return actions

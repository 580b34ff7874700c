"""The decider of a VM's requests: from a caller's request to its answer.

Every method takes the present time and returns actions; nothing here does
I/O.
"""

import heapq
from collections import Counter
from collections.abc import Collection, Mapping
from random import Random

from rosemaryweir.gateway.action import (
    Action,
    CallerResponse,
    DecodedReply,
    InboundRequest,
)
from rosemaryweir.gateway.attempt_dispatcher import AttemptDispatcher
from rosemaryweir.gateway.attempt_outcome import Outcome, outcome_of
from rosemaryweir.gateway.final_response import (
    HTTP_UNAVAILABLE,
    failure,
    merged,
    passed_on,
)
from rosemaryweir.gateway.log_entries import (
    note_of_end,
    note_of_lost_piece,
    note_of_refusal,
)
from rosemaryweir.gateway.model import Configuration, RouteConfig, TargetEntry
from rosemaryweir.gateway.pending_request import Attempt, Job, Piece
from rosemaryweir.gateway.quota import VmInfo
from rosemaryweir.gateway.retry_budget import RetryBudget, RetryBudgetPolicy
from rosemaryweir.gateway.round_robin import WeightedTurns
from rosemaryweir.gateway.route_latency import Pace
from rosemaryweir.gateway.route_table import RouteTable
from rosemaryweir.gateway.target_registry import TargetRegistry
from rosemaryweir.gateway.timing import (
    CUT_S,
    TICK_S,
    Clockwork,
    Lag,
    aim_of,
    deadline_of,
    retry_after,
)

__all__ = ['Gateway']

HTTP_NOT_FOUND = 404
HTTP_BAD_REQUEST = 400
#: Sends of one piece, those included that were turned away.
MOST_SENDS = 5
#: One success in so many is logged.
LOGGED_SHARE = 50


class Gateway:
    """Requests under way on one VM.

    Parameters
    ----------
    own : VmPlace
        The VM and its failure domain.
    rule : SpendingRule
        Allowance of extra sends.
    rng : random.Random
        Source of chance.

    Attributes
    ----------
    counters : Counter
        What became of requests and attempts, for the metrics.
    """

    def __init__(
        self,
        own: VmInfo,
        rule: RetryBudgetPolicy,
        rng: Random,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.target_registry = TargetRegistry()
        self.dispatcher = AttemptDispatcher(self.target_registry, own, rng)
        self.config: Configuration | None = None
        self.retry_policy = rule
        self._rng = rng
        self._table = RouteTable(())
        self._turns: dict[str, WeightedTurns] = {}
        self._paces: dict[str, Pace] = {}
        self._spending: dict[str, RetryBudget] = {}
        self._jobs: dict[int, Job] = {}
        self._timers: list[tuple[float, int, Job | Attempt]] = []
        self._clockwork = Clockwork()
        self._lag = Lag()
        self._ticked = 0.0
        self._order = 0

    def __len__(self) -> int:
        """Return the number of requests under way."""
        return len(self._jobs)

    def next_wake(self) -> float:
        """Return when `wake` wants to run."""
        due = self._ticked + TICK_S
        return min(due, self._timers[0][0]) if self._timers else due

    def wake(self, now: float) -> list[Action]:
        """Do what is due."""
        while self._timers and self._timers[0][0] <= now:
            due, _, item = heapq.heappop(self._timers)
            self._lag.fired(due, now)
            if isinstance(item, Attempt):
                self._cut_if_open(item, now)
            elif not item.answered:
                self._look(item, now)
        if now - self._ticked >= TICK_S:
            self._ticked = now
            self.dispatcher.close_idle(now)
        return self._take()

    def configure(self, config: Configuration) -> list[Action]:
        """Put a version of the configuration in force."""
        self.config = config
        self._table = RouteTable(config.routes)
        self.dispatcher.bounds = dict(config.services)
        kept = {route.name: route for route in config.routes}
        self._turns = {
            name: turns
            for name, turns in self._turns.items()
            if name in kept and kept[name].weighted_services == turns.shares
        }
        return self._take()

    def update_targets(
        self,
        entries: Mapping[str, TargetEntry],
        closed: Collection[str],
        now: float,
    ) -> list[Action]:
        """Take the targets that live and the failure domains taken out."""
        for target in self.target_registry.apply(entries, closed, now):
            self.dispatcher.release(target)
        return self._take()

    def domain_coverage(self) -> dict[str, float]:
        """Return the share of all shards that each failure domain holds."""
        return self.target_registry.domain_coverage(self._table.shards)

    def handle_request(self, ask: InboundRequest, now: float) -> list[Action]:
        """Take a caller's request."""
        if self.config is None:
            self._refuse(ask, 'no configuration is known yet', now)
            return self._take()
        route = self._table.find(ask.host, ask.target)
        if route is None:
            self._answer(
                CallerResponse(
                    ask.exchange_id, HTTP_NOT_FOUND, reason='no route'
                )
            )
            return self._take()
        if not ask.request_id:
            reason = 'the request has no id'
            self._answer(
                CallerResponse(ask.exchange_id, HTTP_BAD_REQUEST, reason=reason)
            )
            return self._take()
        self._begin(ask, route, now)
        return self._take()

    def caller_disconnected(self, req: int, now: float) -> list[Action]:
        """Take that a caller hung up before its answer."""
        job = self._jobs.pop(req, None)
        if job is not None:
            self.counters['left'] += 1
            self._retire(job, now)
        return self._take()

    def connection_opened(self, conn: int, now: float) -> list[Action]:
        """Take that a connection stands."""
        self.dispatcher.opened(conn, now)
        return self._take()

    def connection_lost(
        self, number: int, reason: str, now: float
    ) -> list[Action]:
        """Take that a connection ended, or could not be opened."""
        conn = self.dispatcher.closed(number)
        if conn is None:
            return self._take()
        attempt = conn.attempt
        if attempt is not None:
            self.dispatcher.finish(attempt)
            conn.target.failed(now)
            self.counters['attempts_lost'] += 1
            self._settle(attempt, Outcome('lost', None, reason), now)
        elif not conn.opened:
            conn.target.lost(now)
            self.counters['connects_failed'] += 1
            self._replace_waiting(conn.target.entry.service, now)
        return self._take()

    def reply_received(
        self,
        number: int,
        reply: DecodedReply,
        reusable: bool,
        keep_for: float | None,
        now: float,
    ) -> list[Action]:
        """Take a whole reply on a connection."""
        conn = self.dispatcher.conn(number)
        if conn is None or conn.attempt is None:
            return self._take()
        attempt = conn.attempt
        target = conn.target
        outcome = outcome_of(reply, attempt.piece.job.ask.request_id)
        if reply.cold_seconds is not None:
            target.cold_until = now + reply.cold_seconds
        self.dispatcher.finish(attempt)
        took = now - attempt.sent
        pace = attempt.piece.job.pace
        if outcome.kind == 'served':
            target.answered(took, pace.usual(now), now)
            pace.took(took, now)
            self.dispatcher.lane(attempt.piece.service).took(took)
        elif outcome.kind == 'misdirected':
            target.gone = True
        elif outcome.kind == 'not_run':
            target.full(now)
        else:
            target.failed(now)
        if outcome.kind == 'stray':
            self.dispatcher.cut(attempt)
        elif reusable:
            self.dispatcher.freed(conn, keep_for, now)
        else:
            self.dispatcher.closed(number)
        self._settle(attempt, outcome, now)
        return self._take()

    def _begin(
        self, ask: InboundRequest, route: RouteConfig, now: float
    ) -> None:
        config = self.config
        assert config is not None  # noqa: S101
        job = Job(ask, route, config.version, self._pace(route), now)
        spent = self._clockwork.spent(route.name, ask.time_left)
        job.deadline = deadline_of(route, ask, now)
        job.aim = aim_of(route, ask, spent, self._lag.seconds, now)
        services = route.shards or (self._turn(route),)
        job.pieces = [Piece(job, service) for service in services]
        hopeless = [piece for piece in job.pieces if self._hopeless(piece, now)]
        allowed = (1 - route.min_coverage) * len(job.pieces)
        if len(hopeless) > allowed + 1e-9 or len(hopeless) == len(job.pieces):
            self._refuse(ask, 'too few targets can serve it now', now, job)
            return
        self._jobs[ask.exchange_id] = job
        for piece in job.pieces:
            if piece in hopeless:
                piece.over = True
                self.counters['pieces_hopeless'] += 1
            else:
                self._extra(piece.service).request(now)
                self.dispatcher.place(piece, now)
        self._arm(job, now)

    def _hopeless(self, piece: Piece, now: float) -> bool:
        targets = self.dispatcher.available(piece.service, now)
        if not targets:
            return True
        connections = sum(map(self.dispatcher.room, targets))
        lane = self.dispatcher.lane(piece.service)
        return now + lane.wait(connections) > piece.job.deadline

    def _arm(self, job: Job, now: float) -> None:
        due = [job.deadline]
        if job.aim > now and job.route.shards:
            due.append(job.aim)
        if any(not piece.over for piece in job.pieces):
            patience = self._patience(job, now)
            late = job.came + patience
            due.append(late if late > now else now + patience / 2)
        self._at(min(due), job)

    def _look(self, job: Job, now: float) -> None:
        if now >= job.deadline:
            self._finish(job, now)
            return
        if job.route.shards and now >= job.aim and job.enough():
            self._finish(job, now)
            return
        patience = self._patience(job, now)
        for piece in job.pieces:
            if piece.over:
                continue
            if piece.waiting:
                self.dispatcher.place(piece, now, piece.wants_hedge)
            elif now - piece.open[-1].sent >= patience * 0.999:
                self._hedge(piece, now)
        self._arm(job, now)

    def _patience(self, job: Job, now: float) -> float:
        return job.pace.patience(now, job.aim - job.came)

    def _hedge(self, piece: Piece, now: float) -> None:
        job = piece.job
        if not job.route.idempotent or len(piece.open) > 1:
            return
        if piece.ran >= job.route.max_targets:
            return
        if now + job.pace.usual(now) > job.deadline:
            return
        choice = self.dispatcher.best(piece, now)
        if choice is None or not choice.sound:
            return
        if not self._extra(piece.service).spend(now):
            self.counters['hedges_unaffordable'] += 1
            return
        job.hedges += 1
        self.counters['hedges'] += 1
        self.dispatcher.place(piece, now, hedge=True)

    def _settle(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Take the outcome of an attempt for its request."""
        piece = attempt.piece
        job = piece.job
        if job.answered or piece.over:
            return
        if outcome.not_run:
            piece.ran -= 1
            # It may be asked again: it did nothing yet.
            piece.tried.discard(attempt.target)
        if outcome.kind == 'served' or (
            outcome.kind == 'failed' and not job.route.shards
        ):
            piece.reply = outcome.reply
        if outcome.kind == 'served':
            self._drop_rivals(piece, now)
            piece.over = True
        elif not piece.open and not self._again(piece, now):
            piece.over = True
            note = note_of_lost_piece(piece, attempt, outcome, now)
            self.dispatcher.out.append(note)
        if self._decided(job, now):
            self._finish(job, now)

    def _decided(self, job: Job, now: float) -> bool:
        """Return whether waiting longer would change nothing for the better.

        A query that can't reach its least coverage any more fails at once:
        its caller has time left for another try.
        """
        if job.over or not job.attainable():
            return True
        return bool(job.route.shards) and now >= job.aim and job.enough()

    def _again(self, piece: Piece, now: float) -> bool:
        """Send a piece once more; return whether it will be."""
        job = piece.job
        repeatable = job.route.idempotent or piece.ran == 0
        if piece.waiting:
            return True
        if piece.sends >= MOST_SENDS:
            return False
        if not repeatable or piece.ran >= job.route.max_targets:
            return False
        if now + job.pace.usual(now) > job.deadline:
            return False
        choice = self.dispatcher.best(piece, now)
        if choice is None or not self._extra(piece.service).spend(now):
            return False
        self.counters['retries'] += 1
        self.dispatcher.place(piece, now)
        return True

    def _drop_rivals(self, piece: Piece, now: float) -> None:
        """Let other attempts at a piece end, or cut them after a while."""
        self.dispatcher.lane(piece.service).drop(piece)
        for attempt in piece.open:
            self._at(now + CUT_S, attempt)

    def _cut_if_open(self, attempt: Attempt, now: float) -> None:
        if attempt.number in self.dispatcher.attempts:
            conn = self.dispatcher.conn(attempt.conn)
            if conn is not None:
                conn.target.lost(now)
            self.counters['attempts_cut'] += 1
            self.dispatcher.cut(attempt)

    def _replace_waiting(self, service: str, now: float) -> None:
        for piece in tuple(self.dispatcher.lane(service).waiting):
            self.dispatcher.place(piece, now, piece.wants_hedge)

    def _finish(self, job: Job, now: float) -> None:
        """Give the final answer."""
        answer = self._final(job, now)
        self._jobs.pop(job.ask.exchange_id, None)
        self._answer(answer)
        self._note_end(job, answer, now)
        self._retire(job, now)

    def _final(self, job: Job, now: float) -> CallerResponse:
        if job.route.shards:
            answer = merged(job) if job.enough() else None
        else:
            answer = passed_on(job)
        if answer is None:
            answer = failure(job, self._return_after(job, now), now)
        return answer._replace(route=job.route.name, duration=now - job.came)

    def _retire(self, job: Job, now: float) -> None:
        job.answered = True
        for piece in job.pieces:
            self._drop_rivals(piece, now)

    def _refuse(
        self,
        ask: InboundRequest,
        reason: str,
        now: float,
        job: Job | None = None,
    ) -> None:
        wait = self._return_after(job, now) if job else TICK_S
        answer = CallerResponse(
            ask.exchange_id,
            HTTP_UNAVAILABLE,
            retry_after=wait,
            reason=reason,
            route=job.route.name if job else '',
        )
        self._answer(answer)
        version = self.config.version if self.config else 0
        note = note_of_refusal(answer, ask.request_id, version)
        self.dispatcher.out.append(note)

    def _return_after(self, job: Job, now: float) -> float:
        lanes = [self.dispatcher.lane(piece.service) for piece in job.pieces]
        queue = max(
            lane.wait(self.dispatcher.connections(piece.service))
            for lane, piece in zip(lanes, job.pieces, strict=True)
        )
        rests = [
            target.rests_until - now
            for piece in job.pieces
            for target in self.target_registry.usable(piece.service)
        ]
        free = min((rest for rest in rests if rest > 0), default=0)
        return retry_after(queue, free, self._rng)

    def _answer(self, answer: CallerResponse) -> None:
        self.counters[f'answers_{answer.status}'] += 1
        self.dispatcher.out.append(answer)

    def _note_end(self, job: Job, answer: CallerResponse, now: float) -> None:
        ended = sum(
            count
            for name, count in self.counters.items()
            if name.startswith('answers_')
        )
        plain = (
            not answer.reason and not answer.missing_shards and not job.hedges
        )
        if not plain or ended % LOGGED_SHARE == 0:
            self.dispatcher.out.append(note_of_end(job, answer, now))

    def _pace(self, route: RouteConfig) -> Pace:
        known = self._paces.get(route.name)
        if known is None:
            known = Pace(route.latency_goal)
            self._paces[route.name] = known
        return known

    def _turn(self, route: RouteConfig) -> str:
        known = self._turns.get(route.name)
        if known is None:
            known = WeightedTurns(route.weighted_services, self._rng)
            self._turns[route.name] = known
        return known.next()

    def _extra(self, service: str) -> RetryBudget:
        known = self._spending.get(service)
        if known is None:
            known = RetryBudget(self.retry_policy)
            self._spending[service] = known
        return known

    def _at(self, due: float, item: Job | Attempt) -> None:
        self._order += 1
        heapq.heappush(self._timers, (due, self._order, item))

    def _take(self) -> list[Action]:
        out = self.dispatcher.out
        self.dispatcher.out = []
        return out

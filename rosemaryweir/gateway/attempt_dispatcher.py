"""Dispatch of sub-requests onto connections: selects, queues, sends, aborts."""

from itertools import count
from random import Random

from rosemaryweir.gateway.action import (
    Action,
    CloseTargetConnection,
    OpenTargetConnection,
    SendAttempt,
)
from rosemaryweir.gateway.cold_start import ColdStartLimiter, choose_owner
from rosemaryweir.gateway.model import TargetLimits
from rosemaryweir.gateway.pending_request import SubRequest, SubRequestAttempt
from rosemaryweir.gateway.quota import ConnectionQuota, VmInfo
from rosemaryweir.gateway.service_queue import ServiceQueue
from rosemaryweir.gateway.target_registry import TargetRegistry
from rosemaryweir.gateway.target_selector import SelectedTarget, TargetSelector
from rosemaryweir.gateway.target_state import Connection, TargetState

__all__ = ['AttemptDispatcher']

#: Time-out of opening a connection to a target, in seconds: enough for a pause
#: of the target and one retransmitted packet.
CONNECT_TIMEOUT_S = 0.6
#: A request that may run only once is sent only on a connection that was used
#: or opened at most this long ago, in seconds. If the target had dropped the
#: connection unnoticed, it would be unknown whether the request ran.
MAX_IDLE_NON_IDEMPOTENT_S = 0.25
#: Limits that are assumed for the targets of an unknown service.
DEFAULT_TARGET_LIMITS = TargetLimits(connections=1)


class AttemptDispatcher:
    """Connections of one VM to all targets, and the queues for them.

    Parameters
    ----------
    target_registry : TargetRegistry
        The targets.
    own : VmInfo
        The VM and its failure domain.
    rng : random.Random
        Source of randomness.

    Attributes
    ----------
    actions : list of Action
        Actions to perform; the handler of an event takes them.
    target_limits : dict of str to TargetLimits
        Limits of the targets of each service.
    connection_quota : ConnectionQuota
        Number of connections that this VM may have to each target.
    attempts : dict of int to SubRequestAttempt
        Attempts without an outcome, by number.
    """

    def __init__(
        self, target_registry: TargetRegistry, own: VmInfo, rng: Random
    ) -> None:
        self.actions: list[Action] = []
        self.target_limits: dict[str, TargetLimits] = {}
        self.connection_quota = ConnectionQuota(own)
        self.attempts: dict[int, SubRequestAttempt] = {}
        self._target_registry = target_registry
        self._selector = TargetSelector(own.domain, rng)
        self._conns: dict[int, Connection] = {}
        self._queues: dict[str, ServiceQueue] = {}
        self._overdue: list[SubRequest] = []
        self._numbers = count(1)

    def queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        known = self._queues.get(service)
        if known is None:
            known = ServiceQueue()
            self._queues[service] = known
        return known

    def take_overdue(self) -> list[SubRequest]:
        """Return sub-requests that waited too long to end in time, once."""
        overdue = self._overdue
        self._overdue = []
        return overdue

    def conn(self, number: int) -> Connection | None:
        """Return a connection that is open or opening."""
        return self._conns.get(number)

    def max_connections(self, target: TargetState) -> int:
        """Return how many connections this VM may have to a target."""
        entry = target.entry
        limits = self.target_limits.get(entry.service, DEFAULT_TARGET_LIMITS)
        return self.connection_quota.max_connections(
            entry.name, entry.domain, limits.connections, entry.slots
        )

    def service_connections(self, service: str) -> int:
        """Return how many connections this VM may have to a service."""
        return sum(
            map(
                self.max_connections,
                self._target_registry.usable_targets(service),
            )
        )

    def available_targets(self, service: str, now: float) -> list[TargetState]:
        """Return the targets of a service that are expected to reply now."""
        return [
            target
            for target in self._target_registry.usable_targets(service)
            if target.backoff_until <= now and self._may_use(target, now)
        ]

    def earliest_rest_end(self, service: str, now: float) -> float | None:
        """Return when the first resting target of a service may be used.

        None if none of its targets rests.
        """
        ends = (
            target.notices.rest_until
            for target in self._target_registry.usable_targets(service)
            if target.notices.rests(now)
        )
        return min(ends, default=None)

    def select_target(
        self, sub_request: SubRequest, now: float
    ) -> SelectedTarget | None:
        """Return the best target that a sub-request was not yet sent to."""
        candidates = [
            target
            for target in self._target_registry.usable_targets(
                sub_request.service
            )
            if target.entry.name not in sub_request.tried_targets
            and self._may_use(target, now)
        ]
        return self._selector.select(
            candidates, self.max_connections, now, sub_request.used_conns
        )

    def _may_use(self, target: TargetState, now: float) -> bool:
        return self.max_connections(target) > 0 and self._may_send(target, now)

    def _may_send(self, target: TargetState, now: float) -> bool:
        """Return whether a target may get a request on an open connection."""
        if target.notices.asked and not target.notices.admits(
            target.in_flight, now
        ):
            return False
        return self._is_warm_enough(target, now)

    def _is_warm_enough(self, target: TargetState, now: float) -> bool:
        """Return whether the limit of a cold target admits a request now."""
        limits = self.target_limits.get(
            target.entry.service, DEFAULT_TARGET_LIMITS
        )
        if not limits.cold_rate or now >= target.cold_until:
            return True
        if (
            choose_owner(target.entry.name, self.connection_quota.vms)
            != self.connection_quota.own
        ):
            return False
        if target.cold_limiter is None:
            target.cold_limiter = ColdStartLimiter(limits.cold_rate, now)
        return target.cold_limiter.has_token(now)

    def send_or_queue(
        self, sub_request: SubRequest, now: float, hedge: bool = False
    ) -> None:
        """Send a sub-request, or queue it until a connection is idle."""
        selected = self.select_target(sub_request, now)
        if selected is not None and selected.has_idle:
            conn = self._take_idle(selected.target, sub_request, now)
            if conn is not None:
                self.queue(sub_request.service).discard(sub_request)
                self._send(sub_request, conn, now, hedge)
                return
        if not sub_request.queued:
            self.queue(sub_request.service).add(sub_request)
        sub_request.queued_hedge = hedge
        if selected is not None:
            self._open(selected.target, sub_request, now)

    def connection_opened(self, number: int, now: float) -> None:
        """Use a connection that was opened."""
        conn = self._conns.get(number)
        if conn is not None:
            conn.target.connection_opened(conn)
            conn.mark_idle(now, None)
            self._use_idle(conn, now)

    def connection_idle(
        self, conn: Connection, keep_alive: float | None, now: float
    ) -> None:
        """Use a connection that became idle."""
        conn.mark_idle(now, keep_alive)
        self._use_idle(conn, now)

    def remove_connection(self, number: int) -> Connection | None:
        """Remove a connection that was closed, and return it."""
        conn = self._conns.pop(number, None)
        if conn is not None:
            conn.target.connection_closed(conn)
        return conn

    def abort(self, attempt: SubRequestAttempt) -> None:
        """Close the connection of an attempt, so that its target stops."""
        self.finish(attempt)
        if self.remove_connection(attempt.conn) is not None:
            self.actions.append(CloseTargetConnection(attempt.conn))

    def finish(self, attempt: SubRequestAttempt) -> None:
        """Remove an attempt that has an outcome."""
        self.attempts.pop(attempt.number, None)
        self.queue(attempt.sub_request.service).attempt_ended(attempt.number)
        target = self._target_registry.get(attempt.target_name)
        conn = self._conns.get(attempt.conn)
        if conn is not None:
            conn.target.attempt_ended(attempt)
        if target is not None:
            target.attempt_ended(attempt)
        if attempt in attempt.sub_request.open_attempts:
            attempt.sub_request.open_attempts.remove(attempt)

    def close_idle_connections(self, target: TargetState) -> None:
        """Close the idle connections of a target that gets no requests."""
        for conn in tuple(target.idle):
            self._close(conn)

    def close_expired(self, now: float) -> None:
        """Close idle connections that their targets are about to close."""
        expired = [
            conn
            for conn in self._conns.values()
            if conn.idle and conn.usable_until <= now
        ]
        for conn in expired:
            self._close(conn)

    def _use_idle(self, conn: Connection, now: float) -> None:
        """Send the next queued sub-request, or keep the connection idle."""
        target = conn.target
        if not self._target_registry.is_usable(target):
            self._close(conn)
            return
        sub_request = None
        if self._may_send(target, now):
            sub_request, overdue = self.queue(target.entry.service).pop_next(
                conn, now
            )
            self._overdue.extend(overdue)
        if sub_request is None:
            target.idle.append(conn)
        else:
            self._send(sub_request, conn, now, sub_request.queued_hedge)

    def _take_idle(
        self,
        target: TargetState,
        sub_request: SubRequest,
        now: float,
    ) -> Connection | None:
        """Return an idle connection; close those that are unsafe to use."""
        for conn in reversed(tuple(target.idle)):
            if conn.number in sub_request.used_conns:
                continue
            recent = (
                now - conn.idle_since <= MAX_IDLE_NON_IDEMPOTENT_S
                or not conn.used
            )
            if conn.usable_until > now and (
                recent or sub_request.parent.route.idempotent
            ):
                target.idle.remove(conn)
                return conn
            self._close(conn)
        return None

    def _send(
        self,
        sub_request: SubRequest,
        conn: Connection,
        now: float,
        hedge: bool,
    ) -> None:
        pending = sub_request.parent
        target = conn.target
        if target.cold_limiter is not None:
            target.cold_limiter.try_take(now)
        attempt = SubRequestAttempt(
            next(self._numbers),
            sub_request,
            target.entry.name,
            conn.number,
            now,
            hedge,
        )
        self.attempts[attempt.number] = attempt
        self.queue(sub_request.service).attempt_sent(attempt.number, now)
        conn.attempt = attempt
        conn.used = True
        sub_request.open_attempts.append(attempt)
        sub_request.tried_targets.add(target.entry.name)
        sub_request.used_conns += (conn.number,)
        sub_request.send_count += 1
        sub_request.possible_runs += 1
        allowed = pending.latency.hedge_delay(now) * max(
            1.0, target.slowness(now)
        )
        target.attempt_started(attempt, now + allowed)
        self.actions.append(
            SendAttempt(
                conn.number,
                attempt.number,
                pending.request,
                target.entry.name,
                pending.deadline - now,
            ),
        )

    def _open(
        self, target: TargetState, sub_request: SubRequest, now: float
    ) -> None:
        """Open a connection for a sub-request that waits, if one is allowed.

        If the sub-request was sent on all connections of the target, and no
        further one is allowed, an idle one is replaced.
        """
        service = target.entry.service
        if target.opening > len(self.queue(service)):
            return
        if len(target.connections) >= self.max_connections(target):
            all_used = target.connections.keys() <= set(sub_request.used_conns)
            if not (all_used and target.idle):
                return
            self._close(target.idle[0])
        conn = Connection(next(self._numbers), target, now)
        self._conns[conn.number] = conn
        target.connection_opening(conn, now)
        self.actions.append(
            OpenTargetConnection(
                conn.number,
                target.entry.address,
                CONNECT_TIMEOUT_S,
                target.entry.domain,
            ),
        )

    def _close(self, conn: Connection) -> None:
        self.remove_connection(conn.number)
        self.actions.append(CloseTargetConnection(conn.number))

"""Pieces onto connections: placing, waiting, sending, cutting."""

from itertools import count
from random import Random

from rosemaryweir.gateway.action import (
    Action,
    CloseTargetConnection,
    OpenTargetConnection,
    SendAttempt,
)
from rosemaryweir.gateway.cold_start import ColdGate, keeper
from rosemaryweir.gateway.model import TargetLimits
from rosemaryweir.gateway.pending_request import Attempt, Piece
from rosemaryweir.gateway.quota import ConnectionQuota, VmInfo
from rosemaryweir.gateway.service_queue import Lane
from rosemaryweir.gateway.target_registry import TargetRegistry
from rosemaryweir.gateway.target_selector import Choice, Placement
from rosemaryweir.gateway.target_state import Connection, Target

__all__ = ['AttemptDispatcher']

#: Time for a connection to a target, in seconds: a pause of a target, and
#: one packet that is sent again.
CONNECT_S = 0.6
#: A request that may run only once is sent only on a connection that was
#: used or opened at most so long ago, in seconds: one that the target has
#: dropped unseen would leave it unknown whether the request ran.
FRESH_S = 0.25
#: Connections that a service is taken to accept when none is known.
UNKNOWN_BOUNDS = TargetLimits(connections=1)


class AttemptDispatcher:
    """Connections of one VM to all targets, and what waits for them.

    Parameters
    ----------
    fleet : Fleet
        The targets.
    own : VmPlace
        The VM and its failure domain.
    rng : random.Random
        Source of chance.

    Attributes
    ----------
    out : list of Action
        What is to be done; whoever handles an event takes it.
    bounds : dict of str to ServiceBounds
        What targets of each service bear.
    connection_quota : ConnectionShares
        Connections that this VM may have of those.
    """

    def __init__(self, fleet: TargetRegistry, own: VmInfo, rng: Random) -> None:
        self.out: list[Action] = []
        self.bounds: dict[str, TargetLimits] = {}
        self.connection_quota = ConnectionQuota(own)
        self.attempts: dict[int, Attempt] = {}
        self._fleet = fleet
        self._placement = Placement(own.domain, rng)
        self._conns: dict[int, Connection] = {}
        self._lanes: dict[str, Lane] = {}
        self._numbers = count(1)

    def lane(self, service: str) -> Lane:
        """Return the queue of a service."""
        known = self._lanes.get(service)
        if known is None:
            known = Lane()
            self._lanes[service] = known
        return known

    def conn(self, number: int) -> Connection | None:
        """Return a connection that is open or opening."""
        return self._conns.get(number)

    def room(self, target: Target) -> int:
        """Return how many connections this VM may have to a target."""
        entry = target.entry
        bounds = self.bounds.get(entry.service, UNKNOWN_BOUNDS)
        return self.connection_quota.room(
            entry.name, entry.domain, bounds.connections
        )

    def connections(self, service: str) -> int:
        """Return how many connections this VM may have to a service."""
        return sum(map(self.room, self._fleet.usable(service)))

    def available(self, service: str, now: float) -> list[Target]:
        """Return the targets that are expected to answer now."""
        return [
            target
            for target in self._fleet.usable(service)
            if target.rests_until <= now and self._may_use(target, now)
        ]

    def best(self, piece: Piece, now: float) -> Choice | None:
        """Return the best target for a piece that wasn't sent to it yet."""
        candidates = [
            target
            for target in self._fleet.usable(piece.service)
            if target.entry.name not in piece.tried
            and self._may_use(target, now)
        ]
        return self._placement.choose(candidates, self.room, now)

    def _may_use(self, target: Target, now: float) -> bool:
        return self.room(target) > 0 and self._bears(target, now)

    def _bears(self, target: Target, now: float) -> bool:
        """Return whether a target may get a request now, if it is cold."""
        bounds = self.bounds.get(target.entry.service, UNKNOWN_BOUNDS)
        if not bounds.cold_rate or now >= target.cold_until:
            return True
        if (
            keeper(target.entry.name, self.connection_quota.vms)
            != self.connection_quota.own
        ):
            return False
        if target.cold_gate is None:
            target.cold_gate = ColdGate(bounds.cold_rate, now)
        return target.cold_gate.open(now)

    def place(self, piece: Piece, now: float, hedge: bool = False) -> None:
        """Send a piece, or let it wait for a connection."""
        choice = self.best(piece, now)
        if choice is not None and choice.free:
            conn = self._take_idle(choice.target, piece, now)
            if conn is not None:
                self.lane(piece.service).drop(piece)
                self._send(piece, conn, now, hedge)
                return
        if not piece.waiting:
            self.lane(piece.service).push(piece)
        piece.wants_hedge = hedge
        if choice is not None:
            self._open(choice.target, now)

    def opened(self, number: int, now: float) -> None:
        """Take that a connection stands."""
        conn = self._conns.get(number)
        if conn is not None:
            conn.target.opened(conn)
            conn.rest(now, None)
            self._serve(conn, now)

    def freed(
        self, conn: Connection, keep_for: float | None, now: float
    ) -> None:
        """Take that a connection is free again."""
        conn.rest(now, keep_for)
        self._serve(conn, now)

    def closed(self, number: int) -> Connection | None:
        """Forget a connection that ended; return it."""
        conn = self._conns.pop(number, None)
        if conn is not None:
            conn.target.closed(conn)
        return conn

    def cut(self, attempt: Attempt) -> None:
        """Drop the connection of an attempt: its target stops the work."""
        self.finish(attempt)
        if self.closed(attempt.conn) is not None:
            self.out.append(CloseTargetConnection(attempt.conn))

    def finish(self, attempt: Attempt) -> None:
        """Note that an attempt has an outcome."""
        self.attempts.pop(attempt.number, None)
        target = self._fleet.get(attempt.target)
        conn = self._conns.get(attempt.conn)
        if conn is not None:
            conn.target.ends(attempt)
        if target is not None:
            target.ends(attempt)
        if attempt in attempt.piece.open:
            attempt.piece.open.remove(attempt)

    def release(self, target: Target) -> None:
        """Close the free connections of a target that is given up."""
        for conn in tuple(target.idle):
            self._close(conn)

    def close_idle(self, now: float) -> None:
        """Close connections that their targets are about to close."""
        stale = [
            conn
            for conn in self._conns.values()
            if conn.idle and conn.usable_until <= now
        ]
        for conn in stale:
            self._close(conn)

    def _serve(self, conn: Connection, now: float) -> None:
        target = conn.target
        known = self._fleet.get(target.entry.name)
        if known is not target or target.entry.draining:
            self._close(conn)
            return
        piece = None
        if self._bears(target, now):
            piece = self.lane(target.entry.service).next(target, now)
        if piece is None:
            target.idle.append(conn)
        else:
            self._send(piece, conn, now, piece.wants_hedge)

    def _take_idle(
        self,
        target: Target,
        piece: Piece,
        now: float,
    ) -> Connection | None:
        while target.idle:
            conn = target.idle.pop()
            fresh = now - conn.idle_since <= FRESH_S or not conn.carried
            if conn.usable_until > now and (
                fresh or piece.job.route.idempotent
            ):
                return conn
            self._close(conn)
        return None

    def _send(
        self,
        piece: Piece,
        conn: Connection,
        now: float,
        hedge: bool,
    ) -> None:
        job = piece.job
        target = conn.target
        if target.cold_gate is not None:
            target.cold_gate.admit(now)
        attempt = Attempt(
            next(self._numbers),
            piece,
            target.entry.name,
            conn.number,
            now,
            hedge,
        )
        self.attempts[attempt.number] = attempt
        conn.attempt = attempt
        conn.carried = True
        piece.open.append(attempt)
        piece.tried.add(target.entry.name)
        piece.sends += 1
        piece.ran += 1
        slack = job.pace.patience(now) * max(1.0, target.slowness(now))
        target.sends(attempt, now + slack)
        self.out.append(
            SendAttempt(
                conn.number,
                attempt.number,
                job.ask,
                target.entry.name,
                job.deadline - now,
            ),
        )

    def _open(self, target: Target, now: float) -> None:
        service = target.entry.service
        if target.opening > len(self.lane(service).waiting):
            return
        if len(target.connections) >= self.room(target):
            return
        conn = Connection(next(self._numbers), target, now)
        self._conns[conn.number] = conn
        target.opens(conn, now)
        self.out.append(
            OpenTargetConnection(conn.number, target.entry.address, CONNECT_S),
        )

    def _close(self, conn: Connection) -> None:
        self.closed(conn.number)
        self.out.append(CloseTargetConnection(conn.number))

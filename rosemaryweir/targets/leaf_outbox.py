"""Messages of a leaf to entries and other leaves."""

from collections.abc import Mapping
from itertools import islice
from typing import Any

from rosemaryweir.node.action import Action, SendPeer
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Member
from rosemaryweir.schema.generated.orders import OrderResult
from rosemaryweir.schema.generated.query import Load, Partial
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.order_memory import OrderMemory
from rosemaryweir.targets.outcome import Outcome
from rosemaryweir.targets.results import TICK, Batch, Route, partials_of
from rosemaryweir.targets.target_attempt import TargetAttempt
from rosemaryweir.targets.timers import Timers

__all__ = ['LeafOutbox']

MS_PER_S = 1000.0
#: Time in which a message must leave, in s.
SEND_WITHIN = 1.0
#: Time between two tellings of the load of all targets to an entry, in s.
PENDING_EVERY = 0.004
#: Former members that still get answers.
FORMER_KEPT = 64
#: Results of orders by status of the reply; the target refused the first.
ORDER_RESULTS = {
    'shed': 'refused',
    'wrong_version': 'refused',
    'ok': 'done',
    'failed': 'failed',
}


class LeafOutbox:
    """Turns outcomes of attempts into messages to those who asked.

    Parameters
    ----------
    state : NodeState
        Knows the addresses of the members.
    timers : Timers
        Where the ticks are put.
    target_states : mapping of str to Account
        The targets, whose load is told along.
    """

    def __init__(
        self,
        state: NodeState,
        timers: Timers,
        target_states: Mapping[str, LeafTargetState],
    ) -> None:
        self.state = state
        self.timers = timers
        self.target_states = target_states
        self.actions: list[Action] = []
        self.orders = OrderMemory()
        self._batches: dict[tuple[str, str], Batch] = {}
        self._members: dict[str, Member] = {}
        self._pending_due: dict[str, float] = {}

    def members_changed(self) -> None:
        """Look up the addresses of the members anew.

        Notes
        -----
        A VM that leaves is out of its view at once, but its entry serves on
        until no caller has its address; so former members are kept.
        """
        members = {each['vm']: each for each in self.state.members()}
        former = (
            (vm, each)
            for vm, each in self._members.items()
            if vm not in members
        )
        self._members = {**dict(islice(former, FORMER_KEPT)), **members}

    def batch(self, sender: str, query: str, until: float) -> Batch:
        """Return the batch of a query of an entry."""
        batch = self._batches.get((sender, query))
        if batch is None:
            batch = Batch(sender, query)
            self._batches[(sender, query)] = batch
        batch.until = max(batch.until, until)
        return batch

    def settle(
        self, attempt: TargetAttempt, outcome: Outcome, now: float
    ) -> None:
        """Tell the outcome of an attempt, once, to who asked for it."""
        route = attempt.batch
        attempt.batch = None
        if isinstance(route, Batch):
            self._settle_piece(route, attempt, outcome, now)
        elif isinstance(route, Route):
            self._settle_order(route, attempt, outcome, now)

    def send(
        self,
        peer: str,
        message: Mapping[str, Any],
        now: float,
    ) -> None:
        """Send a message to a peer, if its address is known."""
        vm, _, role = peer.partition('/')
        member = self._members.get(vm)
        address = None if member is None else member.get(f'{role}_peer')
        if not address:
            return
        self.actions.append(
            SendPeer(peer, str(address), message, now + SEND_WITHIN),
        )

    def _settle_piece(
        self,
        batch: Batch,
        attempt: TargetAttempt,
        outcome: Outcome,
        now: float,
    ) -> None:
        first = batch.settle(_partial(attempt, outcome, now))
        if batch.pending <= 0:
            self._flush(batch, now)
        elif first:
            self.timers.at(now + TICK, self._flush, batch)

    def _flush(self, batch: Batch, now: float) -> None:
        if batch.pending <= 0:
            self._batches.pop((batch.sender, batch.query), None)
        if batch.settled:
            message = partials_of(batch, self._loads(now))
            if now >= self._pending_due.get(batch.sender, 0):
                self._pending_due[batch.sender] = now + PENDING_EVERY
                message['pending'] = self._pending(now)
            self.send(batch.sender, message, now)

    def _pending(self, now: float) -> dict[str, int]:
        return {
            name: target_state.crowding(now)
            for name, target_state in self.target_states.items()
        }

    def _loads(self, now: float) -> 'LoadOf':
        return LoadOf(self.target_states, now)

    def _settle_order(
        self,
        route: Route,
        attempt: TargetAttempt,
        outcome: Outcome,
        now: float,
    ) -> None:
        refused = outcome.ran == 'no'
        known = ORDER_RESULTS.get(outcome.status, 'unknown')
        reply = outcome.reply
        result = OrderResult(
            kind='order_result',
            order_key=route.order_key,
            attempt=attempt.attempt_id,
            outcome='refused' if refused else known,  # type: ignore[typeddict-item]
            reason=outcome.status,
            reply='' if reply is None else reply.reply,
        )
        self.orders.end(attempt.attempt_id, result)
        self.send(route.sender, result, now)


class LoadOf:
    """The loads of targets at one time."""

    def __init__(
        self, target_states: Mapping[str, LeafTargetState], now: float
    ) -> None:
        self.target_states = target_states
        self.now = now

    def __call__(self, target: str) -> list[Load]:
        """Return the load of a target; nothing for an unknown one."""
        target_state = self.target_states.get(target)
        return [] if target_state is None else [target_state.load(self.now)]


def _partial(attempt: TargetAttempt, outcome: Outcome, now: float) -> Partial:
    reply = outcome.reply
    return Partial(
        attempt=attempt.attempt_id,
        shard=attempt.subject,
        target=attempt.target,
        outcome=outcome.status,  # type: ignore[typeddict-item]
        ran=outcome.ran,  # type: ignore[typeddict-item]
        layout=0 if reply is None else reply.layout,
        version=0 if reply is None else reply.version,
        rows=[] if reply is None else reply.rows,  # type: ignore[typeddict-item]
        took_ms=(now - attempt.since) * MS_PER_S,
    )

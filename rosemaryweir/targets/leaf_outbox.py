"""Outgoing messages of a leaf to entries and other leaves."""

from collections.abc import Mapping
from itertools import islice
from typing import Any

from rosemaryweir.node.action import Action, SendPeer
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Member
from rosemaryweir.schema.generated.orders import OrderResult
from rosemaryweir.schema.generated.query import Load, Partial
from rosemaryweir.targets.leaf_attempt_outcome import LeafAttemptOutcome
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.results import (
    BATCH_DELAY_S,
    OrderOrigin,
    QueryBatch,
    partials_message,
)
from rosemaryweir.targets.sent_orders import SentOrders
from rosemaryweir.targets.target_attempt import TargetAttempt
from rosemaryweir.targets.timer_heap import TimerHeap

__all__ = ['LeafOutbox']

MS_PER_S = 1000.0
#: Time within which a message must be sent, in s.
SEND_TIMEOUT_S = 1.0
#: Least interval between two reports of the load of all targets to one entry,
#: in s.
PENDING_INTERVAL_S = 0.004
#: Most former members whose addresses are kept.
MAX_FORMER_MEMBERS = 64
#: Outcomes of orders by the status of the target's reply.  With the first two
#: the target has refused the order.
ORDER_OUTCOMES = {
    'shed': 'refused',
    'wrong_version': 'refused',
    'ok': 'done',
    'failed': 'failed',
}


class LeafOutbox:
    """Creates messages with the outcomes of attempts for their senders.

    Parameters
    ----------
    state : NodeState
        Holds the addresses of the members.
    timers : TimerHeap
        Timers for the batches of results.
    target_states : mapping of str to LeafTargetState
        Targets by name; their load is reported with the results.
    """

    def __init__(
        self,
        state: NodeState,
        timers: TimerHeap,
        target_states: Mapping[str, LeafTargetState],
    ) -> None:
        self.state = state
        self.timers = timers
        self.target_states = target_states
        self.actions: list[Action] = []
        self.sent_orders = SentOrders()
        self._batches: dict[tuple[str, str], QueryBatch] = {}
        self._members: dict[str, Member] = {}
        self._next_pending: dict[str, float] = {}

    def update_members(self) -> None:
        """Update the addresses of the members.

        Notes
        -----
        A VM that leaves is removed from its view at once, but its entry goes on
        serving until no caller has its address.  So former members are kept.
        """
        members = {each['vm']: each for each in self.state.members()}
        former = (
            (vm, each)
            for vm, each in self._members.items()
            if vm not in members
        )
        self._members = {**dict(islice(former, MAX_FORMER_MEMBERS)), **members}

    def batch(self, sender: str, query: str, deadline: float) -> QueryBatch:
        """Return the batch for a query of an entry, new if there is none."""
        batch = self._batches.get((sender, query))
        if batch is None:
            batch = QueryBatch(sender, query)
            self._batches[(sender, query)] = batch
        batch.deadline = max(batch.deadline, deadline)
        return batch

    def report_outcome(
        self, attempt: TargetAttempt, outcome: LeafAttemptOutcome, now: float
    ) -> None:
        """Report the outcome of an attempt, once, to its sender."""
        origin = attempt.reply_to
        attempt.reply_to = None
        if isinstance(origin, QueryBatch):
            self._report_query_result(origin, attempt, outcome, now)
        elif isinstance(origin, OrderOrigin):
            self._report_order_result(origin, attempt, outcome, now)

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
            SendPeer(peer, str(address), message, now + SEND_TIMEOUT_S),
        )

    def _report_query_result(
        self,
        batch: QueryBatch,
        attempt: TargetAttempt,
        outcome: LeafAttemptOutcome,
        now: float,
    ) -> None:
        first = batch.add_result(_partial(attempt, outcome, now))
        if batch.pending <= 0:
            self._flush(batch, now)
        elif first:
            self.timers.at(now + BATCH_DELAY_S, self._flush, batch)

    def _flush(self, batch: QueryBatch, now: float) -> None:
        if batch.pending <= 0:
            self._batches.pop((batch.sender, batch.query), None)
        if batch.results:
            message = partials_message(batch, self._loads(now))
            if now >= self._next_pending.get(batch.sender, 0):
                self._next_pending[batch.sender] = now + PENDING_INTERVAL_S
                message['pending'] = self._pending(now)
            self.send(batch.sender, message, now)

    def _pending(self, now: float) -> dict[str, int]:
        return {
            name: target_state.warm_equivalent_load(now)
            for name, target_state in self.target_states.items()
        }

    def _loads(self, now: float) -> 'LoadLookup':
        return LoadLookup(self.target_states, now)

    def _report_order_result(
        self,
        origin: OrderOrigin,
        attempt: TargetAttempt,
        outcome: LeafAttemptOutcome,
        now: float,
    ) -> None:
        refused = outcome.ran == 'no'
        known = ORDER_OUTCOMES.get(outcome.status, 'unknown')
        reply = outcome.reply
        result = OrderResult(
            kind='order_result',
            order_key=origin.order_key,
            attempt=attempt.attempt_id,
            outcome='refused' if refused else known,  # type: ignore[typeddict-item]
            reason=outcome.status,
            reply='' if reply is None else reply.reply,
        )
        self.sent_orders.end(attempt.attempt_id, result)
        self.send(origin.sender, result, now)


class LoadLookup:
    """Lookup of the loads of targets at one time."""

    def __init__(
        self, target_states: Mapping[str, LeafTargetState], now: float
    ) -> None:
        self.target_states = target_states
        self.now = now

    def __call__(self, target: str) -> list[Load]:
        """Return the load of a target; empty for an unknown one."""
        target_state = self.target_states.get(target)
        return [] if target_state is None else [target_state.load(self.now)]


def _partial(
    attempt: TargetAttempt, outcome: LeafAttemptOutcome, now: float
) -> Partial:
    reply = outcome.reply
    return Partial(
        attempt=attempt.attempt_id,
        shard=attempt.shard_or_key,
        target=attempt.target,
        outcome=outcome.status,  # type: ignore[typeddict-item]
        ran=outcome.ran,  # type: ignore[typeddict-item]
        layout=0 if reply is None else reply.layout,
        version=0 if reply is None else reply.version,
        rows=[] if reply is None else reply.rows,  # type: ignore[typeddict-item]
        took_ms=(now - attempt.arrived_at) * MS_PER_S,
    )

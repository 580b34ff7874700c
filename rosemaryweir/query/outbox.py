"""Batch the sub-queries and cancellations of a query by leaf."""

from collections.abc import Iterator
from typing import NamedTuple

from rosemaryweir.node.action import SendPeer
from rosemaryweir.node.state import NodeState
from rosemaryweir.query.attempt import QueryAttempt
from rosemaryweir.query.deadline import sub_query_deadline
from rosemaryweir.schema.generated.query import CancelQuery, Piece, SubQuery

__all__ = ['QueryContext', 'QueryOutbox']

MS_PER_S = 1000


class QueryContext(NamedTuple):
    """Fields that all sub-queries of one query share.

    Parameters
    ----------
    query_id, service, text : str
        Identifier of the query, its service and its text.
    layout : int
        Shard layout of the query.
    answer_deadline : float
        Time at which the entry answers.
    """

    query_id: str
    service: str
    text: str
    layout: int
    answer_deadline: float


class QueryOutbox:
    """Unsent attempts and cancellations of one query."""

    def __init__(self) -> None:
        self._attempts: dict[tuple[str, int], list[QueryAttempt]] = {}
        self._cancelled: dict[str, list[QueryAttempt]] = {}

    def add_attempt(self, attempt: QueryAttempt) -> None:
        """Add an attempt to send."""
        key = (attempt.replica.leaf.name, attempt.version)
        batch = self._attempts.get(key)
        if batch is None:
            self._attempts[key] = [attempt]
        else:
            batch.append(attempt)

    def add_cancellation(self, attempt: QueryAttempt) -> None:
        """Add an attempt to cancel."""
        name = attempt.replica.leaf.name
        self._cancelled.setdefault(name, []).append(attempt)

    def flush(
        self,
        context: QueryContext,
        state: NodeState,
        now: float,
    ) -> Iterator[SendPeer]:
        """Empty the outbox and yield the messages.

        There is one message for each leaf that gets cancellations, and one
        for each leaf and index version that gets attempts.
        """
        cancelled = self._cancelled
        attempts = self._attempts
        if cancelled:
            self._cancelled = {}
            for batch in cancelled.values():
                yield _cancellation(context, batch)
        if attempts:
            self._attempts = {}
            for (_, version), batch in attempts.items():
                yield _sub_query(context, version, batch, state, now)


def _sub_query(
    context: QueryContext,
    version: int,
    attempts: list[QueryAttempt],
    state: NodeState,
    now: float,
) -> SendPeer:
    deadline = sub_query_deadline(context.answer_deadline, now)
    first = attempts[0].replica
    view = state.views.get(first.domain)
    message = SubQuery(
        kind='sub_query',
        query=context.query_id,
        service=context.service,
        layout=context.layout,
        version=version,
        text=context.text,
        remaining_ms=(deadline - now) * MS_PER_S,
        generation=state.config['generation'],
        view=view['version'] if view else 0,
        pieces=[
            Piece(
                attempt=attempt.uid,
                shard=attempt.shard,
                target=attempt.replica.target,
            )
            for attempt in attempts
        ],
    )
    return SendPeer(first.leaf.name, first.address, message, deadline)


def _cancellation(
    context: QueryContext,
    attempts: list[QueryAttempt],
) -> SendPeer:
    first = attempts[0].replica
    message = CancelQuery(
        kind='cancel_query',
        query=context.query_id,
        attempts=[attempt.uid for attempt in attempts],
    )
    return SendPeer(
        first.leaf.name,
        first.address,
        message,
        context.answer_deadline,
    )

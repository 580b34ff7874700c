"""Coalesce what leaves for each leaf into one message."""

from collections.abc import Iterator
from typing import NamedTuple

from rosemaryweir.node.action import SendPeer
from rosemaryweir.node.state import NodeState
from rosemaryweir.query.attempt import Attempt
from rosemaryweir.query.deadline import piece_deadline
from rosemaryweir.schema.generated.query import CancelQuery, Piece, SubQuery

__all__ = ['Outbox', 'Scatter']

MS = 1000


class Scatter(NamedTuple):
    """What all pieces of one query have in common.

    Parameters
    ----------
    query, service, text : str
        Identifier of the query, its service and its text.
    layout : int
        Layout that it is pinned to.
    answer : float
        When the entry answers.
    """

    query: str
    service: str
    text: str
    layout: int
    answer: float


class Outbox:
    """Pieces and cancellations of one query that wait to leave."""

    def __init__(self) -> None:
        self._pieces: dict[tuple[str, int], list[Attempt]] = {}
        self._cancels: dict[str, list[Attempt]] = {}

    def send(self, attempt: Attempt) -> None:
        """Add a piece."""
        key = (attempt.replica.health.name, attempt.version)
        pieces = self._pieces.get(key)
        if pieces is None:
            self._pieces[key] = [attempt]
        else:
            pieces.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Add a cancellation."""
        name = attempt.replica.health.name
        self._cancels.setdefault(name, []).append(attempt)

    def flush(
        self,
        scatter: Scatter,
        state: NodeState,
        now: float,
    ) -> Iterator[SendPeer]:
        """Yield one message for each leaf and kind, and empty the box."""
        cancels = self._cancels
        pieces = self._pieces
        if cancels:
            self._cancels = {}
            for attempts in cancels.values():
                yield _cancellation(scatter, attempts)
        if pieces:
            self._pieces = {}
            for (_, version), attempts in pieces.items():
                yield _sub_query(scatter, version, attempts, state, now)


def _sub_query(
    scatter: Scatter,
    version: int,
    attempts: list[Attempt],
    state: NodeState,
    now: float,
) -> SendPeer:
    deadline = piece_deadline(scatter.answer, now)
    first = attempts[0].replica
    view = state.views.get(first.domain)
    message = SubQuery(
        kind='sub_query',
        query=scatter.query,
        service=scatter.service,
        layout=scatter.layout,
        version=version,
        text=scatter.text,
        remaining_ms=(deadline - now) * MS,
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
    return SendPeer(first.health.name, first.address, message, deadline)


def _cancellation(scatter: Scatter, attempts: list[Attempt]) -> SendPeer:
    first = attempts[0].replica
    message = CancelQuery(
        kind='cancel_query',
        query=scatter.query,
        attempts=[attempt.uid for attempt in attempts],
    )
    return SendPeer(
        first.health.name,
        first.address,
        message,
        scatter.answer,
    )

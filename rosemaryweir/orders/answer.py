"""Responses to order requests: outcomes and refusals."""

from typing import Literal, NamedTuple

from rosemaryweir.node.action import ReplyCaller
from rosemaryweir.schema.generated.http import OrderAnswer, Refusal

__all__ = ['Denial', 'OrderOutcome', 'answer_order', 'refuse_order']

HTTP_OK = 200
#: Retry delay that a refusal suggests to the caller.
RETRY_AFTER_MS = 1000

OrderOutcome = Literal['done', 'failed', 'unknown']
Reason = Literal[
    'unknown_service',
    'overloaded',
    'deadline',
    'fenced',
    'store_down',
    'conflict',
    'mismatch',
    'expired',
    'no_capacity',
]

STATUS_OF_REASON: dict[str, int] = {
    'unknown_service': 404,
    'overloaded': 429,
    'deadline': 504,
    'fenced': 503,
    'store_down': 503,
    'conflict': 409,
    'mismatch': 409,
    'expired': 410,
    'no_capacity': 503,
}
RETRYABLE_REASONS = frozenset(
    (
        'overloaded',
        'deadline',
        'fenced',
        'store_down',
        'conflict',
        'no_capacity',
    ),
)


class Denial(NamedTuple):
    """The reason why an order has no outcome, and whether it may have run."""

    reason: Reason
    ran: Literal['not_run', 'unknown']
    detail: str


def answer_order(
    req: int,
    order_key: str,
    outcome: OrderOutcome,
    reply: str,
    recorded: bool,
) -> ReplyCaller:
    """Return the response that carries the outcome of an order."""
    answer = OrderAnswer(
        outcome=outcome,
        order_key=order_key,
        reply=reply,
        recorded=recorded,
    )
    return ReplyCaller(req, HTTP_OK, answer)


def refuse_order(req: int, denial: Denial) -> ReplyCaller:
    """Return the response that refuses an order."""
    refusal = Refusal(
        reason=denial.reason,
        ran=denial.ran,
        detail=denial.detail,
    )
    if denial.reason in RETRYABLE_REASONS:
        refusal['retry_after_ms'] = RETRY_AFTER_MS
    return ReplyCaller(req, STATUS_OF_REASON[denial.reason], refusal)

"""Parsing, deadlines and admission checks of order requests."""

from rosemaryweir.node.event import CallerRequest
from rosemaryweir.node.state import NodeState
from rosemaryweir.orders.answer import Denial, Reason
from rosemaryweir.orders.keys import content_digest
from rosemaryweir.orders.order import OrderSpec
from rosemaryweir.schema.generated.http import OrderRequest

__all__ = [
    'check_admission',
    'deny_without_lookup',
    'parse_order',
    'request_deadline',
]

#: Used when neither the request nor its class sets a deadline.
DEFAULT_DEADLINE_S = 10.0
MAX_DEADLINE_S = 60.0
#: Open orders in one entry.
MAX_OPEN_ORDERS = 5000
#: Order keys in the index of one entry.
MAX_KNOWN_KEYS = 2_000_000


def parse_order(event: CallerRequest, own_domain: str) -> OrderSpec:
    """Return the order that a request describes."""
    body: OrderRequest = event.body  # type: ignore[assignment]
    return OrderSpec(
        order_key=body['order_key'],
        service=body['service'],
        body=body['body'],
        digest=content_digest(body['service'], body['body']),
        domain=body.get('domain', own_domain),
        retry=body.get('retry', False),
    )


def request_deadline(
    event: CallerRequest, state: NodeState, now: float
) -> float:
    """Return the monotonic time by which a request must be answered."""
    policy = state.config['classes'].get(event.body.get('class', ''))
    millis: float | None = event.body.get('deadline_ms')
    if millis is None and policy is not None:
        millis = policy['deadline_ms']
    if millis is None:
        return now + DEFAULT_DEADLINE_S
    return now + min(millis / 1000, MAX_DEADLINE_S)


def deny_without_lookup(spec: OrderSpec, reason: Reason, detail: str) -> Denial:
    """Return the denial of an order whose key could not be looked up.

    This request did not run.  If the caller marks it as a retry, an earlier
    request with the same key may have run, so the result is ``unknown``.
    """
    if spec.retry:
        return Denial(
            reason, 'unknown', f'{detail}; an earlier attempt may have run'
        )
    return Denial(reason, 'not_run', detail)


def check_admission(
    state: NodeState,
    spec: OrderSpec,
    open_count: int,
    known_key_count: int,
    now: float,
) -> Denial | None:
    """Return a denial if an order cannot be accepted, else None."""
    service = state.service(spec.service)
    if not state.may_start(now):
        return deny_without_lookup(spec, 'fenced', 'this VM may start no work')
    if service is None or service['work'] != 'order':
        return deny_without_lookup(
            spec, 'unknown_service', 'no such service for orders'
        )
    if open_count >= MAX_OPEN_ORDERS:
        return deny_without_lookup(
            spec, 'overloaded', 'too many orders are open here'
        )
    if known_key_count >= MAX_KNOWN_KEYS:
        return deny_without_lookup(
            spec, 'no_capacity', 'the record of order keys is full'
        )
    return None

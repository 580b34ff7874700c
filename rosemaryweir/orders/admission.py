"""What is checked before an order key is looked up."""

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

#: Deadline when neither the caller nor the class names one, in seconds.
DEFAULT_DEADLINE_S = 10.0
#: Longest deadline, in seconds.
MAX_DEADLINE_S = 60.0
#: Orders that one entry works on at most.
MAX_OPEN_ORDERS = 5000
#: Order keys that one entry remembers at most.
MAX_KNOWN_KEYS = 2_000_000


def parse_order(event: CallerRequest, own_domain: str) -> OrderSpec:
    """Return what a request asks for."""
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
    """Return the time at which a request must be answered."""
    policy = state.config['classes'].get(event.body.get('class', ''))
    millis: float | None = event.body.get('deadline_ms')
    if millis is None and policy is not None:
        millis = policy['deadline_ms']
    if millis is None:
        return now + DEFAULT_DEADLINE_S
    return now + min(millis / 1000, MAX_DEADLINE_S)


def deny_without_lookup(spec: OrderSpec, reason: Reason, detail: str) -> Denial:
    """Deny an order whose key could not be looked up.

    The request itself did not run.  When the caller says that it has tried
    the key before, that earlier try may have.
    """
    if spec.retry:
        return Denial(reason, 'unknown', f'{detail}; an earlier try may have')
    return Denial(reason, 'not_run', detail)


def check_admission(
    state: NodeState,
    spec: OrderSpec,
    open_count: int,
    known_key_count: int,
    now: float,
) -> Denial | None:
    """Return why an order is not taken on, or None."""
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

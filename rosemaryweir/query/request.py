"""Requests of callers, with the policies that apply to them; refusals."""

from typing import NamedTuple

from rosemaryweir.node.action import ReplyCaller
from rosemaryweir.query.deadline import Deadlines, query_deadlines
from rosemaryweir.schema.generated.config import ClassPolicy, Config, Tenant
from rosemaryweir.schema.generated.http import QueryRequest, Refusal

__all__ = ['Asked', 'refuse']

DEFAULT = 'default'
#: All tenants that the configuration does not name share one queue.
UNNAMED = Tenant(weight=1)
#: Policy where the configuration names none.
FALLBACK = ClassPolicy(
    deadline_ms=2000,
    answer='complete',
    coverage_floor=1,
)

STATUSES = {
    'overloaded': 429,
    'deadline': 504,
    'unknown_service': 404,
}
UNAVAILABLE = 503


class Asked(NamedTuple):
    """A query of a caller.

    Parameters
    ----------
    req : int
        Identifier of the request.
    body : QueryRequest
        What was asked.
    tenant, class_name : str
        Tenant and class that it is counted under.
    share : Tenant
        Share of the tenant.
    policy : ClassPolicy
        Policy of the class.
    arrived : float
        When it arrived.
    deadlines : Deadlines
        When it is answered.
    """

    req: int
    body: QueryRequest
    tenant: str
    class_name: str
    share: Tenant
    policy: ClassPolicy
    arrived: float
    deadlines: Deadlines

    @classmethod
    def from_request(
        cls,
        req: int,
        body: QueryRequest,
        config: Config,
        now: float,
    ) -> 'Asked':
        """Look up tenant and class of a request."""
        tenant = body.get('tenant', DEFAULT)
        if tenant not in config['tenants']:
            tenant = DEFAULT
        class_name = body.get('class', DEFAULT)
        if class_name not in config['classes']:
            class_name = DEFAULT
        policy = config['classes'].get(class_name, FALLBACK)
        return cls(
            req,
            body,
            tenant,
            class_name,
            config['tenants'].get(tenant, UNNAMED),
            policy,
            now,
            query_deadlines(now, body.get('deadline_ms'), policy),
        )


def refuse(
    req: int,
    reason: str,
    detail: str,
    ran: str = 'not_run',
    retry_after_ms: int = 0,
) -> ReplyCaller:
    """Return the refusal of a request.

    Examples
    --------
    >>> refuse(1, 'overloaded', 'the queue is full').status
    429
    """
    body = Refusal(
        reason=reason,  # type: ignore[typeddict-item]
        ran=ran,  # type: ignore[typeddict-item]
        detail=detail,
    )
    if retry_after_ms:
        body['retry_after_ms'] = retry_after_ms
    return ReplyCaller(req, STATUSES.get(reason, UNAVAILABLE), body)

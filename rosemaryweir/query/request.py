"""Queries of callers with the policies that apply to them, and refusals."""

from typing import NamedTuple

from rosemaryweir.node.action import ReplyCaller
from rosemaryweir.query.deadline import Deadlines, query_deadlines
from rosemaryweir.schema.generated.config import ClassPolicy, Config, Tenant
from rosemaryweir.schema.generated.http import QueryRequest, Refusal

__all__ = ['CallerQuery', 'refuse']

#: Tenant or class of requests that name none, or one that is not configured.
DEFAULT_NAME = 'default'
#: Used when the default tenant is not configured.  All tenants without a
#: configuration share one queue.
FALLBACK_TENANT = Tenant(weight=1)
#: Used when the default class is not configured.
FALLBACK_POLICY = ClassPolicy(
    deadline_ms=2000,
    answer='complete',
    coverage_floor=1,
)

HTTP_STATUSES = {
    'overloaded': 429,
    'deadline': 504,
    'unknown_service': 404,
}
HTTP_UNAVAILABLE = 503


class CallerQuery(NamedTuple):
    """A query of a caller with its tenant, class and deadlines.

    Parameters
    ----------
    req : int
        Identifier of the request.
    body : QueryRequest
        Body of the request.
    tenant, class_name : str
        Tenant and class that it is counted under.
    tenant_config : Tenant
        Weight and queue length of the tenant.
    policy : ClassPolicy
        Policy of the class.
    arrived_at : float
        Time of arrival.
    deadlines : Deadlines
        Times of the answer.
    """

    req: int
    body: QueryRequest
    tenant: str
    class_name: str
    tenant_config: Tenant
    policy: ClassPolicy
    arrived_at: float
    deadlines: Deadlines

    @classmethod
    def from_request(
        cls,
        req: int,
        body: QueryRequest,
        config: Config,
        now: float,
    ) -> 'CallerQuery':
        """Look up tenant and class of a request and set its deadlines."""
        tenant = body.get('tenant', DEFAULT_NAME)
        if tenant not in config['tenants']:
            tenant = DEFAULT_NAME
        class_name = body.get('class', DEFAULT_NAME)
        if class_name not in config['classes']:
            class_name = DEFAULT_NAME
        policy = config['classes'].get(class_name, FALLBACK_POLICY)
        return cls(
            req,
            body,
            tenant,
            class_name,
            config['tenants'].get(tenant, FALLBACK_TENANT),
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
    """Return the reply that refuses a request.

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
    return ReplyCaller(req, HTTP_STATUSES.get(reason, HTTP_UNAVAILABLE), body)

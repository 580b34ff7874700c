"""The final response to a caller, built from the sub-requests' replies."""

from rosemaryweir.gateway.action import CallerResponse
from rosemaryweir.gateway.pending_request import PendingRequest
from rosemaryweir.gateway.records import top_records

__all__ = [
    'HTTP_UNAVAILABLE',
    'failure_response',
    'merge_partials',
    'relay_reply',
]

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


def merge_partials(pending: PendingRequest) -> CallerResponse:
    """Return the response to a query that reached its minimum coverage."""
    replies = [
        sub_request.reply
        for sub_request in pending.sub_requests
        if sub_request.reply
    ]
    return CallerResponse(
        pending.request.exchange_id,
        HTTP_OK,
        body=top_records(
            (reply.body for reply in replies),
            pending.route.max_records,
        ),
        signatures=tuple(reply.signature for reply in replies),
        missing_shards=len(pending.sub_requests) - len(replies),
    )


def relay_reply(pending: PendingRequest) -> CallerResponse | None:
    """Return the reply of the only target as response; None without one."""
    reply = pending.sub_requests[0].reply
    if reply is None:
        return None
    return CallerResponse(
        pending.request.exchange_id,
        reply.status,
        reply.headers,
        reply.body,
        reason='' if reply.status < HTTP_BAD_REQUEST else 'target failed',
        relayed=True,
    )


def failure_response(
    pending: PendingRequest,
    wait: float,
    now: float,
) -> CallerResponse:
    """Return the response to a request that failed.

    Status 503 with a retry time states that no target can have run the
    request. Any other status leaves that open.

    Parameters
    ----------
    pending : PendingRequest
        The request.
    wait : float
        Seconds after which the caller may retry.
    now : float
        Present time.
    """
    if not pending.may_have_run:
        return CallerResponse(
            pending.request.exchange_id,
            HTTP_UNAVAILABLE,
            retry_after=wait,
            reason='no target took it',
        )
    late = now >= pending.deadline
    status = HTTP_TIMEOUT if late else HTTP_BAD_GATEWAY
    reason = 'too few replies before the deadline' if late else 'targets failed'
    return CallerResponse(pending.request.exchange_id, status, reason=reason)

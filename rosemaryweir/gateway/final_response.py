"""The final answer to a request, from what became of its pieces."""

from rosemaryweir.gateway.action import CallerResponse
from rosemaryweir.gateway.pending_request import Job
from rosemaryweir.gateway.records import greatest

__all__ = ['HTTP_UNAVAILABLE', 'failure', 'merged', 'passed_on']

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


def merged(job: Job) -> CallerResponse:
    """Return the answer to a query that has enough partials."""
    replies = [piece.reply for piece in job.pieces if piece.reply]
    return CallerResponse(
        job.ask.exchange_id,
        HTTP_OK,
        body=greatest((reply.body for reply in replies), job.route.max_records),
        signatures=tuple(reply.signature for reply in replies),
        missing_shards=len(job.pieces) - len(replies),
    )


def passed_on(job: Job) -> CallerResponse | None:
    """Return the reply of the one target that answered; None without one."""
    reply = job.pieces[0].reply
    if reply is None:
        return None
    return CallerResponse(
        job.ask.exchange_id,
        reply.status,
        reply.headers,
        reply.body,
        reason='' if reply.status < HTTP_BAD_REQUEST else 'target failed',
    )


def failure(job: Job, wait: float, now: float) -> CallerResponse:
    """Return the answer to a request that nothing came of.

    Only where no target can have run it does the answer say so, with the
    time after which the caller may come back.

    Parameters
    ----------
    job : Job
        The request.
    wait : float
        Seconds after which the caller may come back.
    now : float
        Present time.
    """
    if not job.may_have_run:
        return CallerResponse(
            job.ask.exchange_id,
            HTTP_UNAVAILABLE,
            retry_after=wait,
            reason='no target took it',
        )
    late = now >= job.deadline
    status = HTTP_TIMEOUT if late else HTTP_BAD_GATEWAY
    reason = 'no answer in time' if late else 'targets failed'
    return CallerResponse(job.ask.exchange_id, status, reason=reason)

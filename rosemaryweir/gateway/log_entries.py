"""Log entries of requests, with the inputs of each decision."""

from rosemaryweir.gateway import events
from rosemaryweir.gateway.action import CallerResponse, DecodedReply, LogEntry
from rosemaryweir.gateway.attempt_outcome import AttemptOutcome
from rosemaryweir.gateway.pending_request import (
    FailedAttempt,
    PendingRequest,
    SubRequest,
    SubRequestAttempt,
)
from rosemaryweir.gateway.target_state import TargetState

__all__ = [
    'lost_sub_request_entry',
    'notice_entry',
    'refusal_entry',
    'request_end_entry',
]

#: Maximum number of items in a list field of a log entry.
MAX_LISTED = 6
MS_PER_SECOND = 1000


def request_end_entry(
    pending: PendingRequest,
    response: CallerResponse,
    now: float,
) -> LogEntry:
    """Return the log entry of a final response."""
    return LogEntry(
        events.FAILED if response.reason else events.ANSWERED,
        {
            'request': pending.request.request_id,
            'route': pending.route.name,
            'version': pending.config_version,
            'status': response.status,
            'took_ms': _ms(now - pending.received_at),
            'aim_ms': _ms(pending.soft_deadline - pending.received_at),
            'deadline_ms': _ms(pending.deadline - pending.received_at),
            'covered': pending.covered,
            'shards': len(pending.sub_requests),
            'hedges': pending.hedge_count,
            'missing': [
                sub_request.service
                for sub_request in pending.sub_requests
                if sub_request.reply is None
            ],
            'owed': _open_attempts(pending, now),
            'repeated': _repeated_sends(pending),
            'failed': [_describe(failed) for failed in pending.failed_attempts],
            'reason': response.reason,
        },
    )


def lost_sub_request_entry(
    sub_request: SubRequest,
    attempt: SubRequestAttempt,
    outcome: AttemptOutcome,
    now: float,
) -> LogEntry:
    """Return the log entry of a sub-request that failed for good.

    Parameters
    ----------
    sub_request : SubRequest
        The sub-request.
    attempt : SubRequestAttempt
        Its last attempt.
    outcome : AttemptOutcome
        Outcome of that attempt.
    now : float
        Present time.
    """
    return LogEntry(
        events.SUB_REQUEST_LOST,
        {
            'request': sub_request.parent.request.request_id,
            'service': sub_request.service,
            'target': attempt.target_name,
            'sends': sub_request.send_count,
            'after_ms': _ms(now - attempt.sent_at),
            'outcome': outcome.kind,
            'reason': outcome.reason,
        },
    )


def refusal_entry(
    response: CallerResponse,
    request_id: str,
    version: int,
) -> LogEntry:
    """Return the log entry of a request that was refused without a send."""
    return LogEntry(
        events.REFUSED,
        {
            'request': request_id,
            'route': response.route,
            'version': version,
            'status': response.status,
            'reason': response.reason,
            'retry_after': response.retry_after,
        },
    )


def notice_entry(target: TargetState, reply: DecodedReply) -> LogEntry:
    """Return the log entry of a target that leaves or asks for rest."""
    return LogEntry(
        events.TARGET_NOTICE,
        {
            'target': target.entry.name,
            'service': target.entry.service,
            'status': reply.status,
            'leaving': reply.leaving,
            'rest_s': reply.rest_seconds,
            'ignored': reply.malformed_rest,
        },
    )


def _describe(failed: FailedAttempt) -> str:
    took = round(failed.took * MS_PER_SECOND)
    return f'{failed.target_name} {failed.kind} {took} {failed.reason}'.strip()


def _open_attempts(pending: PendingRequest, now: float) -> list[str]:
    """Return the targets without a reply and the age of the attempt in ms."""
    found = [
        f'{attempt.target_name} '
        f'{round((now - attempt.sent_at) * MS_PER_SECOND)}'
        for sub_request in pending.sub_requests
        if sub_request.reply is None
        for attempt in sub_request.open_attempts
    ]
    return found[:MAX_LISTED]


def _repeated_sends(pending: PendingRequest) -> list[str]:
    """Return the services with more than one send, and their send counts."""
    found = [
        f'{sub_request.service} {sub_request.send_count}'
        for sub_request in pending.sub_requests
        if sub_request.send_count > 1
    ]
    return found[:MAX_LISTED]


def _ms(seconds: float) -> float:
    return round(seconds * MS_PER_SECOND, 1)

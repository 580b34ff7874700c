"""Build the responses to operators' notes."""

from collections.abc import Iterable, Mapping
from typing import Any

from rosemaryweir.config.head import NoteOutcome, NoteWriter
from rosemaryweir.exception import Finding
from rosemaryweir.node.action import ReplyCaller
from rosemaryweir.schema.generated.control import NoteAnswer
from rosemaryweir.schema.generated.http import Finding as FindingBody
from rosemaryweir.schema.generated.http import Refusal

__all__ = [
    'HTTP_UNAVAILABLE',
    'findings_response',
    'ok_response',
    'outcome_response',
    'refusal_response',
]

HTTP_OK = 200
HTTP_MALFORMED = 400
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503

RETRY_AFTER_MS = 1000

STATUSES = {
    'malformed': HTTP_MALFORMED,
    'conflict': HTTP_CONFLICT,
    'store_down': HTTP_UNAVAILABLE,
    'isolated': HTTP_UNAVAILABLE,
    'unknown': HTTP_UNAVAILABLE,
}


def ok_response(req: int, body: Mapping[str, Any]) -> ReplyCaller:
    """Return a response with status 200."""
    return ReplyCaller(req, HTTP_OK, body)


def outcome_response(
    req: int,
    writer: NoteWriter,
    outcome: NoteOutcome,
) -> ReplyCaller:
    """Return the response that reports the outcome of a note."""
    if outcome.state in {'accepted', 'already'}:
        body = NoteAnswer(
            note=writer.note['note'],
            generation=outcome.generation,
            state=outcome.state,  # type: ignore[typeddict-item]
            plan=list(outcome.plan),
        )
        return ok_response(req, body)
    if outcome.state == 'malformed':
        return findings_response(req, outcome.findings)
    reason = 'store_down' if outcome.state == 'unknown' else outcome.state
    ran = 'unknown' if outcome.state == 'unknown' else 'not_run'
    return refusal_response(
        req,
        STATUSES[outcome.state],
        reason,
        outcome.detail,
        ran,
    )


def refusal_response(
    req: int,
    status: int,
    reason: str,
    detail: str,
    ran: str = 'not_run',
) -> ReplyCaller:
    """Return the response that refuses a request."""
    body = Refusal(
        reason=reason,  # type: ignore[typeddict-item]
        ran=ran,  # type: ignore[typeddict-item]
        detail=detail,
        retry_after_ms=RETRY_AFTER_MS,
    )
    return ReplyCaller(req, status, body)


def findings_response(req: int, findings: Iterable[Finding]) -> ReplyCaller:
    """Return the response that lists all findings about a note."""
    body = Refusal(
        reason='malformed',
        ran='not_run',
        detail='nothing was applied',
        findings=[_finding_body(each) for each in findings],
    )
    return ReplyCaller(req, HTTP_MALFORMED, body)


def _finding_body(finding: Finding) -> FindingBody:
    path, problem, hint = finding
    return FindingBody(path=path, problem=problem, hint=hint)

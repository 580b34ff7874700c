"""Log lines of requests: what was decided, and from which inputs."""

from rosemaryweir.gateway import events
from rosemaryweir.gateway.action import CallerResponse, LogEntry
from rosemaryweir.gateway.attempt_outcome import Outcome
from rosemaryweir.gateway.pending_request import Attempt, Job, Piece

__all__ = ['note_of_end', 'note_of_lost_piece', 'note_of_refusal']

#: Targets that one log line names at most.
MOST_NAMED = 6
MS_PER_SECOND = 1000


def note_of_end(job: Job, answer: CallerResponse, now: float) -> LogEntry:
    """Return the log line of a final answer."""
    return LogEntry(
        events.FAILED if answer.reason else events.ANSWERED,
        {
            'request': job.ask.request_id,
            'route': job.route.name,
            'version': job.version,
            'status': answer.status,
            'took_ms': _ms(now - job.came),
            'aim_ms': _ms(job.aim - job.came),
            'deadline_ms': _ms(job.deadline - job.came),
            'covered': job.covered,
            'shards': len(job.pieces),
            'hedges': job.hedges,
            'missing': [
                piece.service for piece in job.pieces if piece.reply is None
            ],
            'owed': _owed(job, now),
            'repeated': _repeated(job),
            'reason': answer.reason,
        },
    )


def note_of_lost_piece(
    piece: Piece,
    attempt: Attempt,
    outcome: Outcome,
    now: float,
) -> LogEntry:
    """Return the log line of a piece that nothing more will come of."""
    return LogEntry(
        events.PIECE_LOST,
        {
            'request': piece.job.ask.request_id,
            'service': piece.service,
            'target': attempt.target,
            'sends': piece.sends,
            'after_ms': _ms(now - attempt.sent),
            'outcome': outcome.kind,
            'reason': outcome.reason,
        },
    )


def note_of_refusal(
    answer: CallerResponse, request_id: str, version: int
) -> LogEntry:
    """Return the log line of a request that was refused at once."""
    return LogEntry(
        events.REFUSED,
        {
            'request': request_id,
            'route': answer.route,
            'version': version,
            'reason': answer.reason,
            'retry_after': answer.retry_after,
        },
    )


def _owed(job: Job, now: float) -> list[str]:
    """Return the targets that owe a reply, with their time in ms."""
    found = [
        f'{attempt.target} {round((now - attempt.sent) * MS_PER_SECOND)}'
        for piece in job.pieces
        if piece.reply is None
        for attempt in piece.open
    ]
    return found[:MOST_NAMED]


def _repeated(job: Job) -> list[str]:
    """Return the services that were sent to more than once, with a count."""
    found = [
        f'{piece.service} {piece.sends}'
        for piece in job.pieces
        if piece.sends > 1
    ]
    return found[:MOST_NAMED]


def _ms(seconds: float) -> float:
    return round(seconds * MS_PER_SECOND, 1)

"""Log events of the gateway."""

from rosemaryweir.telemetry.log_events import register_event

__all__ = [
    'ANSWERED',
    'FAILED',
    'REFUSED',
    'SUB_REQUEST_LOST',
    'TARGET_NOTICE',
]

ANSWERED = register_event(
    800,
    'request.answered',
    'info',
    'A request succeeded. Logged for every request with hedges or missing '
    'shards, and for one in fifty of the others. The fields name the version '
    'of the configuration in use.',
)
FAILED = register_event(
    801,
    'request.failed',
    'warning',
    'A request failed after it was sent to targets.',
)
REFUSED = register_event(
    802,
    'request.refused',
    'warning',
    'A request was refused before it was sent to any target; the caller got '
    'a retry time.',
)
SUB_REQUEST_LOST = register_event(
    803,
    'request.piece_lost',
    'info',
    'A sub-request failed for good: its service returned no usable reply. '
    'The fields name the last target and the outcome there.',
)
TARGET_NOTICE = register_event(
    804,
    'target.notice',
    'info',
    'A target said in a reply that it leaves, or asked for rest: it gets no '
    'new requests from this VM, for good or for `rest_s`. `ignored` quotes a '
    'rest that is no number of seconds.',
)

"""Log events of the gateway."""

from rosemaryweir.node.log_events import register_event

__all__ = ['ANSWERED', 'FAILED', 'PIECE_LOST', 'REFUSED']

ANSWERED = register_event(
    800,
    'request.answered',
    'info',
    'A request succeeded: with hedges or missing shards each one, else one '
    'in fifty. The fields tell the configuration it was served by.',
)
FAILED = register_event(
    801,
    'request.failed',
    'warning',
    'A request ended without success after it was sent to targets.',
)
REFUSED = register_event(
    802,
    'request.refused',
    'warning',
    'A request was refused before anything was sent; the caller was told '
    'when to come back.',
)
PIECE_LOST = register_event(
    803,
    'request.piece_lost',
    'info',
    'A service gave no answer to its part of a request; the fields tell the '
    'last target and what it did.',
)

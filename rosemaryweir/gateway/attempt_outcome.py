"""Classification of a target's reply: did the request run, and with success."""

from typing import Literal, NamedTuple

from rosemaryweir.gateway.action import DecodedReply

__all__ = ['AttemptOutcome', 'classify_reply']

OutcomeKind = Literal[
    'served', 'failed', 'not_run', 'misdirected', 'stray', 'lost'
]
#: Statuses that promise a caller that its request has not run.
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
MIN_SUCCESS_STATUS = 200
MIN_REDIRECT_STATUS = 300


class AttemptOutcome(NamedTuple):
    """Outcome of an attempt.

    Parameters
    ----------
    kind : str
        ``served``: it ran with success; ``failed``: it ran and the reply
        reports a failure; ``not_run``: the target states that it did not run
        the request; ``misdirected``: another incarnation is at the address
        and did not run the request; ``stray``: the reply belongs to another
        request; ``lost``: there is no complete reply, it has no signature, or
        its status would promise the caller that the request did not run.
    reply : DecodedReply or None
        The reply of a ``served`` or ``failed`` attempt.
    reason : str
        Reason for the log.
    """

    kind: OutcomeKind
    reply: DecodedReply | None
    reason: str = ''

    @property
    def not_run(self) -> bool:
        """Whether the target is proved not to have run the request."""
        return self.kind in {'not_run', 'misdirected'}


def classify_reply(reply: DecodedReply, request_id: str) -> AttemptOutcome:
    """Return the outcome that a complete reply to a request proves.

    Examples
    --------
    >>> reply = DecodedReply(200, (), b'', 'a', 'proof')
    >>> classify_reply(reply, 'a').kind, classify_reply(reply, 'b').kind
    ('served', 'stray')
    """
    status = f'status {reply.status}'
    if reply.request_id and reply.request_id != request_id:
        return AttemptOutcome(
            'stray', None, 'the reply has the id of another request'
        )
    if reply.misdirected:
        return AttemptOutcome('misdirected', None, status)
    if reply.not_run:
        return AttemptOutcome('not_run', None, status)
    unusable = _unusable_reason(reply)
    if unusable:
        return AttemptOutcome('lost', None, unusable)
    if _is_success(reply):
        return AttemptOutcome('served', reply)
    return AttemptOutcome('failed', reply, status)


def _is_success(reply: DecodedReply) -> bool:
    return MIN_SUCCESS_STATUS <= reply.status < MIN_REDIRECT_STATUS


def _unusable_reason(reply: DecodedReply) -> str:
    """Return why the reply to a request that ran can't be passed on."""
    if reply.status in PROMISES_NOT_RUN:
        # It would promise what the target does not say.
        return f'status {reply.status} of a request that may have run'
    if _is_success(reply) and not reply.signature:
        return 'the reply has no signature'
    return ''

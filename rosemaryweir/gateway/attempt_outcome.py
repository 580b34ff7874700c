"""What a target's reply proves."""

from typing import Literal, NamedTuple

from rosemaryweir.gateway.action import DecodedReply

__all__ = ['Outcome', 'outcome_of']

Kind = Literal['served', 'failed', 'not_run', 'misdirected', 'stray', 'lost']
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300


class Outcome(NamedTuple):
    """What became of an attempt.

    Parameters
    ----------
    kind : str
        ``served``; ``failed``: it ran and the reply says so; ``not_run``:
        the target states that it did not run; ``misdirected``: another
        incarnation is there and did not run it; ``stray``: the reply belongs
        to another request; ``lost``: there is no whole reply.
    reply : TargetReply or None
        The reply of a ``served`` or ``failed`` attempt.
    reason : str
        For the log.
    """

    kind: Kind
    reply: DecodedReply | None
    reason: str = ''

    @property
    def not_run(self) -> bool:
        """Whether it is proved that the target did not run it."""
        return self.kind in {'not_run', 'misdirected'}


def outcome_of(reply: DecodedReply, request_id: str) -> Outcome:
    """Return what a whole reply to a request proves.

    Examples
    --------
    >>> reply = DecodedReply(200, (), b'', 'a', 'proof')
    >>> outcome_of(reply, 'a').kind, outcome_of(reply, 'b').kind
    ('served', 'stray')
    """
    status = f'status {reply.status}'
    if reply.misdirected:
        return Outcome('misdirected', None, status)
    if reply.request_id and reply.request_id != request_id:
        return Outcome('stray', None, 'the reply names another request')
    if reply.not_run:
        return Outcome('not_run', None, status)
    good = FIRST_SUCCESS <= reply.status < FIRST_REDIRECT
    if good and not reply.signature:
        return Outcome('lost', None, 'the reply has no signature')
    if good:
        return Outcome('served', reply)
    return Outcome('failed', reply, status)

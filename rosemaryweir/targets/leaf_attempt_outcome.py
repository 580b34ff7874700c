"""Outcome of an attempt at a target."""

from typing import NamedTuple

from rosemaryweir.node.event import TargetReply

__all__ = ['LeafAttemptOutcome', 'outcome_of']


class LeafAttemptOutcome(NamedTuple):
    """Outcome of an attempt; `ran` is ``no``, ``yes`` or ``unknown``."""

    status: str
    ran: str
    reply: TargetReply | None = None


def outcome_of(reply: TargetReply) -> LeafAttemptOutcome:
    """Return the outcome that a reply reports."""
    status = 'shed' if reply.status == 'draining' else reply.status
    ran = 'no' if status in {'shed', 'wrong_version'} else 'yes'
    if status == 'cancelled':
        ran = 'unknown'
    return LeafAttemptOutcome(status, ran, reply)

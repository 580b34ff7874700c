"""Deadlines: each hop keeps a margin of the time that it was given."""

from typing import NamedTuple

from rosemaryweir.schema.generated.config import ClassPolicy

__all__ = ['Deadlines', 'piece_deadline', 'query_deadlines']

#: Time kept for the way back to the caller and for the merge, in seconds.
CALLER_MARGIN_S = 0.008
#: Time kept for the way from the leaf back to the entry, in seconds.
PEER_MARGIN_S = 0.004
#: A margin takes at most this share of the time that is left.
MARGIN_SHARE = 0.1
MS = 1000


class Deadlines(NamedTuple):
    """Times of one query.

    Parameters
    ----------
    early : float
        From when an answer may leave with its floor met; the same as
        ``answer`` for a class that waits for coverage.
    answer : float
        When the answer leaves, whatever it covers.
    """

    early: float
    answer: float


def query_deadlines(
    arrived: float,
    asked_ms: int | None,
    policy: ClassPolicy,
) -> Deadlines:
    """Return the times of a query.

    Parameters
    ----------
    arrived : float
        Time of arrival.
    asked_ms : int or None
        Time that the caller gave, in ms; at most that of the class.
    policy : ClassPolicy
        Policy of the class.

    Examples
    --------
    >>> policy = ClassPolicy(
    ...     deadline_ms=1000, answer='early', early_ms=200, coverage_floor=0.9
    ... )
    >>> query_deadlines(10.0, None, policy)
    Deadlines(early=10.2, answer=10.992)
    """
    given = min(asked_ms or policy['deadline_ms'], policy['deadline_ms']) / MS
    answer = arrived + given - min(CALLER_MARGIN_S, given * MARGIN_SHARE)
    if policy['answer'] == 'complete':
        return Deadlines(answer, answer)
    early = arrived + policy.get('early_ms', policy['deadline_ms']) / MS
    return Deadlines(min(early, answer), answer)


def piece_deadline(answer: float, now: float) -> float:
    """Return the time by which a leaf must have sent its partial."""
    left = answer - now
    return answer - min(PEER_MARGIN_S, left * MARGIN_SHARE)

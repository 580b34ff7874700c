"""Decide when a query is answered and which outcome the answer states."""

from typing import Literal

__all__ = ['may_answer', 'outcome_of']

AnswerOutcome = Literal['complete', 'partial', 'degraded']


def outcome_of(covered: int, total: int, floor: float) -> AnswerOutcome:
    """Return the outcome that an answer states.

    Parameters
    ----------
    covered, total : int
        Covered shards and all shards.
    floor : float
        Share of covered shards below which the answer is degraded.

    Examples
    --------
    >>> outcome_of(10, 10, 0.9), outcome_of(9, 10, 0.9), outcome_of(8, 10, 0.9)
    ('complete', 'partial', 'degraded')
    """
    if covered == total:
        return 'complete'
    return 'degraded' if covered < floor * total else 'partial'


def may_answer(
    coverage: float,
    floor: float,
    earliest: float,
    latest: float,
    now: float,
) -> bool:
    """Return whether the query is answered now.

    Parameters
    ----------
    coverage : float
        Share of the shards that are covered.
    floor : float
        Coverage required for an early answer.
    earliest, latest : float
        See `rosemaryweir.query.deadline.Deadlines`.
    now : float
        Present time.

    Examples
    --------
    >>> may_answer(0.95, floor=0.9, earliest=1.0, latest=2.0, now=1.5)
    True
    >>> may_answer(0.85, floor=0.9, earliest=1.0, latest=2.0, now=1.5)
    False
    >>> may_answer(0.85, floor=0.9, earliest=1.0, latest=2.0, now=2.0)
    True
    """
    if coverage >= 1 or now >= latest:
        return True
    return now >= earliest and coverage > 0 and coverage >= floor

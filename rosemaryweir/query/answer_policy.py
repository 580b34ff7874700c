"""When an answer leaves, and what it is called."""

from typing import Literal

__all__ = ['may_answer', 'outcome_of']

Outcome = Literal['complete', 'partial', 'degraded']


def outcome_of(covered: int, total: int, floor: float) -> Outcome:
    """Return what an answer of some coverage is called.

    Examples
    --------
    >>> outcome_of(10, 10, 0.9), outcome_of(9, 10, 0.9), outcome_of(8, 10, 0.9)
    ('complete', 'partial', 'degraded')
    """
    if covered == total:
        return 'complete'
    return 'degraded' if covered < floor * total else 'partial'


def may_answer(
    share: float,
    floor: float,
    early: float,
    answer: float,
    now: float,
) -> bool:
    """Return whether an answer leaves now.

    Parameters
    ----------
    share : float
        Share of the shards that are covered.
    floor : float
        Share that an early answer needs.
    early, answer : float
        Times of the query, see `rosemaryweir.query.deadline.Deadlines`.
    now : float
        Present time.

    Examples
    --------
    >>> may_answer(0.95, floor=0.9, early=1.0, answer=2.0, now=1.5)
    True
    >>> may_answer(0.85, floor=0.9, early=1.0, answer=2.0, now=1.5)
    False
    >>> may_answer(0.85, floor=0.9, early=1.0, answer=2.0, now=2.0)
    True
    """
    if share >= 1 or now >= answer:
        return True
    return now >= early and share > 0 and share >= floor

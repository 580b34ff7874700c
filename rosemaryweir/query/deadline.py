"""Deadlines of a query; each hop reserves a margin of the time it is given."""

from typing import NamedTuple

from rosemaryweir.schema.generated.config import ClassPolicy

__all__ = ['Deadlines', 'query_deadlines', 'sub_query_deadline']

#: Reserved for the merge and the way back to the caller, in seconds.
CALLER_MARGIN_S = 0.008
#: Reserved for the way from the leaf back to the entry, in seconds.
PEER_MARGIN_S = 0.004
#: Upper bound of a margin, as a share of the remaining time.
MAX_MARGIN_SHARE = 0.1
MS_PER_S = 1000


class Deadlines(NamedTuple):
    """Times of the answer to one query.

    Parameters
    ----------
    earliest : float
        Time from which an answer with enough coverage may leave.  Equal to
        `latest` for a class that waits for full coverage.
    latest : float
        Time at which the answer leaves with whatever it covers.
    """

    earliest: float
    latest: float


def query_deadlines(
    arrived_at: float,
    requested_ms: int | None,
    policy: ClassPolicy,
) -> Deadlines:
    """Return the deadlines of a query.

    Parameters
    ----------
    arrived_at : float
        Time of arrival.
    requested_ms : int or None
        Deadline that the caller asked for, in ms; capped by that of the class.
    policy : ClassPolicy
        Policy of the class.

    Examples
    --------
    >>> policy = ClassPolicy(
    ...     deadline_ms=1000, answer='early', early_ms=200, coverage_floor=0.9
    ... )
    >>> query_deadlines(10.0, None, policy)
    Deadlines(earliest=10.2, latest=10.992)
    """
    allowed = (
        min(requested_ms or policy['deadline_ms'], policy['deadline_ms'])
        / MS_PER_S
    )
    latest = (
        arrived_at + allowed - min(CALLER_MARGIN_S, allowed * MAX_MARGIN_SHARE)
    )
    if policy['answer'] == 'complete':
        return Deadlines(latest, latest)
    earliest = (
        arrived_at + policy.get('early_ms', policy['deadline_ms']) / MS_PER_S
    )
    return Deadlines(min(earliest, latest), latest)


def sub_query_deadline(latest: float, now: float) -> float:
    """Return the time by which a leaf must have sent its partial."""
    left = latest - now
    return latest - min(PEER_MARGIN_S, left * MAX_MARGIN_SHARE)

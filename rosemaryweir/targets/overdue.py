"""Time limits for replies, to tell slow targets from dead connections.

An overdue reply means a slow target, or a connection whose state was lost by a
device between the two ends.  To tell them apart, the leaf asks the target to
cancel the request, over a separate connection: on a working connection the
answer to the cancelled request comes at once, on a dead one nothing comes.
Replies to requests sent later on other connections show meanwhile that the
target itself responds.
"""

from rosemaryweir.targets.latency import LatencyEstimate

__all__ = ['max_duration', 'overdue_after', 'target_responds']

#: A reply is overdue after the mean latency plus so many mean deviations.
OVERDUE_DEVIATIONS = 10.0
#: Least time after which a reply is overdue, and the time that holds while
#: fewer than MIN_SAMPLES latencies are known, in s.
MIN_OVERDUE_S = 0.04
DEFAULT_OVERDUE_S = 0.25
MIN_SAMPLES = 8
#: Later requests, answered on other connections, that show that a target
#: responds.
MIN_LATER_ANSWERS = 2
#: Longest time of an attempt: a multiple of the time after which it is overdue,
#: and at least this many s.  It bounds how long the slot is lost if the
#: connection is dead.
MAX_DURATION_FACTOR = 2.0
MIN_MAX_DURATION_S = 0.15


def overdue_after(latency: LatencyEstimate) -> float:
    """Return the time after which a reply is overdue, in s.

    Examples
    --------
    >>> overdue_after(LatencyEstimate())
    0.25
    """
    if latency.count < MIN_SAMPLES:
        return DEFAULT_OVERDUE_S
    return max(MIN_OVERDUE_S, latency.upper_bound(OVERDUE_DEVIATIONS))


def max_duration(latency: LatencyEstimate) -> float:
    """Return the longest time that a query attempt may take, in s.

    Examples
    --------
    >>> max_duration(LatencyEstimate())
    0.5
    """
    return max(MIN_MAX_DURATION_S, MAX_DURATION_FACTOR * overdue_after(latency))


def target_responds(answered_later: int) -> bool:
    """Return whether a target responds although a reply is overdue.

    Parameters
    ----------
    answered_later : int
        Number of answered requests that were sent later on other connections
        of the target.

    Examples
    --------
    >>> target_responds(0), target_responds(2)
    (False, True)
    """
    return answered_later >= MIN_LATER_ANSWERS

"""When a missing reply condemns a connection.

A reply that is overdue can mean a slow target or a connection that something
between the two ends has lost track of.  The target is asked, beside its
connections, to drop the request: a live connection carries the answer to that
at once, a silent one carries nothing.  Replies to requests sent later, on
other connections, tell meanwhile that the target itself is well.
"""

from rosemaryweir.targets.latency import LatencyEstimate

__all__ = ['max_duration', 'overdue_after', 'target_responds']

#: A reply is overdue after the mean and so many deviations.
OVERDUE_DEVIATIONS = 10.0
#: Bounds of that wait, in s; the latter holds without a history.
MIN_OVERDUE_S = 0.04
DEFAULT_OVERDUE_S = 0.25
MIN_SAMPLES = 8
#: Later requests that must have been answered on other connections.
MIN_LATER_ANSWERS = 2
#: An attempt may take so many times the wait after which it is overdue, and
#: at least so long (s): its slot is lost for no longer if its connection is.
MAX_DURATION_FACTOR = 2.0
MIN_MAX_DURATION_S = 0.15


def overdue_after(latency: LatencyEstimate) -> float:
    """Return after how many seconds a reply is overdue.

    Examples
    --------
    >>> overdue_after(LatencyEstimate())
    0.25
    """
    if latency.count < MIN_SAMPLES:
        return DEFAULT_OVERDUE_S
    return max(MIN_OVERDUE_S, latency.upper_bound(OVERDUE_DEVIATIONS))


def max_duration(latency: LatencyEstimate) -> float:
    """Return how many seconds a target is given for one attempt.

    Examples
    --------
    >>> max_duration(LatencyEstimate())
    0.5
    """
    return max(MIN_MAX_DURATION_S, MAX_DURATION_FACTOR * overdue_after(latency))


def target_responds(answered_later: int) -> bool:
    """Return whether a target is well although a reply is overdue.

    Parameters
    ----------
    answered_later : int
        Requests sent later, on other connections of the target, that have
        been answered.

    Examples
    --------
    >>> target_responds(0), target_responds(2)
    (False, True)
    """
    return answered_later >= MIN_LATER_ANSWERS

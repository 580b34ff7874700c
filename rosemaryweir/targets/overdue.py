"""When a missing reply condemns a connection.

A reply that is overdue can mean a slow target or a connection that something
between the two ends has lost track of.  The target is asked, beside its
connections, to drop the request: a live connection carries the answer to that
at once, a silent one carries nothing.  Replies to requests sent later, on
other connections, tell meanwhile that the target itself is well.
"""

from rosemaryweir.targets.latency import Latency

__all__ = ['max_duration', 'overdue_after', 'overtaken']

#: A reply is overdue after the mean and so many deviations.
OVERDUE_DEVIATIONS = 10.0
#: Bounds of that wait, in s; the latter holds without a history.
OVERDUE_MIN = 0.04
OVERDUE_UNKNOWN = 0.25
HISTORY_MIN = 8
#: Later requests that must have been answered on other connections.
ANSWERED_MIN = 2
#: An attempt may take so many times the wait after which it is overdue, and
#: at least so long (s): its slot is lost for no longer if its connection is.
LONGEST_WAITS = 2.0
LONGEST_MIN = 0.15


def overdue_after(history: Latency) -> float:
    """Return after how many seconds a reply is overdue.

    Examples
    --------
    >>> overdue_after(Latency())
    0.25
    """
    if history.count < HISTORY_MIN:
        return OVERDUE_UNKNOWN
    return max(OVERDUE_MIN, history.upper(OVERDUE_DEVIATIONS))


def max_duration(history: Latency) -> float:
    """Return how many seconds a target is given for one attempt.

    Examples
    --------
    >>> max_duration(Latency())
    0.5
    """
    return max(LONGEST_MIN, LONGEST_WAITS * overdue_after(history))


def overtaken(answered_later: int) -> bool:
    """Return whether a target is well although a reply is overdue.

    Parameters
    ----------
    answered_later : int
        Requests sent later, on other connections of the target, that have
        been answered.

    Examples
    --------
    >>> overtaken(0), overtaken(2)
    (False, True)
    """
    return answered_later >= ANSWERED_MIN

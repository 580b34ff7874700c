"""When a missing reply condemns a connection.

A reply that is overdue can mean a slow target or a connection that something
between the two ends has lost track of.  Replies of the same target on other
connections, to requests sent later, tell the two apart.
"""

from rosemaryweir.targets.latency import Latency

__all__ = ['condemned', 'overdue_after']

#: A reply is overdue after the mean and so many deviations.
OVERDUE_DEVIATIONS = 10.0
#: Bounds of that wait, in s; the latter holds without a history.
OVERDUE_MIN = 0.04
OVERDUE_UNKNOWN = 0.25
HISTORY_MIN = 8
#: Later requests that must have been answered on other connections.
ANSWERED_MIN = 2


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


def condemned(waited: float, answered_later: int, history: Latency) -> bool:
    """Return whether a connection is judged silent.

    Parameters
    ----------
    waited : float
        Seconds since the request was sent on it.
    answered_later : int
        Requests sent later, on other connections of the target, that have
        been answered.
    history : Latency
        Warm latencies of the target.

    Examples
    --------
    >>> condemned(1.0, 0, Latency()), condemned(1.0, 2, Latency())
    (False, True)
    """
    if answered_later < ANSWERED_MIN:
        return False
    return waited >= overdue_after(history)

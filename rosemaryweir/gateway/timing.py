"""Deadlines of a request, and the retry time of a refused one."""

from math import exp
from random import Random

from rosemaryweir.gateway.action import InboundRequest
from rosemaryweir.gateway.model import RouteConfig

__all__ = [
    'ABANDONED_ATTEMPT_GRACE_S',
    'MAINTENANCE_INTERVAL_S',
    'TimerLag',
    'compute_deadline',
    'compute_retry_after',
    'compute_soft_deadline',
]

#: Interval of periodic maintenance, in seconds.
MAINTENANCE_INTERVAL_S = 0.25
#: Time within which an attempt whose reply is no longer needed may end before
#: its connection is closed, in seconds: a new connection costs a target more
#: than the rest of a short request.
ABANDONED_ATTEMPT_GRACE_S = 0.25
#: Time of a message from the caller or to it, in seconds: callers are about
#: 3 ms away.
ONE_WAY_S = 0.0033
#: Time that this process needs to receive a request and to send its response,
#: in seconds, on a VM with half a core.
REQUEST_OVERHEAD_S = 0.002
#: The same for each shard's reply.
SHARD_OVERHEAD_S = 0.00015
#: Shortest and longest time after which a caller should retry, in seconds.
RETRY_AFTER_BOUNDS_S = (0.02, 1.0)
#: Random part of the retry time, as a share of it.
RETRY_AFTER_SPREAD = 0.5
#: Time left of a caller that does not state its deadline, in seconds.
DEFAULT_TIME_LEFT_S = 30.0
#: Weight of a timer's delay in the estimate if it exceeds the estimate.
RISE_WEIGHT = 0.4
#: Time constant with which the estimate falls, in seconds: it rises fast and
#: falls slowly, so that most timers of a busy VM are less late than it says,
#: and is gone when the next request comes to a VM that was slow at its start.
FALL_TIME_S = 1.0


class TimerLag:
    """Estimates the delay with which timers fire.

    A VM whose processor is slow or busy responds to queries earlier, to be in
    time.

    Examples
    --------
    >>> lag = TimerLag()
    >>> for _ in range(20):
    ...     lag.record(due=1.0, now=1.01)
    >>> round(lag.seconds(now=1.01), 3), round(lag.seconds(now=4.01), 3)
    (0.01, 0.0)
    """

    def __init__(self) -> None:
        self._seconds = 0.0
        self._recorded_at = 0.0

    def seconds(self, now: float) -> float:
        """Return the expected delay of a timer, in seconds."""
        return self._seconds * exp((self._recorded_at - now) / FALL_TIME_S)

    def record(self, due: float, now: float) -> None:
        """Add the delay of a timer that fires now."""
        expected = self.seconds(now)
        excess = max(0.0, now - due - expected)
        self._seconds = expected + excess * RISE_WEIGHT
        self._recorded_at = now


def compute_deadline(
    route: RouteConfig, request: InboundRequest, now: float
) -> float:
    """Return the time when the final response is due."""
    left = (
        DEFAULT_TIME_LEFT_S if request.time_left is None else request.time_left
    )
    return now + max(
        0.0,
        min(left - ONE_WAY_S - REQUEST_OVERHEAD_S, route.timeout),
    )


def compute_soft_deadline(
    route: RouteConfig,
    request: InboundRequest,
    elapsed: float,
    lag: float,
    now: float,
) -> float:
    """Return when a query with the minimum coverage gets its response.

    Parameters
    ----------
    route : RouteConfig
        Sets the latency goal.
    request : InboundRequest
        The request.
    elapsed : float
        Time since the caller's first attempt, in seconds.
    lag : float
        Delay with which timers of this process fire, in seconds.
    now : float
        Time when the request was received.
    """
    # A new connection costs the caller a round trip before the request.
    ways = 4 if request.first_on_connection else 2
    overhead = REQUEST_OVERHEAD_S + SHARD_OVERHEAD_S * len(route.shards) + lag
    return now + route.latency_goal - elapsed - ways * ONE_WAY_S - overhead


def compute_retry_after(
    queue: float, backoff: float, rest: float, rng: Random
) -> float:
    """Return the time after which a refused caller should retry, in seconds.

    Parameters
    ----------
    queue : float
        Expected wait in the present queue.
    backoff : float
        Time until the first target in back-off is tried again.
    rest : float
        Time for which all targets have asked for rest.
    rng : random.Random
        Spreads the retries, so that callers don't return together.
    """
    least, most = RETRY_AFTER_BOUNDS_S
    spread = 1 + RETRY_AFTER_SPREAD * rng.random()
    wait = min(most, max(least, queue, backoff) * spread)
    return round(max(wait, rest * spread), 3)

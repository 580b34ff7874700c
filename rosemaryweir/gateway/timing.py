"""Deadlines of a request, and when a refused caller should come back."""

from random import Random

from rosemaryweir.gateway.action import InboundRequest
from rosemaryweir.gateway.model import RouteConfig

__all__ = [
    'CUT_S',
    'TICK_S',
    'Clockwork',
    'Lag',
    'aim_of',
    'deadline_of',
    'retry_after',
]

#: Time between rounds of upkeep, in seconds.
TICK_S = 0.25
#: Attempts that nobody waits for may end within this time, in seconds: a new
#: connection costs a target more than the rest of a short request.
CUT_S = 0.25
#: Time that an answer takes back to its caller, and the request took to come,
#: in seconds: callers are about 3 ms away.
WAY_S = 0.0033
#: Time that this process needs to take a request and to answer it, and for
#: each shard's reply, in seconds: on a VM with half a core.
ANSWER_S = 0.002
SHARD_S = 0.00015
#: Shortest and longest time after which a caller is asked back, in seconds.
RETURN_BOUNDS_S = (0.02, 1.0)
#: Callers come back spread over this share of the time.
RETURN_SPREAD = 0.5
#: Time that a caller waits who does not say so, in seconds.
UNSTATED_S = 30.0


#: Weight of a timer's delay in what is known of them: what is worse counts
#: at once, what is better slowly, so that most timers are earlier than told.
WORSE_SHARE = 0.4
BETTER_SHARE = 0.03


class Lag:
    """How late this process is: timers that fire late tell.

    A VM whose processor is slow or busy answers queries earlier, to be in
    time.

    Examples
    --------
    >>> lag = Lag()
    >>> for _ in range(20):
    ...     lag.fired(due=1.0, now=1.01)
    >>> round(lag.seconds, 3)
    0.01
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    def fired(self, due: float, now: float) -> None:
        """Count a timer that was due and fires now."""
        more = now - due - self.seconds
        share = WORSE_SHARE if more > 0 else BETTER_SHARE
        self.seconds += more * share


class Clockwork:
    """Learns how long callers of a route wait in all.

    A caller that comes back states what is left of the time that its first
    attempt had; the difference tells how much of the aim is gone.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def spent(self, route: str, time_left: float | None) -> float:
        """Return how long ago the caller's first attempt began, in seconds.

        Examples
        --------
        >>> clockwork = Clockwork()
        >>> clockwork.spent('r', 0.8), round(clockwork.spent('r', 0.7), 3)
        (0.0, 0.1)
        """
        if time_left is None:
            return 0.0
        longest = max(self._longest.get(route, 0), time_left)
        self._longest[route] = longest
        return longest - time_left


def deadline_of(route: RouteConfig, ask: InboundRequest, now: float) -> float:
    """Return when the final answer has to be given."""
    left = UNSTATED_S if ask.time_left is None else ask.time_left
    return now + max(0.0, min(left - WAY_S - ANSWER_S, route.timeout))


def aim_of(
    route: RouteConfig,
    ask: InboundRequest,
    spent: float,
    lag: float,
    now: float,
) -> float:
    """Return when a query is answered with what it has, if that is enough.

    Parameters
    ----------
    route : Route
        Gives the aim.
    ask : Ask
        The request.
    spent : float
        Time since the caller's first attempt, in seconds.
    lag : float
        Time by which this process is late, in seconds.
    now : float
        When the request came.
    """
    # A new connection costs the caller a way there and back before it asks.
    ways = 4 if ask.first_on_connection else 2
    own = ANSWER_S + SHARD_S * len(route.shards) + lag
    return now + route.latency_goal - spent - ways * WAY_S - own


def retry_after(queue: float, rest: float, rng: Random) -> float:
    """Return when a refused caller should come back, in seconds.

    Parameters
    ----------
    queue : float
        Time that the present queue needs.
    rest : float
        Time until the first target that rests is tried again.
    rng : random.Random
        Spreads callers, so that they don't return together.
    """
    least, most = RETURN_BOUNDS_S
    spread = 1 + RETURN_SPREAD * rng.random()
    return round(min(most, max(least, queue, rest) * spread), 3)

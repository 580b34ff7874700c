"""What a load run sends, and when."""

from collections.abc import Iterator
from itertools import count
from random import Random
from typing import Any, NamedTuple

__all__ = ['ORDER', 'QUERY', 'STRAIGHT', 'LoadPlan', 'Schedule', 'Shot']

QUERY = '/v1/query'
ORDER = '/v1/order'
#: Stands for a question straight to the targets.
STRAIGHT = 'straight'


class LoadPlan(NamedTuple):
    """What a run sends.

    Parameters
    ----------
    entries : tuple of str
        Addresses to ask for the directory.
    services, order_services : tuple of str
        Services that get queries and orders.
    rate, order_rate : float
        Queries and orders a second.
    seconds : float
        Length of the run.
    deadline_ms : int
        Deadline of each request.
    classes : tuple of str
        Classes that queries are spread over; empty for the default.
    tenant : str
        Caller's tenant; empty when not named.
    domains : tuple of str
        Failure domains that callers are spread over; empty when not named.
    callers : int
        Number of callers, each with its own copy of the directory.
    seed : int
        Seed of chance.
    straight : str
        File with the configuration of the targets: as many queries again go
        straight to them, as a baseline; none when empty.
    """

    entries: tuple[str, ...]
    services: tuple[str, ...]
    order_services: tuple[str, ...] = ()
    rate: float = 50.0
    order_rate: float = 5.0
    seconds: float = 10.0
    deadline_ms: int = 1000
    classes: tuple[str, ...] = ()
    tenant: str = ''
    domains: tuple[str, ...] = ()
    callers: int = 20
    seed: int = 1
    straight: str = ''


class Shot(NamedTuple):
    """One request of the load."""

    at: float
    path: str
    body: dict[str, Any]


class Schedule:
    """The requests of a run, each at its time.

    Parameters
    ----------
    plan : LoadPlan
        What to send.
    run : str
        Name of the run, part of its order keys.
    rng : random.Random
        The source of chance.
    """

    def __init__(self, plan: LoadPlan, run: str, rng: Random) -> None:
        self._plan = plan
        self._run = run
        self._rng = rng

    def shots(self) -> Iterator[Shot]:
        """Yield the requests in the order of their times."""
        plan = self._plan
        shots = list(self._queries(plan.rate)) if plan.services else []
        if plan.straight:
            shots.extend(self._straight_queries(plan.rate))
        if plan.order_services:
            shots.extend(self._orders(plan.order_rate))
        return iter(sorted(shots, key=_start))

    def _queries(self, rate: float) -> Iterator[Shot]:
        classes = self._plan.classes or ('',)
        for number, at in enumerate(self._times(rate)):
            body = {
                'service': self._rng.choice(self._plan.services),
                'query': f'{self._run}-q{number}',
                'class': self._rng.choice(classes),
            }
            yield Shot(at, QUERY, self._with_context(body))

    def _straight_queries(self, rate: float) -> Iterator[Shot]:
        for number, at in enumerate(self._times(rate)):
            body = {
                'service': self._rng.choice(self._plan.services),
                'query': f'{self._run}-s{number}',
            }
            yield Shot(at, STRAIGHT, body)

    def _orders(self, rate: float) -> Iterator[Shot]:
        for number, at in enumerate(self._times(rate)):
            body = {
                'service': self._rng.choice(self._plan.order_services),
                'order_key': f'{self._run}-o{number}',
                'body': f'order {number}',
            }
            yield Shot(at, ORDER, self._with_context(body))

    def _times(self, rate: float) -> Iterator[float]:
        at = 0.0
        for _ in count():
            at += self._rng.expovariate(rate)
            if at >= self._plan.seconds:
                return
            yield at

    def _with_context(self, body: dict[str, Any]) -> dict[str, Any]:
        context = {
            'deadline_ms': self._plan.deadline_ms,
            'tenant': self._plan.tenant,
        }
        whole = {**context, **body}
        return {key: content for key, content in whole.items() if content}


def _start(shot: Shot) -> float:
    return shot.at

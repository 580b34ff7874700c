"""Plan and schedule of the requests of a load run."""

from collections.abc import Iterator
from itertools import count
from random import Random
from typing import Any, NamedTuple

__all__ = [
    'DIRECT_QUERY',
    'ORDER',
    'QUERY',
    'LoadPlan',
    'PlannedRequest',
    'Schedule',
]

QUERY = '/v1/query'
ORDER = '/v1/order'
#: Path of queries that are sent to the targets directly.
DIRECT_QUERY = 'straight'


class LoadPlan(NamedTuple):
    """The parameters of a load run.

    Parameters
    ----------
    entries : tuple of str
        Addresses of entries that serve the directory.
    services, order_services : tuple of str
        Services that receive queries and orders.
    rate, order_rate : float
        Queries and orders per second.
    seconds : float
        Length of the run.
    deadline_ms : int
        Deadline of each request.
    classes : tuple of str
        Classes from which queries are assigned; empty for the default.
    tenant : str
        Tenant of the callers; empty if not stated.
    domains : tuple of str
        Failure domains of the callers; empty if not stated.
    callers : int
        Number of callers, each with its own copy of the directory.
    seed : int
        Seed of the random numbers.
    straight : str
        Configuration file of the targets.  As a baseline, the same number of
        queries is also sent to the targets directly; none if empty.
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


class PlannedRequest(NamedTuple):
    """A request and its start time, in seconds from the start of the run."""

    start_time: float
    path: str
    body: dict[str, Any]


class Schedule:
    """The requests of a run in order of their start times.

    Parameters
    ----------
    plan : LoadPlan
        Parameters of the run.
    run : str
        Name of the run, which is part of its order keys.
    rng : random.Random
        Random number generator.
    """

    def __init__(self, plan: LoadPlan, run: str, rng: Random) -> None:
        self._plan = plan
        self._run = run
        self._rng = rng

    def requests(self) -> Iterator[PlannedRequest]:
        """Return the requests in order of their start times."""
        plan = self._plan
        requests = list(self._queries(plan.rate)) if plan.services else []
        if plan.straight:
            requests.extend(self._direct_queries(plan.rate))
        if plan.order_services:
            requests.extend(self._orders(plan.order_rate))
        return iter(sorted(requests, key=_start_time))

    def _queries(self, rate: float) -> Iterator[PlannedRequest]:
        classes = self._plan.classes or ('',)
        for number, start_time in enumerate(self._start_times(rate)):
            body = {
                'service': self._rng.choice(self._plan.services),
                'query': f'{self._run}-q{number}',
                'class': self._rng.choice(classes),
            }
            yield PlannedRequest(start_time, QUERY, self._with_context(body))

    def _direct_queries(self, rate: float) -> Iterator[PlannedRequest]:
        for number, start_time in enumerate(self._start_times(rate)):
            body = {
                'service': self._rng.choice(self._plan.services),
                'query': f'{self._run}-s{number}',
            }
            yield PlannedRequest(start_time, DIRECT_QUERY, body)

    def _orders(self, rate: float) -> Iterator[PlannedRequest]:
        for number, start_time in enumerate(self._start_times(rate)):
            body = {
                'service': self._rng.choice(self._plan.order_services),
                'order_key': f'{self._run}-o{number}',
                'body': f'order {number}',
            }
            yield PlannedRequest(start_time, ORDER, self._with_context(body))

    def _start_times(self, rate: float) -> Iterator[float]:
        start_time = 0.0
        for _ in count():
            start_time += self._rng.expovariate(rate)
            if start_time >= self._plan.seconds:
                return
            yield start_time

    def _with_context(self, body: dict[str, Any]) -> dict[str, Any]:
        context = {
            'deadline_ms': self._plan.deadline_ms,
            'tenant': self._plan.tenant,
        }
        body_with_context = {**context, **body}
        return {
            key: content
            for key, content in body_with_context.items()
            if content
        }


def _start_time(request: PlannedRequest) -> float:
    return request.start_time

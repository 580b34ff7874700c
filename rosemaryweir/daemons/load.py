"""``rosemaryweir-load``: open-loop load, as callers send it.

Requests start at their times whether or not earlier ones were answered, so
that a slow tier can't slow the load down.  The run ends by itself and prints
one JSON object.
"""

import asyncio
import json
import sys
from collections.abc import Iterator, Mapping
from itertools import count
from random import Random
from typing import Any, NamedTuple

import fire

from rosemaryweir.daemons.clock import MS_PER_SECOND, SystemClock
from rosemaryweir.daemons.load_caller import Caller, CallerAnswer
from rosemaryweir.daemons.load_tally import LoadSummary, LoadTally
from rosemaryweir.transport.fetch import HttpPool

__all__ = ['Load', 'LoadPlan', 'main', 'run_load']

HTTP_OK = 200
EXIT_UNTRUE = 1
DEFAULT_CLASS = 'default'


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
    tenant, domain : str
        Caller's tenant and failure domain; empty when not named.
    callers : int
        Number of callers, each with its own copy of the directory.
    seed : int
        Seed of chance.
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
    domain: str = ''
    callers: int = 20
    seed: int = 1


class _Shot(NamedTuple):
    """One request of the load."""

    at: float
    path: str
    body: dict[str, Any]


class Load:
    """One run.

    Parameters
    ----------
    plan : LoadPlan
        What it sends.
    run : str
        Name of the run, part of its order keys.
    """

    def __init__(self, plan: LoadPlan, run: str) -> None:
        self._plan = plan
        self._run = run
        self._rng = Random(plan.seed)
        self._pool = HttpPool()
        self.tally = LoadTally()
        self._callers = [
            Caller(plan.entries, self._pool, self._rng, plan.domain)
            for _ in range(plan.callers)
        ]

    async def run(self) -> LoadSummary:
        """Send everything, wait for the answers, return the summary."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks = []
        for shot in self._shots():
            wait = max(began + shot.at - loop.time(), 0)
            # One shot after the other, each at its time.
            await asyncio.sleep(wait)  # noqa: WPS476
            tasks.append(asyncio.create_task(self._fire(shot)))
        await asyncio.gather(*tasks)
        self._pool.close()
        return self.tally.summary(loop.time() - began)

    def _shots(self) -> Iterator[_Shot]:
        plan = self._plan
        shots = list(self._queries(plan.rate)) if plan.services else []
        if plan.order_services:
            shots.extend(self._orders(plan.order_rate))
        return iter(sorted(shots, key=_start))

    def _queries(self, rate: float) -> Iterator[_Shot]:
        classes = self._plan.classes or ('',)
        for number, at in enumerate(self._times(rate)):
            self.tally.queries += 1
            body = {
                'service': self._rng.choice(self._plan.services),
                'query': f'{self._run}-q{number}',
                'class': self._rng.choice(classes),
            }
            yield _Shot(at, '/v1/query', self._with_context(body))

    def _orders(self, rate: float) -> Iterator[_Shot]:
        for number, at in enumerate(self._times(rate)):
            self.tally.orders += 1
            body = {
                'service': self._rng.choice(self._plan.order_services),
                'order_key': f'{self._run}-o{number}',
                'body': f'order {number}',
            }
            yield _Shot(at, '/v1/order', self._with_context(body))

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
            'domain': self._plan.domain,
        }
        whole = {**context, **body}
        return {key: content for key, content in whole.items() if content}

    async def _fire(self, shot: _Shot) -> None:
        loop = asyncio.get_running_loop()
        caller = self._rng.choice(self._callers)
        began = loop.time()
        seconds = self._plan.deadline_ms / MS_PER_SECOND
        try:
            answer = await caller.ask(shot.path, shot.body, seconds)
        except (OSError, ValueError) as exc:
            self.tally.failed(exc)
            return
        self._count(shot, answer, loop.time() - began)

    def _count(self, shot: _Shot, answer: CallerAnswer, took: float) -> None:
        self.tally.retried += answer.tries - 1
        if answer.status != HTTP_OK:
            self.tally.refused(answer.body)
            return
        class_ = shot.body.get('class', DEFAULT_CLASS)
        if shot.path == '/v1/query':
            self.tally.answered('query', class_, took, answer.body)
            self.tally.covered(shot.body['query'], answer.body)
        else:
            self.tally.answered('order', class_, took, answer.body)


def run_load(  # noqa: WPS211 each argument is a flag of the command
    entries: str,
    services: str = '',
    order_services: str = '',
    rate: float = 50.0,
    order_rate: float = 5.0,
    seconds: float = 10.0,
    deadline_ms: int = 1000,
    classes: str = '',
    tenant: str = '',
    domain: str = '',
    callers: int = 20,
    seed: int = 1,
    check: bool = False,
) -> None:
    """Send queries and orders at a steady rate and print a JSON summary.

    Lists are separated by commas.

    Parameters
    ----------
    entries : str
        Addresses (ip:port) of entries, to ask which VM to use.
    services, order_services : str
        Services that get queries and orders.
    rate, order_rate : float
        Queries and orders a second.
    seconds : float
        Length of the run.
    deadline_ms : int
        Deadline of each request.
    classes : str
        Classes of the queries.
    tenant, domain : str
        The caller's tenant and failure domain.
    callers : int
        Callers, each with its own copy of the directory's answer.
    seed : int
        Seed of chance.
    check : bool
        Only print what would be sent.
    """
    plan = LoadPlan(
        entries=_listed(entries),
        services=_listed(services),
        order_services=_listed(order_services),
        rate=rate,
        order_rate=order_rate,
        seconds=seconds,
        deadline_ms=deadline_ms,
        classes=_listed(classes),
        tenant=tenant,
        domain=domain,
        callers=callers,
        seed=seed,
    )
    if check:
        _print(plan._asdict())
        return
    run = f'load-{SystemClock().incarnation()}'
    summary = asyncio.run(_run(plan, run))
    _print(summary)
    sys.exit(EXIT_UNTRUE if summary['untrue'] else 0)


def main() -> None:
    """Run the command line."""
    fire.Fire(run_load, name='rosemaryweir-load')


async def _run(plan: LoadPlan, run: str) -> LoadSummary:
    return await Load(plan, run).run()


def _start(shot: _Shot) -> float:
    return shot.at


def _listed(text: Any) -> tuple[str, ...]:
    # The command line turns "a,b" into a tuple by itself.
    if isinstance(text, tuple | list):
        return tuple(map(str, text))
    return tuple(part for part in str(text).split(',') if part)


def _print(content: Mapping[str, Any]) -> None:
    sys.stdout.write(f'{json.dumps(content)}\n')


if __name__ == '__main__':
    main()

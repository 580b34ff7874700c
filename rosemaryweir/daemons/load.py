"""``rosemaryweir-load``: open-loop load, as callers send it.

Requests start at their times whether or not earlier ones were answered, so
that a slow tier can't slow the load down.  The run ends by itself and prints
one JSON object.
"""

import asyncio
import json
import sys
from collections.abc import Mapping
from itertools import cycle, islice
from random import Random
from typing import Any

import fire

from rosemaryweir.daemons.clock import MS_PER_SECOND, SystemClock
from rosemaryweir.daemons.load_caller import Caller, CallerAnswer
from rosemaryweir.daemons.load_plan import (
    QUERY,
    STRAIGHT,
    LoadPlan,
    Schedule,
    Shot,
)
from rosemaryweir.daemons.load_straight import Straight
from rosemaryweir.daemons.load_tally import LoadSummary, LoadTally
from rosemaryweir.transport.fetch import HttpPool

__all__ = ['Load', 'LoadPlan', 'main', 'run_load']

HTTP_OK = 200
EXIT_UNTRUE = 1
DEFAULT_CLASS = 'default'


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
        self._rng = Random(plan.seed)
        self._schedule = Schedule(plan, run, self._rng)
        self._pool = HttpPool()
        self._straight: Straight | None = None
        if plan.straight:
            self._straight = Straight.from_file(
                plan.straight,
                self._pool,
                self._rng,
            )
        self.tally = LoadTally()
        domains = cycle(plan.domains or ('',))
        self._callers = [
            Caller(plan.entries, self._pool, self._rng, domain)
            for domain in islice(domains, plan.callers)
        ]

    async def run(self) -> LoadSummary:
        """Send everything, wait for the answers, return the summary."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks = []
        for shot in self._schedule.shots():
            self.tally.sent(shot.path)
            wait = max(began + shot.at - loop.time(), 0)
            # One shot after the other, each at its time.
            await asyncio.sleep(wait)  # noqa: WPS476
            tasks.append(asyncio.create_task(self._fire(shot)))
        await asyncio.gather(*tasks)
        self._pool.close()
        return self.tally.summary(loop.time() - began)

    async def _fire(self, shot: Shot) -> None:
        loop = asyncio.get_running_loop()
        if shot.path == STRAIGHT:
            await self._fire_straight(shot)
            return
        caller = self._rng.choice(self._callers)
        began = loop.time()
        seconds = self._plan.deadline_ms / MS_PER_SECOND
        try:
            answer = await caller.ask(shot.path, shot.body, seconds)
        except (OSError, ValueError) as exc:
            self.tally.failed(exc)
            return
        self._count(shot, answer, loop.time() - began)

    async def _fire_straight(self, shot: Shot) -> None:
        assert self._straight is not None  # noqa: S101
        loop = asyncio.get_running_loop()
        began = loop.time()
        seconds = self._plan.deadline_ms / MS_PER_SECOND
        service = shot.body['service']
        try:
            whole = await self._straight.ask(
                service,
                shot.body['query'],
                seconds,
            )
        except (OSError, ValueError):
            whole = False
        outcome = 'complete' if whole else 'not_complete'
        took = loop.time() - began
        self.tally.answered(
            STRAIGHT,
            DEFAULT_CLASS,
            took,
            {'outcome': outcome},
        )

    def _count(self, shot: Shot, answer: CallerAnswer, took: float) -> None:
        self.tally.retried += answer.tries - 1
        if answer.status != HTTP_OK:
            self.tally.refused(answer.body)
            return
        class_ = shot.body.get('class', DEFAULT_CLASS)
        if shot.path == QUERY:
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
    domains: str = '',
    callers: int = 20,
    seed: int = 1,
    straight: str = '',
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
    tenant : str
        Tenant of the callers.
    domains : str
        Failure domains that the callers are spread over.
    callers : int
        Callers, each with its own copy of the directory's answer.
    seed : int
        Seed of chance.
    straight : str
        Configuration file of the stand-in targets: as many queries again go
        straight to them, as a baseline.
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
        domains=_listed(domains),
        callers=callers,
        seed=seed,
        straight=straight,
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


def _listed(text: Any) -> tuple[str, ...]:
    # The command line turns "a,b" into a tuple by itself.
    if isinstance(text, tuple | list):
        return tuple(map(str, text))
    return tuple(part for part in str(text).split(',') if part)


def _print(content: Mapping[str, Any]) -> None:
    sys.stdout.write(f'{json.dumps(content)}\n')


if __name__ == '__main__':
    main()

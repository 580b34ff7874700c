"""``rosemaryweir-load``: open-loop load generator.

Requests start at their scheduled times whether or not earlier ones were
answered, so that a slow tier does not reduce the load.  The run has a fixed
length and prints one JSON object at the end.
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
from rosemaryweir.daemons.load_caller import CallerAnswer, LoadCaller
from rosemaryweir.daemons.load_direct import DirectClient
from rosemaryweir.daemons.load_plan import (
    DIRECT_QUERY,
    QUERY,
    LoadPlan,
    PlannedRequest,
    Schedule,
)
from rosemaryweir.daemons.load_statistics import LoadStatistics, LoadSummary
from rosemaryweir.transport.fetch import HttpPool

__all__ = [
    'LoadPlan',
    'LoadRun',
    'main',
    'run_load',
]

HTTP_OK = 200
EXIT_UNTRUE_ANSWERS = 1
DEFAULT_CLASS = 'default'


class LoadRun:
    """One run of the load generator.

    Parameters
    ----------
    plan : LoadPlan
        Requests to send.
    run : str
        Name of the run, which is part of its order keys.
    """

    def __init__(self, plan: LoadPlan, run: str) -> None:
        self._plan = plan
        self._rng = Random(plan.seed)
        self._schedule = Schedule(plan, run, self._rng)
        self._pool = HttpPool()
        self._direct_client: DirectClient | None = None
        if plan.straight:
            self._direct_client = DirectClient.from_file(
                plan.straight,
                self._pool,
                self._rng,
            )
        self.statistics = LoadStatistics()
        domains = cycle(plan.domains or ('',))
        self._callers = [
            LoadCaller(plan.entries, self._pool, self._rng, domain)
            for domain in islice(domains, plan.callers)
        ]

    async def run(self) -> LoadSummary:
        """Send all requests, wait for the answers and return the summary."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        tasks = []
        for request in self._schedule.requests():
            self.statistics.record_sent(request.path)
            wait = max(started_at + request.start_time - loop.time(), 0)
            # Requests start one after the other, each at its scheduled time.
            await asyncio.sleep(wait)  # noqa: WPS476
            tasks.append(asyncio.create_task(self._send(request)))
        await asyncio.gather(*tasks)
        self._pool.close()
        return self.statistics.summary(loop.time() - started_at)

    async def _send(self, request: PlannedRequest) -> None:
        loop = asyncio.get_running_loop()
        if request.path == DIRECT_QUERY:
            await self._send_direct(request)
            return
        caller = self._rng.choice(self._callers)
        started_at = loop.time()
        seconds = self._plan.deadline_ms / MS_PER_SECOND
        try:
            answer = await caller.send(request.path, request.body, seconds)
        except (OSError, ValueError) as exc:
            self.statistics.record_error(exc)
            return
        self._record_answer(request, answer, loop.time() - started_at)

    async def _send_direct(self, request: PlannedRequest) -> None:
        assert self._direct_client is not None  # noqa: S101
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        seconds = self._plan.deadline_ms / MS_PER_SECOND
        service = request.body['service']
        try:
            complete = await self._direct_client.query(
                service,
                request.body['query'],
                seconds,
            )
        except (OSError, ValueError):
            complete = False
        outcome = 'complete' if complete else 'not_complete'
        duration = loop.time() - started_at
        self.statistics.record_answer(
            DIRECT_QUERY,
            DEFAULT_CLASS,
            duration,
            {'outcome': outcome},
        )

    def _record_answer(
        self, request: PlannedRequest, answer: CallerAnswer, duration: float
    ) -> None:
        self.statistics.retried += answer.attempts - 1
        if answer.status != HTTP_OK:
            self.statistics.record_refusal(answer.body)
            return
        class_ = request.body.get('class', DEFAULT_CLASS)
        if request.path == QUERY:
            self.statistics.record_answer(
                'query', class_, duration, answer.body
            )
            self.statistics.check_coverage(request.body['query'], answer.body)
        else:
            self.statistics.record_answer(
                'order', class_, duration, answer.body
            )


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
        Addresses (ip:port) of entries that serve the directory.
    services, order_services : str
        Services that receive queries and orders.
    rate, order_rate : float
        Queries and orders per second.
    seconds : float
        Length of the run.
    deadline_ms : int
        Deadline of each request.
    classes : str
        Classes of the queries.
    tenant : str
        Tenant of the callers.
    domains : str
        Failure domains to which the callers are assigned in turn.
    callers : int
        Number of callers, each with its own copy of the directory.
    seed : int
        Seed of the random numbers.
    straight : str
        Configuration file of the stand-in targets.  As a baseline, the same
        number of queries is also sent to the targets directly.
    check : bool
        Only print the plan of the run.
    """
    plan = LoadPlan(
        entries=_split_list(entries),
        services=_split_list(services),
        order_services=_split_list(order_services),
        rate=rate,
        order_rate=order_rate,
        seconds=seconds,
        deadline_ms=deadline_ms,
        classes=_split_list(classes),
        tenant=tenant,
        domains=_split_list(domains),
        callers=callers,
        seed=seed,
        straight=straight,
    )
    if check:
        _print_json(plan._asdict())
        return
    run = f'load-{SystemClock().incarnation()}'
    summary = asyncio.run(_run(plan, run))
    _print_json(summary)
    sys.exit(EXIT_UNTRUE_ANSWERS if summary['untrue'] else 0)


def main() -> None:
    """Run the command line."""
    fire.Fire(run_load, name='rosemaryweir-load')


async def _run(plan: LoadPlan, run: str) -> LoadSummary:
    return await LoadRun(plan, run).run()


def _split_list(text: Any) -> tuple[str, ...]:
    # Fire converts "a,b" to a tuple.
    if isinstance(text, tuple | list):
        return tuple(map(str, text))
    return tuple(part for part in str(text).split(',') if part)


def _print_json(content: Mapping[str, Any]) -> None:
    sys.stdout.write(f'{json.dumps(content)}\n')


if __name__ == '__main__':
    main()

"""Cost of the path: processor time per query and sub-request.

Queries of fan-out 1 to 120 go through one entry and one leaf over loopback
sockets; the baseline asks the same targets straight, in the same run.  All
threads share one interpreter: processor times are exact for each thread,
latencies are those of a node that waits for the others.
"""

import asyncio
import json
import statistics
import time
from typing import Any, NamedTuple

from benchmarks.path_tier import LoopThread, Tier, path_config
from benchmarks.report import Check, Report, at_least, benchmark
from rosemaryweir.daemons.logs import configure_logs
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.transport.exchange import encode_json
from rosemaryweir.transport.fetch import HttpPool

__all__ = ['run']

FAN_OUTS = (1, 10, 40, 120)
#: Sub-requests that each fan-out sends, quick and whole.
QUICK_PIECES = 1200
WHOLE_PIECES = 3600
MEDIAN_MS = 3.0
#: Queries in flight at once.
CONCURRENT = 2
READY_SECONDS = 15.0
IDLE_SECONDS = 3.0
US_PER_SECOND = 1_000_000
MS_PER_SECOND = 1000
HTTP_OK = 200


class Spent(NamedTuple):
    """Processor seconds of each thread, and of the whole process."""

    entry: float
    leaf: float
    outside: float
    process: float


class Sample(NamedTuple):
    """One fan-out: latencies in ms, coverage, processor time in us."""

    fan_out: int
    queries: int
    p50_ms: float
    p99_ms: float
    covered: float
    entry_us: float
    leaf_us: float
    rest_us: float


class _Callers:
    """Sends queries through the tier or straight to the targets."""

    def __init__(
        self,
        tier: Tier,
        caller: LoopThread,
        config: Config,
    ) -> None:
        self._tier = tier
        self._caller = caller
        self._config = config
        self._pool = HttpPool()

    def wait_ready(self) -> bool:
        """Ask until every target answers and is known as warm."""
        ends = time.monotonic() + READY_SECONDS
        while time.monotonic() < ends:
            covered = [self._caller.run(self._through(x)) for x in FAN_OUTS]
            if min(covered) == 1:
                return True
            time.sleep(0.2)
        return False

    def idle(self) -> Spent:
        """Measure what each node spends a second without any query."""
        before = self._spent()
        time.sleep(IDLE_SECONDS)
        pairs = zip(before, self._spent(), strict=True)
        return Spent(*((late - soon) / IDLE_SECONDS for soon, late in pairs))

    def through(self, fan_out: int, queries: int, idle: Spent) -> Sample:
        """Measure queries through the tier, beyond what it spends idle."""
        self._caller.run(self._many(fan_out, CONCURRENT * 4, straight=False))
        before = self._spent()
        began = time.monotonic()
        found = self._caller.run(self._many(fan_out, queries, straight=False))
        took = time.monotonic() - began
        spent = [
            US_PER_SECOND * (late - soon - rest * took) / queries
            for soon, late, rest in zip(
                before,
                self._spent(),
                idle,
                strict=True,
            )
        ]
        return _sample(fan_out, found, spent)

    def straight(self, fan_out: int, queries: int) -> Sample:
        """Measure the same questions straight to the targets."""
        self._caller.run(self._many(fan_out, CONCURRENT * 4, straight=True))
        before = self._caller.cpu_seconds()
        found = self._caller.run(self._many(fan_out, queries, straight=True))
        spent = self._caller.cpu_seconds() - before
        return _sample(
            fan_out, found, [US_PER_SECOND * spent / queries, 0, 0, 0]
        )

    def _spent(self) -> Spent:
        return Spent(
            self._tier.nodes['entry'].cpu_seconds(),
            self._tier.nodes['leaf'].cpu_seconds(),
            self._tier.outside.cpu_seconds() + self._caller.cpu_seconds(),
            time.process_time(),
        )

    async def _many(
        self,
        fan_out: int,
        queries: int,
        straight: bool,
    ) -> list[tuple[float, float]]:
        gate = asyncio.Semaphore(CONCURRENT)
        ask = self._straight if straight else self._through

        async def one() -> tuple[float, float]:
            async with gate:
                began = time.monotonic()
                covered = await ask(fan_out)
                return time.monotonic() - began, covered

        return await asyncio.gather(*(one() for _ in range(queries)))

    async def _through(self, fan_out: int) -> float:
        body = {'service': f'fan-{fan_out}', 'query': 'AB12 CDE'}
        reply = await self._pool.request(
            self._tier.address,
            'POST',
            '/v1/query',
            body=encode_json(body),
        )
        if reply.status != HTTP_OK:
            return 0.0
        coverage = json.loads(reply.body)['coverage']
        return float(coverage['covered'] / coverage['total'])

    async def _straight(self, fan_out: int) -> float:
        replies = await asyncio.gather(
            *(self._ask(f'fan-{fan_out}-{x}') for x in range(fan_out)),
        )
        return sum(replies) / fan_out

    async def _ask(self, target: str) -> int:
        body = {'shard': target, 'layout': 0, 'version': 0, 'text': 'AB12 CDE'}
        reply = await self._pool.request(
            self._config['targets'][target]['address'],
            'POST',
            '/v1/search',
            (('x-attempt', 'a-1'), ('x-deadline-ms', '5000')),
            encode_json(body),
        )
        return int(json.loads(reply.body)['status'] == 'ok')


@benchmark('path')
def run(seed: int, quick: bool) -> Report:
    """Measure the cost of the path against fan-out."""
    configure_logs('error')
    config = path_config(FAN_OUTS)
    tier = Tier(config, MEDIAN_MS)
    caller = LoopThread('caller')
    callers = _Callers(tier, caller, config)
    pieces = QUICK_PIECES if quick else WHOLE_PIECES
    counts = {x: max(pieces // x, 10) for x in FAN_OUTS}
    counts[1] = min(counts[1], pieces // 2)
    ready = callers.wait_ready()
    idle = callers.idle()
    samples = [callers.through(x, counts[x], idle) for x in FAN_OUTS]
    straight = [callers.straight(x, counts[x]) for x in FAN_OUTS]
    tier.stop()
    caller.stop()
    leaf = _line(samples, 'leaf_us')
    client = _line(straight, 'entry_us')
    return Report(
        name='path',
        seed=seed,
        figures={
            'idle_us_per_second': {
                'entry': round(US_PER_SECOND * idle.entry),
                'leaf': round(US_PER_SECOND * idle.leaf),
                'targets': len(config['targets']),
            },
            'by_fan_out': [sample._asdict() for sample in samples],
            'entry_us': _line(samples, 'entry_us'),
            'leaf_us': leaf,
            'leaf_to_client': round(
                leaf['per_sub_request'] / client['per_sub_request'],
                2,
            ),
            'zmq_us': _line(samples, 'rest_us'),
            'added_ms': _added(samples, straight),
        },
        baselines={
            'straight': [sample._asdict() for sample in straight],
            'client_us': client,
        },
        checks=_checks(ready, samples),
    )


def _checks(ready: bool, samples: list[Sample]) -> tuple[Check, ...]:
    covered = min(sample.covered for sample in samples)
    return (
        at_least('ready', float(ready), 1.0),
        at_least('coverage', covered, 1.0),
    )


def _sample(
    fan_out: int,
    found: list[tuple[float, float]],
    spent: list[float],
) -> Sample:
    times = sorted(MS_PER_SECOND * took for took, _ in found)
    entry, leaf, outside, process = spent
    return Sample(
        fan_out=fan_out,
        queries=len(found),
        p50_ms=round(statistics.median(times), 2),
        p99_ms=round(times[int(len(times) * 0.99)], 2),
        covered=min(covered for _, covered in found),
        entry_us=round(entry, 1),
        leaf_us=round(leaf, 1),
        rest_us=round(max(process - entry - leaf - outside, 0), 1),
    )


def _line(samples: list[Sample], field: str) -> dict[str, float]:
    # Cost is per_query + per_sub_request * fan_out; divided by the fan-out it
    # is a line in 1 / fan_out, on which errors weigh alike.
    inverse = [1 / sample.fan_out for sample in samples]
    shares = [getattr(one, field) / one.fan_out for one in samples]
    per_query, slope = statistics.linear_regression(inverse, shares)
    return {
        'per_query': round(per_query, 1),
        'per_sub_request': round(slope, 1),
    }


def _added(samples: list[Sample], straight: list[Sample]) -> Any:
    return [
        {
            'fan_out': tier.fan_out,
            'p50_ms': round(tier.p50_ms - alone.p50_ms, 2),
            'p99_ms': round(tier.p99_ms - alone.p99_ms, 2),
        }
        for tier, alone in zip(samples, straight, strict=True)
    ]

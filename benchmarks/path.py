"""Benchmark ``path``: processor time per query and sub-request.

Queries of fan-out 1 to 120 go through one entry and one leaf over loopback
sockets; the baseline sends the same requests directly to the targets, in the
same run.  All threads share one interpreter: processor times are exact for
each thread, but latencies include waiting for other threads.
"""

import asyncio
import json
import statistics
import time
from typing import Any, NamedTuple

from benchmarks.path_tier import LoopThread, ThreadedTier, path_config
from benchmarks.report import Check, Report, at_least, benchmark
from rosemaryweir.daemons.logs import configure_logs
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.transport.exchange import encode_json
from rosemaryweir.transport.fetch import HttpPool

__all__ = ['run']

FAN_OUTS = (1, 10, 40, 120)
# Sub-requests per fan-out, with and without ``--quick``.
QUICK_SUB_REQUESTS = 1200
FULL_SUB_REQUESTS = 3600
MEDIAN_SERVICE_MS = 3.0
MAX_IN_FLIGHT = 2
READY_LIMIT_S = 15.0
IDLE_S = 3.0
US_PER_S = 1_000_000
MS_PER_S = 1000
HTTP_OK = 200


class CpuSeconds(NamedTuple):
    """Processor seconds of each thread, and of the process."""

    entry: float
    leaf: float
    outside: float
    process: float


class PathSample(NamedTuple):
    """Result of one fan-out; processor times are in us per query."""

    fan_out: int
    queries: int
    p50_ms: float
    p99_ms: float
    covered: float
    entry_us: float
    leaf_us: float
    rest_us: float


class _PathMeter:
    """Measures queries through the tier and directly to the targets."""

    def __init__(
        self,
        tier: ThreadedTier,
        caller: LoopThread,
        config: Config,
    ) -> None:
        self._tier = tier
        self._caller = caller
        self._config = config
        self._pool = HttpPool()

    def wait_ready(self) -> bool:
        """Send queries until all targets answer; return whether they do."""
        ends = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < ends:
            covered = [self._caller.run(self._query_tier(x)) for x in FAN_OUTS]
            if min(covered) == 1:
                return True
            time.sleep(0.2)
        return False

    def measure_idle(self) -> CpuSeconds:
        """Measure processor time per second without queries."""
        before = self._read_cpu()
        time.sleep(IDLE_S)
        pairs = zip(before, self._read_cpu(), strict=True)
        return CpuSeconds(
            *((after_s - before_s) / IDLE_S for before_s, after_s in pairs)
        )

    def measure_tier(
        self, fan_out: int, queries: int, idle: CpuSeconds
    ) -> PathSample:
        """Measure queries through the tier, less its idle processor time."""
        self._caller.run(
            self._run_queries(fan_out, MAX_IN_FLIGHT * 4, direct=False)
        )
        before = self._read_cpu()
        began = time.monotonic()
        found = self._caller.run(
            self._run_queries(fan_out, queries, direct=False)
        )
        took = time.monotonic() - began
        spent = [
            US_PER_S * (after_s - before_s - rest * took) / queries
            for before_s, after_s, rest in zip(
                before,
                self._read_cpu(),
                idle,
                strict=True,
            )
        ]
        return _make_sample(fan_out, found, spent)

    def measure_direct(self, fan_out: int, queries: int) -> PathSample:
        """Measure the same queries sent directly to the targets."""
        self._caller.run(
            self._run_queries(fan_out, MAX_IN_FLIGHT * 4, direct=True)
        )
        before = self._caller.cpu_seconds()
        found = self._caller.run(
            self._run_queries(fan_out, queries, direct=True)
        )
        spent = self._caller.cpu_seconds() - before
        return _make_sample(
            fan_out, found, [US_PER_S * spent / queries, 0, 0, 0]
        )

    def _read_cpu(self) -> CpuSeconds:
        return CpuSeconds(
            self._tier.nodes['entry'].cpu_seconds(),
            self._tier.nodes['leaf'].cpu_seconds(),
            self._tier.outside.cpu_seconds() + self._caller.cpu_seconds(),
            time.process_time(),
        )

    async def _run_queries(
        self,
        fan_out: int,
        queries: int,
        direct: bool,
    ) -> list[tuple[float, float]]:
        gate = asyncio.Semaphore(MAX_IN_FLIGHT)
        ask = self._query_direct if direct else self._query_tier

        async def one() -> tuple[float, float]:
            async with gate:
                began = time.monotonic()
                covered = await ask(fan_out)
                return time.monotonic() - began, covered

        return await asyncio.gather(*(one() for _ in range(queries)))

    async def _query_tier(self, fan_out: int) -> float:
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

    async def _query_direct(self, fan_out: int) -> float:
        replies = await asyncio.gather(
            *(self._query_target(f'fan-{fan_out}-{x}') for x in range(fan_out)),
        )
        return sum(replies) / fan_out

    async def _query_target(self, target: str) -> int:
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
    """Measure the cost of the path by fan-out."""
    configure_logs('error')
    config = path_config(FAN_OUTS)
    tier = ThreadedTier(config, MEDIAN_SERVICE_MS)
    caller = LoopThread('caller')
    meter = _PathMeter(tier, caller, config)
    sub_requests = QUICK_SUB_REQUESTS if quick else FULL_SUB_REQUESTS
    counts = {x: max(sub_requests // x, 10) for x in FAN_OUTS}
    counts[1] = min(counts[1], sub_requests // 2)
    ready = meter.wait_ready()
    idle = meter.measure_idle()
    samples = [meter.measure_tier(x, counts[x], idle) for x in FAN_OUTS]
    direct = [meter.measure_direct(x, counts[x]) for x in FAN_OUTS]
    tier.stop()
    caller.stop()
    leaf = _fit_line(samples, 'leaf_us')
    client = _fit_line(direct, 'entry_us')
    return Report(
        name='path',
        seed=seed,
        figures={
            'idle_us_per_second': {
                'entry': round(US_PER_S * idle.entry),
                'leaf': round(US_PER_S * idle.leaf),
                'targets': len(config['targets']),
            },
            'by_fan_out': [sample._asdict() for sample in samples],
            'entry_us': _fit_line(samples, 'entry_us'),
            'leaf_us': leaf,
            'leaf_to_client': round(
                leaf['per_sub_request'] / client['per_sub_request'],
                2,
            ),
            'zmq_us': _fit_line(samples, 'rest_us'),
            'added_ms': _added_latency(samples, direct),
        },
        baselines={
            'straight': [sample._asdict() for sample in direct],
            'client_us': client,
        },
        checks=_checks(ready, samples),
    )


def _checks(ready: bool, samples: list[PathSample]) -> tuple[Check, ...]:
    covered = min(sample.covered for sample in samples)
    return (
        at_least('ready', float(ready), 1.0),
        at_least('coverage', covered, 1.0),
    )


def _make_sample(
    fan_out: int,
    found: list[tuple[float, float]],
    spent: list[float],
) -> PathSample:
    times = sorted(MS_PER_S * took for took, _ in found)
    entry, leaf, outside, process = spent
    return PathSample(
        fan_out=fan_out,
        queries=len(found),
        p50_ms=round(statistics.median(times), 2),
        p99_ms=round(times[int(len(times) * 0.99)], 2),
        covered=min(covered for _, covered in found),
        entry_us=round(entry, 1),
        leaf_us=round(leaf, 1),
        rest_us=round(max(process - entry - leaf - outside, 0), 1),
    )


def _fit_line(samples: list[PathSample], field: str) -> dict[str, float]:
    # The cost is per_query + per_sub_request * fan_out.  Divided by fan_out
    # it is a line over 1 / fan_out, on which errors have equal weight.
    inverse = [1 / sample.fan_out for sample in samples]
    shares = [getattr(one, field) / one.fan_out for one in samples]
    per_query, slope = statistics.linear_regression(inverse, shares)
    return {
        'per_query': round(per_query, 1),
        'per_sub_request': round(slope, 1),
    }


def _added_latency(samples: list[PathSample], direct: list[PathSample]) -> Any:
    return [
        {
            'fan_out': tier.fan_out,
            'p50_ms': round(tier.p50_ms - alone.p50_ms, 2),
            'p99_ms': round(tier.p99_ms - alone.p99_ms, 2),
        }
        for tier, alone in zip(samples, direct, strict=True)
    ]

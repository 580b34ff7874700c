"""Callers of the small site: resolve an address, then send requests."""

import asyncio
import time
from collections import Counter
from random import Random

import msgspec

from rosemaryweir.platform import protocol
from rosemaryweir.platform.standin.site import (
    DOMAINS,
    MAX_RECORDS,
    SHARDS,
    directory_address,
)
from rosemaryweir.platform.standin.targets import RECORD_BYTES
from rosemaryweir.transport.fetch import HttpPool
from rosemaryweir.transport.http_client import HttpReply

__all__ = ['DemoCallers', 'is_inconsistent']

HTTP_OK = 200
#: Deadline of each request, in ms.
CALLER_DEADLINE_MS = 2000
#: Rate of requests of each caller.
REQUESTS_PER_S = 10.0
#: One of this many requests is an order.
REQUESTS_PER_ORDER = 4


class DemoCallers:
    """One caller in each failure domain.

    Attributes
    ----------
    outcomes : Counter of str
        Number of requests by outcome.
    latencies : list of float
        Latencies of successful requests, in ms.
    """

    def __init__(self, rng: Random) -> None:
        self.outcomes: Counter[str] = Counter()
        self.latencies: list[float] = []
        self._rng = rng
        self._pool = HttpPool()

    async def run(self, seconds: float) -> None:
        """Send requests for a time."""
        ends = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            for vm, _ in enumerate(DOMAINS):
                tasks.create_task(self._run_caller(vm, ends))
        self._pool.close()

    async def _run_caller(self, vm: int, ends: float) -> None:
        addresses: list[str] = []
        expires = float(0)
        number = 0
        while time.monotonic() < ends:
            if time.monotonic() >= expires:
                addresses, ttl = await self._resolve(vm)
                expires = time.monotonic() + ttl
            if addresses:
                number += 1
                await self._request(vm, number, self._rng.choice(addresses))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _resolve(self, vm: int) -> tuple[list[str], float]:
        """Ask the directory of the own failure domain, then the others."""
        path = f'{protocol.RESOLVE_PATH}?name=demo&region=r&zone={DOMAINS[vm]}'
        for step, _ in enumerate(DOMAINS):
            address = directory_address((vm + step) % len(DOMAINS))
            # One directory after another, as the platform's callers do.
            reply = await self._get(address, path)  # noqa: WPS476
            if reply is not None and reply.status == HTTP_OK:
                answer = msgspec.json.decode(reply.body)
                return answer['addrs'], answer['ttl_s']
        return [], 1 / REQUESTS_PER_S

    async def _get(self, address: str, path: str) -> HttpReply | None:
        try:
            return await self._pool.request(address, 'GET', path)
        except OSError:
            self.outcomes['directory: not reached'] += 1
            return None

    async def _request(self, vm: int, number: int, address: str) -> None:
        kind = 'query' if number % REQUESTS_PER_ORDER else 'order'
        request_id = f'{vm}-{number}'
        headers = (
            (protocol.REQUEST_ID_HEADER, request_id),
            (protocol.DEADLINE_HEADER, str(CALLER_DEADLINE_MS)),
        )
        method = 'GET' if kind == 'query' else 'POST'
        began = time.monotonic()
        try:
            reply = await self._pool.request(
                address,
                method,
                f'/{kind}/{number}',
                headers,
            )
        except OSError:
            self.outcomes[f'{kind}: no answer'] += 1
            return
        self.outcomes[f'{kind}: {reply.status}'] += 1
        if reply.status != HTTP_OK:
            return
        self.latencies.append((time.monotonic() - began) * 1000)
        if kind == 'query' and is_inconsistent(reply, request_id):
            self.outcomes['query: untrue'] += 1


def is_inconsistent(reply: HttpReply, request_id: str) -> bool:
    """Return whether a merged answer contradicts its partials.

    A stand-in target replies with its name as the only record, and its
    signature consists of its name and the id of the request.
    """
    signatures = reply.headers[protocol.PARTIAL_SIGNATURES_HEADER].split(', ')
    names = [text.removesuffix(f'.{request_id}') for text in signatures]
    shards = {name.partition('.')[0] for name in names}
    missing = int(reply.headers[protocol.MISSING_COUNT_HEADER])
    records = sorted(
        (name.ljust(RECORD_BYTES).encode() for name in names),
        reverse=True,
    )
    complete = len(shards) == len(names) == len(SHARDS) - missing
    return not complete or reply.body != b''.join(records[:MAX_RECORDS])

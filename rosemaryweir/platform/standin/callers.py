"""Callers of the small site: they ask the directory, then connect."""

import asyncio
import time
from collections import Counter
from random import Random

import msgspec

from rosemaryweir.platform import words
from rosemaryweir.platform.standin.site import (
    DOMAINS,
    SHARDS,
    TOP,
    directory_of,
)
from rosemaryweir.platform.standin.targets import RECORD_BYTES
from rosemaryweir.transport.fetch import HttpPool
from rosemaryweir.transport.http_client import HttpReply

__all__ = ['Crowd', 'untrue']

HTTP_OK = 200
#: Time that a caller waits for its answer, in ms.
DEADLINE_MS = 2000
#: Requests of each caller a second.
RATE = 10.0
#: One request in so many is an order.
ORDER_EVERY = 4


class Crowd:
    """One caller in each failure domain.

    Attributes
    ----------
    seen : Counter of str
        What became of requests.
    latencies : list of float
        Of successes, in ms.
    """

    def __init__(self, rng: Random) -> None:
        self.seen: Counter[str] = Counter()
        self.latencies: list[float] = []
        self._rng = rng
        self._pool = HttpPool()

    async def run(self, seconds: float) -> None:
        """Ask for so many seconds."""
        ends = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            for vm, _ in enumerate(DOMAINS):
                tasks.create_task(self._caller(vm, ends))
        self._pool.close()

    async def _caller(self, vm: int, ends: float) -> None:
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
            await asyncio.sleep(1 / RATE)

    async def _resolve(self, vm: int) -> tuple[list[str], float]:
        """Ask the near directory, then the others."""
        path = f'{words.RESOLVE_PATH}?name=demo&region=r&zone={DOMAINS[vm]}'
        for step, _ in enumerate(DOMAINS):
            address = directory_of((vm + step) % len(DOMAINS))
            # One directory after the other, as callers do.
            reply = await self._get(address, path)  # noqa: WPS476
            if reply is not None and reply.status == HTTP_OK:
                answer = msgspec.json.decode(reply.body)
                return answer['addrs'], answer['ttl_s']
        return [], 1 / RATE

    async def _get(self, address: str, path: str) -> HttpReply | None:
        try:
            return await self._pool.request(address, 'GET', path)
        except OSError:
            self.seen['directory: not reached'] += 1
            return None

    async def _request(self, vm: int, number: int, address: str) -> None:
        kind = 'query' if number % ORDER_EVERY else 'order'
        request_id = f'{vm}-{number}'
        headers = (
            (words.REQUEST_ID, request_id),
            (words.DEADLINE, str(DEADLINE_MS)),
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
            self.seen[f'{kind}: no answer'] += 1
            return
        self.seen[f'{kind}: {reply.status}'] += 1
        if reply.status != HTTP_OK:
            return
        self.latencies.append((time.monotonic() - began) * 1000)
        if kind == 'query' and untrue(reply, request_id):
            self.seen['query: untrue'] += 1


def untrue(reply: HttpReply, request_id: str) -> bool:
    """Return whether a merged answer says what its partials don't.

    A stand-in target answers with its name as the one record, and signs with
    its name and the request's id.
    """
    signatures = reply.headers[words.PARTIALS].split(', ')
    named = [text.removesuffix(f'.{request_id}') for text in signatures]
    shards = {name.partition('.')[0] for name in named}
    missing = int(reply.headers[words.MISSING])
    records = sorted(
        (name.ljust(RECORD_BYTES).encode() for name in named),
        reverse=True,
    )
    whole = len(shards) == len(named) == len(SHARDS) - missing
    return not whole or reply.body != b''.join(records[:TOP])

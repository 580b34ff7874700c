"""A caller: asks the directory, keeps the answer a while, connects there."""

import asyncio
import json
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any, NamedTuple

from rosemaryweir.daemons.clock import MS_PER_SECOND
from rosemaryweir.transport.exchange import encode_json
from rosemaryweir.transport.fetch import HttpPool
from rosemaryweir.transport.http_client import HttpReply

__all__ = ['Caller', 'CallerAnswer']

HTTP_OK = 200
DIRECTORY_SECONDS = 2.0
#: Time beyond the deadline that a caller waits for the answer, in seconds.
GRACE_SECONDS = 1.0


class CallerAnswer(NamedTuple):
    """A reply; ``tries`` counts the VMs asked."""

    status: int
    body: Mapping[str, Any]
    tries: int


class Caller:
    """One caller with its own copy of the directory's answer.

    Parameters
    ----------
    entries : sequence of str
        Addresses, ``ip:port``, that it may ask for the directory.
    pool : HttpPool
        Connections, shared by callers.
    rng : random.Random
        The source of chance.
    domain : str
        Its failure domain; empty when it names none.
    """

    def __init__(
        self,
        entries: Sequence[str],
        pool: HttpPool,
        rng: Random,
        domain: str = '',
    ) -> None:
        self._entries = entries
        self._pool = pool
        self._rng = rng
        self._domain = domain
        self._use: list[str] = []
        self._expires = 0.0

    async def ask(
        self,
        path: str,
        body: Mapping[str, Any],
        seconds: float,
    ) -> CallerAnswer:
        """Send a request to the VM of the directory.

        A connection that fails is tried once more at another VM, as long as
        there is time: queries are idempotent, and an order keeps its key.

        Raises
        ------
        OSError
            If no VM answers in time.
        """
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds + GRACE_SECONDS
        if self._domain:
            body = {**body, 'domain': self._domain}
        address = await self._address()
        try:
            reply = await self._post(address, path, body, ends)
        except OSError:
            self._avoid(address)
            address = await self._address()
            reply = await self._post(address, path, body, ends)
            return CallerAnswer(reply.status, json.loads(reply.body), 2)
        return CallerAnswer(reply.status, json.loads(reply.body), 1)

    async def _post(
        self,
        address: str,
        path: str,
        body: Mapping[str, Any],
        ends: float,
    ) -> HttpReply:
        left = ends - asyncio.get_running_loop().time()
        if left <= 0:
            raise TimeoutError
        return await self._pool.request(
            address,
            'POST',
            path,
            (('content-type', 'application/json'),),
            encode_json(body),
            left,
        )

    async def _address(self) -> str:
        now = asyncio.get_running_loop().time()
        if now >= self._expires or not self._use:
            await self._ask_directory()
        return self._use[0]

    async def _ask_directory(self) -> None:
        entries = self._rng.sample(self._entries, len(self._entries))
        query = f'?domain={self._domain}' if self._domain else ''
        path = f'/v1/directory{query}'
        for entry in entries:
            # One after the other: the first that answers is enough.
            if await self._learn(entry, path):  # noqa: WPS476
                return
        raise ConnectionError('no VM answers the directory')

    async def _learn(self, entry: str, path: str) -> bool:
        try:
            reply = await self._pool.request(
                entry,
                'GET',
                path,
                seconds=DIRECTORY_SECONDS,
            )
        except OSError:
            return False
        if reply.status != HTTP_OK:
            return False
        answer = json.loads(reply.body)
        self._use = [use['address'] for use in answer['use']]
        ttl = answer['ttl_ms'] / MS_PER_SECOND
        self._expires = asyncio.get_running_loop().time() + ttl
        return bool(self._use)

    def _avoid(self, address: str) -> None:
        self._use = [other for other in self._use if other != address]

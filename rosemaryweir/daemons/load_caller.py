"""A simulated caller, which caches the directory and sends requests."""

import asyncio
import json
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any, NamedTuple

from rosemaryweir.daemons.clock import MS_PER_SECOND
from rosemaryweir.transport.exchange import encode_json
from rosemaryweir.transport.fetch import HttpPool
from rosemaryweir.transport.http_client import HttpReply

__all__ = ['CallerAnswer', 'LoadCaller']

HTTP_OK = 200
DIRECTORY_TIMEOUT_SECONDS = 2.0
#: Time after the deadline for which a caller waits for the answer.
RESPONSE_GRACE_SECONDS = 1.0


class CallerAnswer(NamedTuple):
    """A response, and the number of VMs to which the request was sent."""

    status: int
    body: Mapping[str, Any]
    attempts: int


class LoadCaller:
    """A caller with its own copy of the directory.

    Parameters
    ----------
    entries : sequence of str
        Addresses (``ip:port``) of entries that serve the directory.
    pool : HttpPool
        Connections, shared with other callers.
    rng : random.Random
        Random number generator.
    domain : str
        Failure domain of the caller; empty if it states none.
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
        self._addresses: list[str] = []
        self._expires_at = 0.0

    async def send(
        self,
        path: str,
        body: Mapping[str, Any],
        seconds: float,
    ) -> CallerAnswer:
        """Send a request to the first VM of the directory.

        If the connection fails, the request is sent once more, to another VM,
        within the same time limit.  This is safe because queries are
        idempotent and an order keeps its key.

        Raises
        ------
        OSError
            If no VM answers within the time limit.
        """
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + seconds + RESPONSE_GRACE_SECONDS
        if self._domain:
            body = {**body, 'domain': self._domain}
        address = await self._choose_address()
        try:
            reply = await self._post(address, path, body, give_up_at)
        except OSError:
            self._drop_address(address)
            address = await self._choose_address()
            reply = await self._post(address, path, body, give_up_at)
            return CallerAnswer(reply.status, json.loads(reply.body), 2)
        return CallerAnswer(reply.status, json.loads(reply.body), 1)

    async def _post(
        self,
        address: str,
        path: str,
        body: Mapping[str, Any],
        give_up_at: float,
    ) -> HttpReply:
        remaining = give_up_at - asyncio.get_running_loop().time()
        if remaining <= 0:
            raise TimeoutError
        return await self._pool.request(
            address,
            'POST',
            path,
            (('content-type', 'application/json'),),
            encode_json(body),
            remaining,
        )

    async def _choose_address(self) -> str:
        now = asyncio.get_running_loop().time()
        if now >= self._expires_at or not self._addresses:
            await self._refresh_addresses()
        return self._addresses[0]

    async def _refresh_addresses(self) -> None:
        entries = self._rng.sample(self._entries, len(self._entries))
        query = f'?domain={self._domain}' if self._domain else ''
        path = f'/v1/directory{query}'
        for entry in entries:
            # One after the other, as a single answer is sufficient.
            if await self._read_directory(entry, path):  # noqa: WPS476
                return
        raise ConnectionError('no entry answered the directory request')

    async def _read_directory(self, entry: str, path: str) -> bool:
        try:
            reply = await self._pool.request(
                entry,
                'GET',
                path,
                seconds=DIRECTORY_TIMEOUT_SECONDS,
            )
        except OSError:
            return False
        if reply.status != HTTP_OK:
            return False
        answer = json.loads(reply.body)
        self._addresses = [use['address'] for use in answer['use']]
        ttl = answer['ttl_ms'] / MS_PER_SECOND
        self._expires_at = asyncio.get_running_loop().time() + ttl
        return bool(self._addresses)

    def _drop_address(self, address: str) -> None:
        self._addresses = [
            other for other in self._addresses if other != address
        ]

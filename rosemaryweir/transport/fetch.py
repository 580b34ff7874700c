"""HTTP requests as coroutines, over connections that are kept."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from contextlib import closing

from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel

__all__ = ['HttpPool', 'fetch']


class _Wait:
    """Turns what a channel tells into a future."""

    def __init__(self) -> None:
        self.future: asyncio.Future[HttpReply] | None = None

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Resolve the future."""
        if self.future is not None and not self.future.done():
            self.future.set_result(reply)

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Take nothing: these requests don't stream."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Fail the future."""
        if self.future is not None and not self.future.done():
            self.future.set_exception(ConnectionError(reason))


class HttpPool:
    """Keeps idle connections by address.

    Examples
    --------
    A request fails with ``OSError`` (``TimeoutError`` is one)::

        reply = await pool.request(address, 'GET', '/v1/health', seconds=1)
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[tuple[Channel, _Wait]]] = defaultdict(list)

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        seconds: float = 5.0,
    ) -> HttpReply:
        """Send one request and return its reply.

        Raises
        ------
        OSError
            If the connection fails or the time is over.
        """
        async with asyncio.timeout(seconds):
            channel, wait = await self._connection(address, seconds)
            try:
                return await self._exchange(
                    address,
                    channel,
                    wait,
                    (method, path, headers, body),
                )
            except BaseException:
                # Also when cancelled: the reply is no longer wanted.
                channel.drop()
                raise

    def close(self) -> None:
        """Drop every idle connection."""
        for conns in self._idle.values():
            for channel, _ in conns:
                channel.drop()
        self._idle.clear()

    async def _connection(
        self,
        address: str,
        seconds: float,
    ) -> tuple[Channel, _Wait]:
        idle = self._idle[address]
        while idle:
            channel, wait = idle.pop()
            if channel.open:
                return channel, wait
        wait = _Wait()
        return await open_channel(address, wait, seconds), wait

    async def _exchange(
        self,
        address: str,
        channel: Channel,
        wait: _Wait,
        request: tuple[str, str, Iterable[tuple[str, str]], bytes],
    ) -> HttpReply:
        wait.future = asyncio.get_running_loop().create_future()
        channel.send(*request)
        reply = await wait.future
        if channel.open and channel.reusable:
            self._idle[address].append((channel, wait))
        return reply


async def fetch(
    address: str,
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b'',
    seconds: float = 5.0,
) -> HttpReply:
    """Send one request over a connection of its own.

    Raises
    ------
    OSError
        If the connection fails or the time is over.
    """
    with closing(HttpPool()) as pool:
        return await pool.request(
            address,
            method,
            path,
            headers,
            body,
            seconds,
        )

"""Sends HTTP requests from coroutines, over a pool of connections."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from contextlib import closing

from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel

__all__ = ['HttpPool', 'fetch']


class _FutureListener:
    """Resolves a future with the reply or the end of a channel."""

    def __init__(self) -> None:
        self.future: asyncio.Future[HttpReply] | None = None

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Resolve the future with the reply."""
        if self.future is not None and not self.future.done():
            self.future.set_result(reply)

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Do nothing: these replies are not streamed."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Fail the future with the reason of the end."""
        if self.future is not None and not self.future.done():
            self.future.set_exception(ConnectionError(reason))


class HttpPool:
    """Pool of idle connections by address.

    Examples
    --------
    A request that fails raises ``OSError`` (for instance ``TimeoutError``)::

        reply = await pool.request(address, 'GET', '/v1/health', seconds=1)
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[tuple[Channel, _FutureListener]]] = (
            defaultdict(list)
        )

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
            If the connection fails or no reply arrives within the time.
        """
        async with asyncio.timeout(seconds):
            channel, listener = await self._connection(address, seconds)
            try:
                return await self._exchange(
                    address,
                    channel,
                    listener,
                    (method, path, headers, body),
                )
            except BaseException:
                # Also on cancellation: the connection still carries a request
                # whose reply nobody reads, so it can't be reused.
                channel.drop()
                raise

    def close(self) -> None:
        """Abort every idle connection."""
        for conns in self._idle.values():
            for channel, _ in conns:
                channel.drop()
        self._idle.clear()

    async def _connection(
        self,
        address: str,
        seconds: float,
    ) -> tuple[Channel, _FutureListener]:
        idle = self._idle[address]
        while idle:
            channel, listener = idle.pop()
            if channel.open:
                return channel, listener
        listener = _FutureListener()
        return await open_channel(address, listener, seconds), listener

    async def _exchange(
        self,
        address: str,
        channel: Channel,
        listener: _FutureListener,
        request: tuple[str, str, Iterable[tuple[str, str]], bytes],
    ) -> HttpReply:
        listener.future = asyncio.get_running_loop().create_future()
        channel.send(*request)
        reply = await listener.future
        if channel.open and channel.reusable:
            self._idle[address].append((channel, listener))
        return reply


async def fetch(
    address: str,
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b'',
    seconds: float = 5.0,
) -> HttpReply:
    """Send one request over a new connection and return its reply.

    Raises
    ------
    OSError
        If the connection fails or no reply arrives within the time.
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

"""Watches objects of the platform's store over a long-lived HTTP stream."""

import asyncio
from collections.abc import Callable

from rosemaryweir.node.action import StoreWatch
from rosemaryweir.node.event import Event, WatchEnded, WatchEvent
from rosemaryweir.objectstore.wire import parse_object_list, watch_path
from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel

__all__ = ['WatchStream']

CONNECT_TIMEOUT_S = 1.0
#: Time without received data after which a watch has stalled, in seconds.
STALL_TIMEOUT_S = 2.5
#: Maximum length of a line of the stream, in bytes.
MAX_LINE_BYTES = 4 * 1024 * 1024


class WatchStream:
    """Stream of changes to objects, until it ends or is stopped.

    Parameters
    ----------
    address : str
        ``ip:port`` of the object API.
    action : StoreWatch
        Prefix of the keys to watch and the revision to start after.
    post : callable
        Called with each event; the last one is ``WatchEnded``, unless the
        watch is stopped.

    Notes
    -----
    A watch that receives no data for `STALL_TIMEOUT_S` is ended, as the server
    may no longer know the connection.
    """

    def __init__(
        self,
        address: str,
        action: StoreWatch,
        post: Callable[[Event], None],
    ) -> None:
        self._address = address
        self._action = action
        self._post = post
        self._channel: Channel | None = None
        self._task: asyncio.Task[None] | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        self._partial_line = bytearray()
        self._ended = False

    def start(self) -> None:
        """Connect and request the stream."""
        self._task = asyncio.create_task(self._connect())

    def stop(self) -> None:
        """End the watch without an event."""
        self._ended = True
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self._channel is not None:
            self._channel.drop()

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Handle the end of the stream or a refusal."""
        self._end(f'ended with status {reply.status}')

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Post an event for each line that the chunk completes."""
        self._reset_stall_timer()
        self._partial_line.extend(chunk)
        *lines, rest = bytes(self._partial_line).split(b'\n')
        self._partial_line = bytearray(rest)
        if len(rest) > MAX_LINE_BYTES:
            self._end('line too long')
        for line in lines:
            self._handle_line(line)

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Handle the end of the connection."""
        self._end(reason)

    async def _connect(self) -> None:
        try:
            self._channel = await open_channel(
                self._address,
                self,
                CONNECT_TIMEOUT_S,
            )
        except OSError as exc:
            self._end(f'unavailable: {exc!r}')
            return
        path = watch_path(self._action.prefix, self._action.revision)
        self._channel.send('GET', path, streaming=True)
        self._reset_stall_timer()

    def _handle_line(self, line: bytes) -> None:
        if self._ended:
            return
        try:
            listing = parse_object_list(line)
        except ValueError:
            self._end('malformed line')
            return
        call = self._action.call
        self._post(WatchEvent(call, listing.objects, listing.revision))

    def _reset_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        loop = asyncio.get_running_loop()
        self._stall_timer = loop.call_later(
            STALL_TIMEOUT_S,
            lambda: self._end('stalled'),
        )

    def _end(self, reason: str) -> None:
        if not self._ended:
            self.stop()
            self._post(WatchEnded(self._action.call, reason))

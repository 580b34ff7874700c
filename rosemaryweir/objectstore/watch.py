"""A watch on the platform's object API: a long-lived stream of lines."""

import asyncio
from collections.abc import Callable

from rosemaryweir.node.action import StoreWatch
from rosemaryweir.node.event import Event, WatchEnded, WatchEvent
from rosemaryweir.objectstore.wire import parse_object_list, watch_path
from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel

__all__ = ['WatchStream']

CONNECT_SECONDS = 1.0
#: A watch without a sign of life for this long has stalled.
SILENCE_SECONDS = 2.5
#: Longest line of a watch, in bytes.
MAX_LINE_BYTES = 4 * 1024 * 1024


class WatchStream:
    """One watch, from its start until it ends or is stopped.

    Parameters
    ----------
    address : str
        ``ip:port`` of the object API.
    action : StoreWatch
        What to watch.
    post : callable
        Takes the events; the last is ``WatchEnded``, unless stopped.

    Notes
    -----
    A watch that says nothing for `SILENCE_SECONDS` is ended: the peer may
    have lost track of the connection.
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
        self._timer: asyncio.TimerHandle | None = None
        self._line = bytearray()
        self._over = False

    def start(self) -> None:
        """Connect and begin."""
        self._task = asyncio.create_task(self._open())

    def stop(self) -> None:
        """End the watch without an event."""
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self._channel is not None:
            self._channel.drop()

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Note the end of the stream, or a refusal."""
        self._end(f'ended with status {reply.status}')

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Take a part of the stream; each whole line is one event."""
        self._listen()
        self._line.extend(chunk)
        *lines, rest = bytes(self._line).split(b'\n')
        self._line = bytearray(rest)
        if len(rest) > MAX_LINE_BYTES:
            self._end('line too long')
        for line in lines:
            self._take(line)

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Note the end of the connection."""
        self._end(reason)

    async def _open(self) -> None:
        try:
            self._channel = await open_channel(
                self._address,
                self,
                CONNECT_SECONDS,
            )
        except OSError as exc:
            self._end(f'unavailable: {exc!r}')
            return
        path = watch_path(self._action.prefix, self._action.revision)
        self._channel.send('GET', path, streaming=True)
        self._listen()

    def _take(self, line: bytes) -> None:
        if self._over:
            return
        try:
            listing = parse_object_list(line)
        except ValueError:
            self._end('malformed line')
            return
        call = self._action.call
        self._post(WatchEvent(call, listing.objects, listing.revision))

    def _listen(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            SILENCE_SECONDS,
            lambda: self._end('stalled'),
        )

    def _end(self, reason: str) -> None:
        if not self._over:
            self.stop()
            self._post(WatchEnded(self._action.call, reason))

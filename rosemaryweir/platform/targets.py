"""Connections to targets: requests out, replies in."""

import asyncio
from collections.abc import Callable, Iterator, Sequence

from rosemaryweir.gateway.action import (
    CloseTargetConnection,
    DecodedReply,
    InboundRequest,
    OpenTargetConnection,
    SendAttempt,
)
from rosemaryweir.platform import words
from rosemaryweir.transport.http_client import (
    Channel,
    HttpReply,
    encode_request_head,
    open_channel,
)

__all__ = ['TargetLinks', 'passed_on']

HTTP_MISDIRECTED = 421
MS_PER_SECOND = 1000
#: Methods whose requests state a length even without a body.
_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))


class _Link:
    """One connection and what it tells."""

    def __init__(self, number: int, links: 'TargetLinks') -> None:
        self.number = number
        self.channel: Channel | None = None
        self._links = links

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Take a whole reply."""
        if not channel.reusable:
            self._links.forget(self.number)
        self._links.replied(
            self.number,
            decode_reply(reply),
            channel.reusable,
            _kept_for(reply),
        )

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Take nothing: targets don't stream."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Take the end of the connection."""
        if self._links.forget(self.number):
            self._links.broken(self.number, reason)


class TargetLinks:
    """Carries out what the gateway asks of connections to targets.

    Parameters
    ----------
    opened, replied, broken : callable
        Take what becomes of connections, by their numbers.
    """

    def __init__(
        self,
        opened: Callable[[int], None],
        replied: Callable[[int, DecodedReply, bool, float | None], None],
        broken: Callable[[int, str], None],
    ) -> None:
        self.replied = replied
        self.broken = broken
        self._opened = opened
        self._links: dict[int, _Link] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_head: tuple[InboundRequest | None, bytes] = (None, b'')

    def open(self, action: OpenTargetConnection) -> None:
        """Open a connection."""
        link = _Link(action.conn, self)
        self._links[action.conn] = link
        task = asyncio.create_task(self._open(link, action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send(self, action: SendAttempt) -> None:
        """Send a request."""
        link = self._links.get(action.conn)
        if link is None or link.channel is None or not link.channel.open:
            # Not from within the decider's own call.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._lost, action.conn)
            return
        ask = action.request
        left_ms = max(1, int(action.time_left * MS_PER_SECOND))
        own = (
            f'{words.DEADLINE}: {left_ms}\r\n'
            f'{words.INCARNATION}: {action.incarnation}\r\n'
        )
        head = self._common_head(ask) + own.encode('latin-1')
        link.channel.send_encoded(ask.method, head, ask.body)

    def close(self, action: CloseTargetConnection) -> None:
        """Drop a connection without a report."""
        link = self._links.pop(action.conn, None)
        if link is not None and link.channel is not None:
            link.channel.drop()

    def forget(self, number: int) -> bool:
        """Forget a connection; return whether it was known."""
        return self._links.pop(number, None) is not None

    def _common_head(self, ask: InboundRequest) -> bytes:
        """Return the part of the head that all sends of a request share."""
        known, head = self._last_head
        if known is ask:
            return head
        headers = list(ask.headers)
        if ask.body or ask.method in _WITH_BODY:
            headers.append((b'content-length', str(len(ask.body)).encode()))
        head = encode_request_head(ask.method, ask.target, headers)
        self._last_head = (ask, head)
        return head

    def _lost(self, number: int) -> None:
        self.forget(number)
        self.broken(number, 'closed before the request')

    async def _open(self, link: _Link, action: OpenTargetConnection) -> None:
        try:
            channel = await open_channel(action.address, link, action.timeout)
        except OSError as exc:
            if self.forget(action.conn):
                self.broken(action.conn, f'not connected: {exc!r}')
            return
        if self._links.get(action.conn) is not link:
            channel.drop()
            return
        link.channel = channel
        if channel.open:
            self._opened(action.conn)


def decode_reply(reply: HttpReply) -> DecodedReply:
    """Return a target's reply by what its headers mean."""
    headers = reply.headers
    cold_ms = headers.get(words.COLD, '')
    encoded = headers.get('content-encoding', 'identity') != 'identity'
    return DecodedReply(
        status=reply.status,
        headers=reply.raw_headers,
        body=reply.body,
        request_id=headers.get(words.REQUEST_ID, ''),
        # A body that was encoded on the way is not the target's.
        signature='' if encoded else headers.get(words.SIGNATURE, ''),
        not_run=words.NOT_RUN in headers,
        misdirected=reply.status == HTTP_MISDIRECTED,
        cold_seconds=int(cold_ms) / MS_PER_SECOND
        if cold_ms.isdigit()
        else None,
    )


def passed_on(
    headers: Sequence[tuple[bytes, bytes]],
) -> Iterator[tuple[bytes, bytes]]:
    """Yield the headers that don't concern one connection only."""
    named = {
        name.strip().lower()
        for key, content in headers
        if key == b'connection'
        for name in content.split(b',')
    }
    dropped = words.ALWAYS_DROPPED | named
    yield from (
        (key, content) for key, content in headers if key not in dropped
    )


def _kept_for(reply: HttpReply) -> float | None:
    text = reply.headers.get('keep-alive', '')
    for part in text.split(','):
        name, _, seconds = part.strip().partition('=')
        if name == 'timeout' and seconds.isdigit():
            return float(seconds)
    return None

"""Heartbeats between VMs by datagram, and changes on request by HTTP."""

import asyncio
import zlib
from collections.abc import Callable
from contextlib import closing
from urllib.parse import parse_qs, urlsplit

import msgspec

from rosemaryweir.catalog.relay import RelayAnswer
from rosemaryweir.presence.heartbeats import (
    VmHeartbeat,
    decode_heartbeat,
    encode_heartbeat,
)
from rosemaryweir.transport.exchange import Exchange
from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel
from rosemaryweir.transport.http_server import HttpServer

__all__ = ['GossipPort', 'RelayServer', 'fetch_changes']

#: Time to connect to another VM, and for its answer, in seconds.
CONNECT_S = 0.4
ANSWER_S = 1.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
CHANGES_PATH = '/v1/changes'
#: Routes of a large configuration differ little: even the fastest level
#: makes them a tenth, and all VMs ask within a second for them.
PACK_LEVEL = 1
#: Most bytes of an answer once it is unpacked.
MOST_UNPACKED = 64 * 1024 * 1024
_DECODER = msgspec.msgpack.Decoder(RelayAnswer)


class GossipPort(asyncio.DatagramProtocol):
    """Sends and receives heartbeats.

    Parameters
    ----------
    take : callable
        Takes each heartbeat.

    Attributes
    ----------
    malformed : int
        Datagrams that were none.
    """

    def __init__(self, take: Callable[[VmHeartbeat], None]) -> None:
        self.malformed = 0
        self._take = take
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        pair = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, int(port)),
        )
        self._transport = pair[0]

    def send(self, beat: VmHeartbeat, addresses: list[str]) -> None:
        """Send a heartbeat; what can't leave is dropped, the next one comes."""
        datagram = encode_heartbeat(beat)
        for address in addresses:
            host, _, port = address.rpartition(':')
            if self._transport is not None:
                self._transport.sendto(datagram, (host, int(port)))

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Take a datagram."""
        beat = decode_heartbeat(data)
        if beat is None:
            self.malformed += 1
        else:
            self._take(beat)

    def error_received(self, exc: Exception) -> None:
        """Take that a VM can't be reached: silence tells the same."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


class RelayServer:
    """Gives other VMs the changes that they lack.

    Parameters
    ----------
    changes : callable
        Returns the changes of a kind after a revision; None for a kind that
        isn't relayed.
    """

    def __init__(
        self,
        changes: Callable[[str, int], RelayAnswer | None],
    ) -> None:
        self.http = HttpServer(self._answer)
        self._changes = changes

    def _answer(self, exchange: Exchange) -> None:
        target = urlsplit(exchange.request.path)
        query = parse_qs(target.query)
        kind = query.get('kind', [''])[0]
        since = query.get('since', [''])[0]
        known = target.path == CHANGES_PATH and since.isdigit()
        answer = self._changes(kind, int(since)) if known else None
        if answer is None:
            exchange.refuse(HTTP_NOT_FOUND, 'unknown', exchange.request.path)
        else:
            exchange.reply(HTTP_OK, pack_answer(answer))


class _OneReply:
    """Waits for the one reply of a channel."""

    def __init__(self) -> None:
        self.reply: asyncio.Future[HttpReply] = (
            asyncio.get_running_loop().create_future()
        )

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Take the reply."""
        if not self.reply.done():
            self.reply.set_result(reply)

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Take nothing: the reply comes whole."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Take the end of the connection."""
        if not self.reply.done():
            self.reply.set_exception(ConnectionError(reason))


class _Dropped:
    """Drops a channel at the end of a block."""

    def __init__(self, channel: Channel) -> None:
        self.close = channel.drop


async def fetch_changes(
    address: str,
    kind: str,
    since: int,
) -> RelayAnswer:
    """Ask another VM for changes.

    Raises
    ------
    OSError
        If it doesn't answer in time.
    ValueError
        If its answer is not one.
    """
    waiter = _OneReply()
    channel = await open_channel(address, waiter, CONNECT_S)
    with closing(_Dropped(channel)):
        async with asyncio.timeout(ANSWER_S):
            channel.send('GET', f'{CHANGES_PATH}?kind={kind}&since={since}')
            reply = await waiter.reply
    if reply.status != HTTP_OK:
        raise ConnectionError(f'status {reply.status}')
    return unpack_answer(reply.body)


def pack_answer(answer: RelayAnswer) -> bytes:
    """Return the bytes of an answer.

    Examples
    --------
    >>> answer = RelayAnswer(7, True, [('a', 7, {'b': 1})])
    >>> unpack_answer(pack_answer(answer)) == answer
    True
    """
    return zlib.compress(msgspec.msgpack.encode(answer), PACK_LEVEL)


def unpack_answer(packed: bytes) -> RelayAnswer:
    """Return the answer that these bytes hold.

    Raises
    ------
    ValueError
        If they hold none.
    """
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(packed, MOST_UNPACKED)
        if not unpacker.eof:
            raise ValueError('not an answer: cut or too large')
        return _DECODER.decode(plain)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise ValueError(f'not an answer: {exc}') from exc

"""Exchanges heartbeats between VMs over UDP and object changes over HTTP."""

import asyncio
import zlib
from collections.abc import Callable, Iterable
from contextlib import closing
from urllib.parse import parse_qs, urlsplit

import msgspec

from rosemaryweir.catalog.relay import RelayAnswer
from rosemaryweir.presence.heartbeats import (
    VmHeartbeat,
    VmState,
    decode_heartbeat,
    encode_heartbeat,
    is_valid_state,
)
from rosemaryweir.transport.exchange import Exchange
from rosemaryweir.transport.framing import parse_count
from rosemaryweir.transport.http_client import Channel, HttpReply, open_channel
from rosemaryweir.transport.http_server import HttpServer

__all__ = [
    'GossipPort',
    'RelayServer',
    'fetch_changes',
    'fetch_states',
]

#: Timeout of connecting to another VM, in seconds.
CONNECT_TIMEOUT_S = 0.4
#: Timeout of the answer of another VM, in seconds.
ANSWER_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
CHANGES_PATH = '/v1/changes'
STATES_PATH = '/v1/vms'
#: The fastest level of zlib.  It compresses a large configuration to a tenth,
#: as its routes differ little, and all VMs request it within a second.
COMPRESSION_LEVEL = 1
#: Maximum size of a decompressed answer, in bytes.
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
_DECODER = msgspec.msgpack.Decoder(RelayAnswer)
_STATES_DECODER = msgspec.msgpack.Decoder(list[VmState])


def _ignore(address: str, size: int) -> None:
    """Do nothing with the size of a datagram."""


class GossipPort(asyncio.DatagramProtocol):
    """Sends and receives heartbeats as UDP datagrams.

    Parameters
    ----------
    on_beat : callable
        Called with each received heartbeat.
    on_sent : callable
        Called with each recipient's address and the size of the datagram.
    on_malformed : callable
        Called with the sender's address and the size of each datagram that is
        not a valid heartbeat.

    Attributes
    ----------
    malformed : int
        Number of received datagrams that were not valid heartbeats.
    """

    def __init__(
        self,
        on_beat: Callable[[VmHeartbeat], None],
        on_sent: Callable[[str, int], None] = _ignore,
        on_malformed: Callable[[str, int], None] = _ignore,
    ) -> None:
        self.malformed = 0
        self._on_malformed = on_malformed
        self._on_sent = on_sent
        self._on_beat = on_beat
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, int(port)),
        )
        self._transport = endpoint[0]

    def send(self, beat: VmHeartbeat, addresses: Iterable[str]) -> None:
        """Send a heartbeat, which is lost if it can't be sent at once.

        The next heartbeat replaces it.
        """
        datagram = encode_heartbeat(beat)
        for address in addresses:
            host, _, port = address.rpartition(':')
            if self._transport is not None:
                self._transport.sendto(datagram, (host, int(port)))
                self._on_sent(address, len(datagram))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass on its heartbeat."""
        beat = decode_heartbeat(data)
        if beat is None:
            self.malformed += 1
            self._on_malformed(f'{addr[0]}:{addr[1]}', len(data))
        else:
            self._on_beat(beat)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: missing heartbeats reveal an unreachable VM."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


class RelayServer:
    """Serves changes of objects, and states of VMs, to other VMs.

    Parameters
    ----------
    changes : callable
        Returns the changes of a kind after a revision, or None if the kind
        isn't relayed.
    states : callable
        Returns the states of all VMs that are alive.
    """

    def __init__(
        self,
        changes: Callable[[str, int], RelayAnswer | None],
        states: Callable[[], list[VmState]],
    ) -> None:
        self.http = HttpServer(self._answer)
        self._changes = changes
        self._states = states

    def _answer(self, exchange: Exchange) -> None:
        target = urlsplit(exchange.request.path)
        if target.path == STATES_PATH:
            exchange.reply(HTTP_OK, _compress(self._states()))
            return
        query = parse_qs(target.query)
        kind = query.get('kind', [''])[0]
        since = parse_count(query.get('since', [''])[0])
        valid = target.path == CHANGES_PATH and since is not None
        answer = self._changes(kind, since or 0) if valid else None
        if answer is None:
            exchange.refuse(HTTP_NOT_FOUND, 'unknown', exchange.request.path)
        else:
            exchange.reply(HTTP_OK, compress_answer(answer))


class _ReplyWaiter:
    """Future for the single reply on a channel."""

    def __init__(self) -> None:
        self.reply: asyncio.Future[HttpReply] = (
            asyncio.get_running_loop().create_future()
        )

    def replied(self, channel: Channel, reply: HttpReply) -> None:
        """Resolve the future with the reply."""
        if not self.reply.done():
            self.reply.set_result(reply)

    def streamed(self, channel: Channel, chunk: bytes) -> None:
        """Do nothing: this reply is not streamed."""

    def closed(self, channel: Channel, reason: str, idle: bool) -> None:
        """Fail the future with the reason of the end."""
        if not self.reply.done():
            self.reply.set_exception(ConnectionError(reason))


class _ChannelCloser:
    """Aborts a channel when closed, for use with `contextlib.closing`."""

    def __init__(self, channel: Channel) -> None:
        self.close = channel.drop


async def fetch_changes(
    address: str,
    kind: str,
    since: int,
    on_bytes: Callable[[int], None] | None = None,
) -> RelayAnswer:
    """Fetch the changes of a kind after a revision from another VM.

    Parameters
    ----------
    address : str
        The other VM, ``ip:port``.
    kind : str
        Kind of the objects.
    since : int
        Revision up to which this VM knows every change.
    on_bytes : callable, optional
        Called with the number of bytes exchanged.

    Raises
    ------
    OSError
        If the VM doesn't answer in time, or not with status 200.
    ValueError
        If the answer can't be decoded.
    """
    path = f'{CHANGES_PATH}?kind={kind}&since={since}'
    return decompress_answer(await _fetch(address, path, on_bytes))


async def fetch_states(
    address: str, on_bytes: Callable[[int], None] | None = None
) -> list[VmState]:
    """Fetch the states of all VMs that another VM knows to be alive.

    Raises
    ------
    OSError
        If the VM doesn't answer in time, or not with status 200.
    ValueError
        If the answer can't be decoded.
    """
    body = await _fetch(address, STATES_PATH, on_bytes)
    try:
        states = _STATES_DECODER.decode(_decompress(body))
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise ValueError(f'not a list of states: {exc}') from exc
    return [state for state in states if is_valid_state(state)]


async def _fetch(
    address: str, path: str, on_bytes: Callable[[int], None] | None
) -> bytes:
    waiter = _ReplyWaiter()
    channel = await open_channel(address, waiter, CONNECT_TIMEOUT_S)
    with closing(_ChannelCloser(channel)):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            channel.send('GET', path)
            reply = await waiter.reply
        if on_bytes is not None:
            on_bytes(channel.take_byte_count())
    if reply.status != HTTP_OK:
        raise ConnectionError(f'status {reply.status}')
    return reply.body


def compress_answer(answer: RelayAnswer) -> bytes:
    """Return an answer as compressed msgpack.

    Examples
    --------
    >>> answer = RelayAnswer(7, True, [('a', 7, {'b': 1})])
    >>> decompress_answer(compress_answer(answer)) == answer
    True
    """
    return _compress(answer)


def decompress_answer(compressed: bytes) -> RelayAnswer:
    """Decompress and decode an answer.

    Raises
    ------
    ValueError
        If the bytes are truncated, too large or not an answer.
    """
    try:
        return _DECODER.decode(_decompress(compressed))
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise ValueError(f'not an answer: {exc}') from exc


def _compress(content: object) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(content), COMPRESSION_LEVEL)


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(compressed, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise ValueError('not an answer: truncated or too large')
    return decompressed

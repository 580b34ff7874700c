"""Tests of the HTTP server and client with randomly corrupted input."""

import asyncio
from random import Random

from rosemaryweir.transport.fetch import fetch
from rosemaryweir.transport.http_client import Channel
from rosemaryweir.transport.http_server import HttpServer

REQUEST = b'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody'
REPLY = b'HTTP/1.1 200 OK\r\nx-attempt: a\r\nContent-Length: 4\r\n\r\nbody'
ROUNDS = 150


def corrupt(rng, text):
    """Return the bytes with a few of them replaced, deleted or inserted."""
    data = bytearray(text)
    for _ in range(rng.randint(1, 4)):
        start = rng.randrange(len(data))
        inserted = rng.choice(
            (b'', bytes((rng.randrange(256),)), b'\r\n', b'\0')
        )
        data[start : start + rng.randint(0, 3)] = inserted
    return bytes(data)


def test_server_answers_valid_requests_despite_corrupted_ones():
    async def run():
        rng = Random(7)
        requests = []

        def handle(exchange):
            requests.append(exchange.request)
            exchange.reply(200, b'ok')

        server = HttpServer(handle)
        address = await server.start('127.0.0.1:0')
        host, port = address.split(':')
        for _ in range(ROUNDS):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(corrupt(rng, REQUEST * rng.randint(1, 3)))
            reply = await fetch(address, 'POST', '/good', (), b'question')
            assert (reply.status, reply.body) == (200, b'ok')
            writer.close()
        bodies = [req.body for req in requests if req.path == '/good']
        assert bodies == [b'question'] * ROUNDS
        await server.stop()

    async def run_with_timeout():
        async with asyncio.timeout(30):
            await run()

    asyncio.run(run_with_timeout())


class Listener:
    def __init__(self):
        self.replies = []
        self.end_count = 0

    def replied(self, channel, reply):
        self.replies.append(reply)

    def streamed(self, channel, chunk):
        raise AssertionError

    def closed(self, channel, reason, idle):
        self.end_count += 1


class Transport(asyncio.Transport):
    """Discards written data."""

    aborted = False

    def get_extra_info(self, name, default=None):
        return ('127.0.0.1', 1)

    def write(self, data):
        assert not self.aborted

    def abort(self):
        self.aborted = True


def test_client_delivers_at_most_one_reply_to_a_request():
    rng = Random(11)
    delivered = 0
    for _ in range(ROUNDS * 10):
        listener = Listener()
        channel = Channel(listener)
        channel.connection_made(Transport())
        channel.send('GET', '/x')
        received = corrupt(rng, REPLY)
        split = rng.randrange(len(received))
        for part in (received[:split], received[split:]):
            if part and channel.open:
                channel.data_received(part)
        if channel.open:
            channel.eof_received()
            channel.connection_lost(None)
        assert len(listener.replies) <= 1
        assert listener.end_count == 1
        delivered += len(listener.replies)
    assert 0 < delivered < ROUNDS * 10

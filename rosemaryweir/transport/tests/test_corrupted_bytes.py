"""Any bytes at any time: neither end breaks, nothing false is delivered."""

import asyncio
from random import Random

from rosemaryweir.transport.fetch import fetch
from rosemaryweir.transport.http_client import Channel
from rosemaryweir.transport.http_server import HttpServer

REQUEST = b'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody'
REPLY = b'HTTP/1.1 200 OK\r\nx-attempt: a\r\nContent-Length: 4\r\n\r\nbody'
ROUNDS = 150


def disturbed(rng, text):
    """Return the text with a few bytes changed, cut out or put in."""
    data = bytearray(text)
    for _ in range(rng.randint(1, 4)):
        place = rng.randrange(len(data))
        edit = rng.choice((b'', bytes((rng.randrange(256),)), b'\r\n', b'\0'))
        data[place : place + rng.randint(0, 3)] = edit
    return bytes(data)


def test_server_answers_others_whatever_one_sends():
    async def run():
        rng = Random(7)
        seen = []

        def take(exchange):
            seen.append(exchange.request)
            exchange.reply(200, b'ok')

        server = HttpServer(take)
        address = await server.start('127.0.0.1:0')
        host, port = address.split(':')
        for _ in range(ROUNDS):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(disturbed(rng, REQUEST * rng.randint(1, 3)))
            reply = await fetch(address, 'POST', '/good', (), b'question')
            assert (reply.status, reply.body) == (200, b'ok')
            writer.close()
        good = [one.body for one in seen if one.path == '/good']
        assert good == [b'question'] * ROUNDS
        await server.stop()

    async def bounded():
        async with asyncio.timeout(30):
            await run()

    asyncio.run(bounded())


class Listener:
    def __init__(self):
        self.replies = []
        self.ends = 0

    def replied(self, channel, reply):
        self.replies.append(reply)

    def streamed(self, channel, chunk):
        raise AssertionError

    def closed(self, channel, reason, idle):
        self.ends += 1


class Transport(asyncio.Transport):
    """Swallows what is written."""

    aborted = False

    def get_extra_info(self, name, default=None):
        return ('127.0.0.1', 1)

    def write(self, data):
        assert not self.aborted

    def abort(self):
        self.aborted = True


def test_client_delivers_at_most_the_one_reply_it_asked_for():
    rng = Random(11)
    delivered = 0
    for _ in range(ROUNDS * 10):
        listener = Listener()
        channel = Channel(listener)
        channel.connection_made(Transport())
        channel.send('GET', '/x')
        noise = disturbed(rng, REPLY)
        cut = rng.randrange(len(noise))
        for part in (noise[:cut], noise[cut:]):
            if part and channel.open:
                channel.data_received(part)
        if channel.open:
            channel.eof_received()
            channel.connection_lost(None)
        assert len(listener.replies) <= 1
        assert listener.ends == 1
        delivered += len(listener.replies)
    assert 0 < delivered < ROUNDS * 10

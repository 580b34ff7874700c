"""The server against slow, oversized, cut, malformed, pipelined input."""

import asyncio

import pytest

from rosemaryweir.transport.http_server import HttpServer
from rosemaryweir.transport.limits import HttpLimits

LIMITS = HttpLimits(
    header_bytes=1024,
    body_bytes=1000,
    read_seconds=0.2,
    idle_seconds=0.3,
    connections=3,
)
HOST = b'Host: x\r\n'


class Fixture:
    """A server that echoes bodies, holding those that say so."""

    def __init__(self):
        self.held = []
        self.gone = []
        self.http = HttpServer(self.take, LIMITS)

    def take(self, exchange):
        exchange.on_disconnect = lambda: self.gone.append(exchange.request.path)
        if exchange.request.path == '/hold':
            self.held.append(exchange)
        else:
            exchange.reply(200, exchange.request.path.encode())


def served(scenario):
    """Run a scenario against a server on a loopback port."""

    async def run():
        fixture = Fixture()
        address = await fixture.http.start('127.0.0.1:0')
        try:
            async with asyncio.timeout(10):
                await scenario(fixture, address)
        finally:
            await fixture.http.stop()

    asyncio.run(run())


async def read_answer(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    return head, await reader.readexactly(length)


async def talk(address, *parts, eof=False):
    """Send bytes, return all that comes back until the close."""
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    for part in parts:
        writer.write(part)
        await writer.drain()
    if eof:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer


def get(path, extra=b''):
    return b'GET %b HTTP/1.1\r\n%b%b\r\n' % (path, HOST, extra)


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (get(b'/x', b'X: %b\r\n' % (b'y' * 3000)), b'431'),
        (get(b'/x', b'Content-Length: 99999\r\n'), b'413'),
        (get(b'/x', b'Content-Length: -5\r\n'), b'400'),
        (get(b'/x', b'Content-Length: 5\r\n') + b'ab', b'408'),
        (b'GET /x HT', b'408'),
        (get(b'/x', b'Transfer-Encoding: chunked\r\n') + b'zz\r\n', b'400'),
    ],
)
def test_faulty_input_gets_a_clear_refusal(sent, status):
    async def scenario(fixture, address):
        answer = await talk(address, sent)
        assert answer.split()[1] == status
        assert b'"ran":"not_run"' in answer
        assert await talk(address, get(b'/ok', b'Connection: close\r\n'))

    served(scenario)


def test_chunked_body_over_the_limit():
    async def scenario(fixture, address):
        head = get(b'/x', b'Transfer-Encoding: chunked\r\n')
        answer = await talk(address, head, b'5DC\r\n%b\r\n' % (b'z' * 1500))
        assert answer.split()[1] == b'413'

    served(scenario)


def test_cut_body_is_refused():
    async def scenario(fixture, address):
        head = get(b'/x', b'Content-Length: 50\r\n')
        answer = await talk(address, head, b'abc', eof=True)
        assert answer.split()[1] == b'400'

    served(scenario)


def test_pipelined_requests_are_answered_in_order():
    async def scenario(fixture, address):
        sent = b''.join(get(b'/%d' % number) for number in range(30))
        last = get(b'/last', b'Connection: close\r\n')
        answer = await talk(address, sent + last)
        bodies = [part[-5:] for part in answer.split(b'HTTP/1.1 200')[1:]]
        assert len(bodies) == 31
        assert [body.rpartition(b'/')[2] for body in bodies] == [
            *(b'%d' % number for number in range(30)),
            b'last',
        ]

    served(scenario)


def test_faulty_pipelined_request_does_not_disturb_the_one_before():
    async def scenario(fixture, address):
        task = asyncio.create_task(
            talk(address, get(b'/hold') + b'nonsense\r\n\r\n'),
        )
        while not fixture.held:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        fixture.held.pop().reply(200, b'whole')
        first, _, second = (await task).partition(b'whole')
        assert first.startswith(b'HTTP/1.1 200')
        assert second.startswith(b'HTTP/1.1 400')
        assert fixture.gone == []

    served(scenario)


def test_slow_header_bytes_do_not_prolong_the_wait():
    async def scenario(fixture, address):
        host, port = address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        answer = asyncio.create_task(reader.read())
        for byte in get(b'/x', b'X-Slow: %b\r\n' % (b's' * 900)):
            if answer.done():
                break
            writer.write(bytes((byte,)))
            await asyncio.sleep(0.01)
        assert (await answer).split()[1] == b'408'
        writer.close()

    served(scenario)


def test_hang_up_is_told_once_and_only_before_the_answer():
    async def scenario(fixture, address):
        host, port = address.split(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(get(b'/hold'))
        while not fixture.held:
            await asyncio.sleep(0.01)
        writer.close()
        while not fixture.gone:
            await asyncio.sleep(0.01)
        fixture.held[0].reply(200, b'late')
        await asyncio.sleep(0.05)
        assert fixture.gone == ['/hold']
        await talk(address, get(b'/ok', b'Connection: close\r\n'))
        assert fixture.gone == ['/hold']

    served(scenario)


def test_idle_connections_end_and_their_number_is_bounded():
    async def scenario(fixture, address):
        host, port = address.split(':')
        conns = [
            await asyncio.open_connection(host, int(port)) for _ in range(3)
        ]
        answer = await talk(address)
        assert answer.split()[1] == b'503'
        for reader, writer in conns:
            assert await reader.read() == b''
            writer.close()
        await talk(address, get(b'/ok', b'Connection: close\r\n'))

    served(scenario)


def test_expectation_of_100_continue():
    async def scenario(fixture, address):
        head = get(
            b'/x',
            b'Expect: 100-continue\r\nContent-Length: 2\r\n'
            b'Connection: close\r\n',
        )
        host, port = address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head)
        assert (await reader.readline()).startswith(b'HTTP/1.1 100')
        writer.write(b'ab')
        assert b'HTTP/1.1 200' in await reader.read()
        writer.close()

    served(scenario)


def test_open_connections_end_with_their_next_answer_once_not_listening():
    async def scenario(fixture, address):
        host, port = address.split(':')
        held = await asyncio.open_connection(host, int(port))
        held[1].write(b'GET /hold HTTP/1.1\r\n' + HOST + b'\r\n')
        kept = await asyncio.open_connection(host, int(port))
        kept[1].write(b'GET /one HTTP/1.1\r\n' + HOST + b'\r\n')
        head, body = await read_answer(kept[0])
        assert body == b'/one'
        assert b'connection: close' not in head.lower()
        fixture.http.stop_listening()
        with pytest.raises(OSError):
            await asyncio.open_connection(host, int(port))
        kept[1].write(b'GET /two HTTP/1.1\r\n' + HOST + b'\r\n')
        fixture.held[0].reply(200, b'late')
        for (reader, writer), body in ((kept, b'/two'), (held, b'late')):
            head, answer = await read_answer(reader)
            assert answer == body
            assert b'connection: close' in head.lower()
            assert await reader.read() == b''
            writer.close()

    served(scenario)

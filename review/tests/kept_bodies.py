"""Many requesters keep their connections after a request with a large body.

Rule LOST: a machine in touch doesn't pass requests from kept connections on to
sound servers and close the connections without an answer more than three times.
A process that exceeds `memory_mb` is killed, and counts as running all the
while.
"""

import asyncio

import harness

SERVICE = 'print-orders'
MEMORY_MB = 300
REQUESTERS = 1400
#: Bytes of an order, within `max_body_bytes`.
BODY = b'x' * 262000
#: Each requester asks again after this time, below 4/5 of `idle_timeout_ms`.
EACH_S = 10.0
SECONDS = 32
POLL_S = 0.02


class Kept:
    """A requester that keeps its connection from request to request."""

    def __init__(self, site, number):
        self._record = site.record
        self._vm = site.vms[0]
        self._number = number
        self._stream = None
        self.lost = []

    async def run(self, until):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._number / REQUESTERS * EACH_S)
        turn = 0
        while loop.time() < until:
            began = loop.time()
            turn += 1
            request_id = f'{self._number:08x}{turn:08x}'
            kept = self._stream is not None
            try:
                async with asyncio.timeout(4):
                    await self._ask(request_id)
            except (OSError, asyncio.IncompleteReadError) as exc:
                why = type(exc).__name__
                self._record('no-answer', id=request_id, kept=kept, why=why)
                if kept:
                    self.lost.append(request_id)
                self._close()
            if not harness.TROUBLE:
                self._close()
            await asyncio.sleep(max(0, began + EACH_S - loop.time()))
        self._close()

    async def _ask(self, request_id):
        if self._stream is None:
            host, _, port = self._vm.address('front').rpartition(':')
            self._stream = await asyncio.open_connection(host, int(port))
        reader, writer = self._stream
        headers = {
            'Host': harness.HOST,
            'X-Request-Id': request_id,
            'X-Request-Deadline-Ms': 3000,
        }
        start = 'POST /orders/1 HTTP/1.1'
        writer.write(harness.encode_message(start, headers, BODY))
        await writer.drain()
        answer, _, _ = await harness.read_message(reader)
        self._record('answer', id=request_id, status=answer.split(' ')[1])

    def _close(self):
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None


async def scenario(site, record):
    for number, zone in enumerate(harness.ZONES):
        name = f'i-{number:08x}'
        site.servers[name] = harness.Server(
            record, name, SERVICE, zone, work=0.12, slots=12
        )
    await site.start(
        harness.config(
            [harness.order_route(SERVICE)],
            [harness.service_config(SERVICE, 96)],
        )
    )
    platform = asyncio.create_task(watch_memory(site.vms[0], record))
    until = asyncio.get_running_loop().time() + SECONDS
    requesters = [Kept(site, number) for number in range(REQUESTERS)]
    await asyncio.gather(*(requester.run(until) for requester in requesters))
    platform.cancel()
    return judge(site, requesters, record)


async def watch_memory(vm, record):
    """Do as the platform: kill a process above its memory; start it again."""
    peak = 0
    while True:
        await asyncio.sleep(POLL_S)
        size = resident_mb(vm.process.pid)
        if size > peak + 20:
            peak = size
            record.say(f'{vm.name} holds {size:.0f} MB')
        if size > MEMORY_MB:
            record.say(f'{vm.name} is killed: over {MEMORY_MB} MB')
            await vm.kill()
            await asyncio.sleep(0.5)
            await vm.start()
            peak = 0


def resident_mb(pid):
    with open(f'/proc/{pid}/status') as status:
        for line in status:
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
    return 0


def judge(site, requesters, record):
    arrived = {
        request_id
        for server in site.servers.values()
        for _, request_id in server.arrivals
    }
    lost = [
        request_id
        for requester in requesters
        for request_id in requester.lost
        if request_id in arrived
    ]
    record.say(
        f'{len(lost)} requests from kept connections reached a server and got '
        f'no answer: {lost[:5]}'
    )
    return len(lost) <= 3


harness.main(scenario)

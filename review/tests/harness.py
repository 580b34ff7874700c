"""Stand-ins for the review's scripts: platform, store, servers, requesters.

Standard library only.  Everything listens on loopback addresses and keeps the
protocol of the platform's pages.  One asyncio loop runs the stand-ins; the VM
program runs as separate processes, started with the deploy file's command.
"""

import asyncio
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, NOT_RUN = 1, 0, 2
#: A case that takes longer is ended, in seconds.
TIME_LIMIT_S = 114
ZONES = ('zone-a', 'zone-b', 'zone-c')
HOST = 'desk.example'
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def __call__(self, what, **fields):
        told = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._file.write(f'{self.now():9.3f} {what} {told}\n')

    def say(self, text):
        print(text)
        self._file.write(f'{self.now():9.3f} # {text}\n')

    def close(self):
        self._file.close()


async def read_message(reader):
    """Return the start line, headers and body of an HTTP message."""
    head = await reader.readuntil(b'\r\n\r\n')
    start, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    size = int(headers.get('content-length', 0))
    body = await reader.readexactly(size) if size else b''
    return start, headers, body


def encode_message(start, headers, body=b''):
    """Return the bytes of an HTTP message."""
    lines = [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([start, *lines, '', '']).encode('latin-1') + body


class HttpStandIn:
    """Serves HTTP connections on a loopback address."""

    async def listen(self, ip):
        self._writers = set()
        self._server = await asyncio.start_server(self._accept, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    def exit(self):
        """Stop listening and cut all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(HttpStandIn):
    """The platform's store.

    The content of an object is kept as the bytes that its writer sent.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self._objects = {}
        self._events = []
        self._changed = asyncio.Condition()
        self._watching = set()

    async def put(self, kind, name, spec):
        """Create or replace an object; return the time of confirmation."""
        content = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        known = self._objects.get((kind, name))
        if known is not None and known[1] == content:
            return self.record.now()
        self.revision += 1
        item = (self.revision, content)
        self._objects[kind, name] = item
        return await self._publish(kind, name, item, deleted=False)

    async def delete(self, kind, name):
        """Remove an object; return the time of confirmation."""
        item = self._objects.pop((kind, name), None)
        if item is None:
            return self.record.now()
        self.revision += 1
        return await self._publish(kind, name, item, deleted=True)

    def cut_watches(self):
        """Cut off all watches that are waiting."""
        self.record('store-cuts-watches', count=len(self._watching))
        for writer in tuple(self._watching):
            writer.close()

    async def serve(self, reader, writer):
        while True:
            start, _, body = await read_message(reader)
            method, target, _ = start.split(' ')
            path, _, query = target.partition('?')
            params = dict(
                part.split('=', 1) for part in query.split('&') if part
            )
            kind, _, name = path.removeprefix('/objects/').partition('/')
            self.record('store-call', call=f'{method}:{target}')
            if method == 'GET' and 'watch' in params:
                status, answer = await self._watch(kind, params, writer)
            elif method == 'GET':
                status, answer = self._list(kind, params)
            else:
                status, answer = await self._write(method, kind, name, body)
            headers = {'Content-Type': 'application/json'}
            writer.write(
                encode_message(f'HTTP/1.1 {status} x', headers, answer)
            )
            await writer.drain()

    async def _publish(self, kind, name, item, deleted):
        told = 'removed' if deleted else 'put'
        self.record(f'store-{told}', name=f'{kind}/{name}', rev=self.revision)
        self._events.append((self.revision, kind, name, item, deleted))
        async with self._changed:
            self._changed.notify_all()
        return self.record.now()

    async def _watch(self, kind, params, writer):
        loop = asyncio.get_running_loop()
        until = loop.time() + int(params['wait_ms']) / 1000
        since = int(params['watch'])
        self._watching.add(writer)
        try:
            while True:
                found = [
                    b'{"deleted":%b,"object":%b}'
                    % (b'true' if deleted else b'false', _encode(name, item))
                    for revision, of, name, item, deleted in self._events
                    if of == kind and revision > since
                ]
                left = until - loop.time()
                if found or left <= 0:
                    break
                async with self._changed:
                    try:
                        async with asyncio.timeout(left):
                            await self._changed.wait()
                    except TimeoutError:
                        pass
        finally:
            self._watching.discard(writer)
        if writer.transport.is_closing():
            raise ConnectionError
        return 200, b'{"events":[%b],"as_of":%d}' % (
            b','.join(found),
            self.revision,
        )

    def _list(self, kind, params):
        after = params.get('after', '')
        names = sorted(
            name for of, name in self._objects if of == kind and name > after
        )
        found = [_encode(name, self._objects[kind, name]) for name in names]
        return 200, b'{"items":[%b],"has_more":false,"as_of":%d}' % (
            b','.join(found),
            self.revision,
        )

    async def _write(self, method, kind, name, body):
        content = json.loads(body) if body else {}
        name = name or content['meta']['name']
        exists = (kind, name) in self._objects
        if method == 'POST' and exists:
            return 409, _encode(name, self._objects[kind, name])
        if method != 'POST' and not exists:
            return 404, b'{}'
        if method == 'DELETE':
            await self.delete(kind, name)
            return 200, b'{}'
        await self.put(kind, name, content['spec'])
        return 200, _encode(name, self._objects[kind, name])


def _encode(name, item):
    meta = {
        'name': name,
        'revision': item[0],
        'created': 1,
        'finalizers': [],
        'deleting': False,
    }
    return b'{"meta":%b,"spec":%b,"status":null}' % (
        json.dumps(meta).encode(),
        item[1],
    )


class Server(HttpStandIn):
    """A server of a service.

    It rejects what finds its slots and its queue full, drops what waits when
    its connection closes, and echoes the id of the request.

    Attributes
    ----------
    link : float
        Delay of the network, there and back, in seconds.
    arrivals : list of (float, str)
        Time and id of each request that reached it and named it.
    runs : list of (float, str)
        Time and id of each request that it began to work on.
    extra_share : float
        Share of its answers of which a second copy is sent late: when the
        next request has come on the connection.
    reject_share : float
        Share of the requests that it rejects although it has room.
    """

    def __init__(self, record, name, service, zone, **options):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = options.get('slots', 3)
        self.queue = options.get('queue', 18)
        self.work = options.get('work', 0.02)
        self.body = options.get('body', name.ljust(16)[:16].encode())
        self.link = options.get('link', 0.0)
        self.extra_share = 0.0
        self.reject_share = 0.0
        self.cold_ms = 0
        self.arrivals = []
        self.runs = []
        self._busy = 0
        self._slots = asyncio.Semaphore(self.slots)

    def entry(self, **changes):
        """Return what the server says of itself in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_remaining_ms': self.cold_ms,
            'seq': 1,
            **changes,
        }

    async def serve(self, reader, writer):
        late = b''
        while True:
            start, headers, _ = await read_message(reader)
            if late:
                self.record('extra-answer', server=self.name)
                writer.write(late)
                late = b''
            answer = await self._handle(start, headers, reader, writer)
            if answer is None:
                return
            if self.link:
                await asyncio.sleep(self.link)
            writer.write(answer)
            await writer.drain()
            if random.random() < self.extra_share:
                late = answer

    async def _handle(self, start, headers, reader, writer):
        request_id = headers.get('x-request-id', '')
        reply = {'X-Request-Id': request_id, 'Keep-Alive': 'timeout=5'}
        if headers.get('x-expect-instance', self.name) != self.name:
            reply['X-Instance-Id'] = self.name
            return encode_message('HTTP/1.1 421 x', reply)
        self.arrivals.append((self.record.now(), request_id))
        self.record('arrived', server=self.name, id=request_id)
        full = self._busy >= self.slots + self.queue
        if full or random.random() < self.reject_share:
            self.record('rejected', server=self.name, id=request_id)
            reply['X-Not-Executed'] = '1'
            return encode_message('HTTP/1.1 503 x', reply)
        self._busy += 1
        try:
            async with self._slots:
                if reader.at_eof() or writer.transport.is_closing():
                    self.record('dropped', server=self.name, id=request_id)
                    return None
                self.runs.append((self.record.now(), request_id))
                self.record('run', server=self.name, id=request_id)
                await asyncio.sleep(self.work)
        finally:
            self._busy -= 1
        reply['X-Response-Stamp'] = f'{self.name}.{request_id}'
        return encode_message('HTTP/1.1 200 OK', reply, self.body)


class Vm:
    """A machine that runs the VM program."""

    def __init__(self, site, number, zone):
        self.site = site
        self.name = f'front-{number}'
        self.zone = zone
        self.ip = f'127.0.71.{number + 1}'
        self.process = None
        self.path = site.folder / f'{self.name}.conf'

    def address(self, part):
        return f'{self.ip}:{self.site.ports[part]}'

    async def start(self):
        """Start the process with the command of the deploy file."""
        role = self.site.role
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env.update(
            PYTHONPATH=str(ROOT / 'target' / 'deps'),
            PYTHONDONTWRITEBYTECODE='1',
            ROSEMARYWEIR_BOOT=str(self.path),
            ROSEMARYWEIR_METRICS_PORT=str(self.site.ports['metrics']),
        )
        with open(self.site.folder / f'{self.name}.log', 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.site.record('vm-start', vm=self.name, pid=self.process.pid)

    async def kill(self):
        """End the process at once, as the platform's SIGKILL does."""
        self.site.record('vm-sigkill', vm=self.name)
        self.process.kill()
        await self.process.wait()

    def terminate(self):
        """Send SIGTERM."""
        self.site.record('vm-sigterm', vm=self.name)
        self.process.send_signal(signal.SIGTERM)

    async def ready(self):
        """Return whether the VM says that it serves."""
        try:
            answer = await fetch(self.address('ready'), '/ready', timeout=1)
        except (OSError, asyncio.IncompleteReadError):
            return False
        return answer[0] == 200


class Site:
    """A small deployment: a store, servers, and VMs in three zones."""

    def __init__(self, record, vms, bounds=()):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='rosemaryweir-'))
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as deploy:
            self.role = tomllib.load(deploy)['roles']['vm']
        self.store = Store(record)
        self.servers = {}
        self.vms = [Vm(self, n, ZONES[n % 3]) for n in range(vms)]
        self.seeds = self.vms[:3]
        self.bounds = dict(bounds)
        self.ports = {}

    async def start(self, config, settle_s=0):
        """Start all and wait until every VM is ready.

        The VMs start this many seconds after the servers.
        """
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRun('the build of the deploy file is missing')
        self.ports = _free_ports([vm.ip for vm in self.vms])
        await self.store.listen('127.0.72.1')
        await self.store.put('config', 'main', config)
        for server in self.servers.values():
            await self.add(server)
        await asyncio.sleep(settle_s)
        for vm in self.vms:
            vm.path.write_text(self._settings(vm))
            await vm.start()
        for _ in range(200):
            if all([await vm.ready() for vm in self.vms]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the machines are not ready after 20 s')

    async def add(self, server):
        """Start a server and let it register itself."""
        self.servers[server.name] = server
        await server.listen('127.0.73.1')
        return await self.store.put('servers', server.name, server.entry())

    async def stop(self):
        """End all processes that were started, by id."""
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        if os.environ.get('KEEP'):
            shutil.copytree(self.folder, os.environ['KEEP'], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, vm):
        first = self.ports['first']
        seeds = ','.join(each.address('control') for each in self.seeds)
        fields = {
            'node_name': vm.name,
            'role': 'vm',
            'machine_class': 'front',
            'serves': 'front,control,directory',
            'ip': vm.ip,
            'zone': vm.zone,
            'region': 'north',
            **{f'zones.{zone}': 'north' for zone in ZONES},
            'listen_addrs.front': vm.address('front'),
            'listen_addrs.ready': vm.address('ready'),
            'listen_addrs.control': vm.address('control'),
            'listen_addrs.directory': vm.address('directory'),
            'internal_ports': f'{first},{first + 3}',
            'seeds': seeds,
            'bootstrap': 'true',
            'limits.cpu_share': '0.537',
            'limits.cpu_cores': '2',
            'limits.memory_mb': '300',
            'limits.max_fds': '4100',
            'limits.link_mbps': '1000.0',
            'discovery': 'platform',
            'entry_point': 'directory',
            'heartbeat_ms': '1200',
            'bounds.stability_window_ms': '4000',
            'bounds.drain_ms': '3000',
            'bounds.grace_s': '6',
            'bounds.config_apply_ms': '3000',
            'bounds.retry_budget_ratio': '0.2',
            'bounds.budget_window_s': '10',
            'bounds.retry_budget_slack': '52',
            'bounds.evacuate_ms': '5000',
            'bounds.ttl_max_s': '5',
            'platform.address': self.store.address,
            'platform.form': 'objects',
            'platform.writes_per_s': '400',
            'platform.reads_per_s': '2000',
            'platform.history_s': '20',
            'platform.value_bytes': '1048576',
            **self.bounds,
        }
        return ''.join(f'{name}={text}\n' for name, text in fields.items())


def _free_ports(ips):
    """Return ports that are free on all addresses, TCP and UDP."""
    names = ('front', 'ready', 'control', 'directory', 'metrics', 'first')
    for _ in range(100):
        first = random.randrange(20000, 30000, 16)
        ports = dict(zip(names, range(first, first + 6), strict=True))
        wanted = range(first, first + 9)
        kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        if all(
            map(
                _is_free,
                *zip(*itertools.product(ips, wanted, kinds), strict=True),
            )
        ):
            return ports
    raise CannotRun('no free ports')


def _is_free(ip, port, kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


async def fetch(address, path, method='GET', headers=(), body=b'', timeout=5.0):
    """Send one request on a new connection; return status, headers, body."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            told = {'Host': HOST, **dict(headers)}
            writer.write(
                encode_message(f'{method} {path} HTTP/1.1', told, body)
            )
            start, found, content = await read_message(reader)
        finally:
            writer.close()
    return int(start.split(' ')[1]), found, content


class Requester:
    """Sends requests and records their answers."""

    def __init__(
        self, site, path='/orders/1', method='POST', patience_ms=3000, prefix=''
    ):
        self.site = site
        self.prefix = prefix
        self.path = path
        self.method = method
        self.patience_ms = patience_ms
        self.sent = {}
        self.answers = {}
        self._tasks = set()
        self._numbers = itertools.count(1)

    async def ask(self, vm, path=''):
        """Send one request to a VM; return its status, 0 without an answer."""
        record = self.site.record
        request_id = f'{self.prefix}{next(self._numbers):015x}'
        self.sent[request_id] = (record.now(), vm.name)
        record('sent', id=request_id, vm=vm.name, path=path or self.path)
        headers = {
            'X-Request-Id': request_id,
            'X-Request-Deadline-Ms': self.patience_ms,
        }
        body = b'{"order":1}' if self.method == 'POST' else b''
        try:
            status, found, content = await fetch(
                vm.address('front'),
                path or self.path,
                self.method,
                headers,
                body,
                self.patience_ms / 1000 + 0.5,
            )
        except (OSError, asyncio.IncompleteReadError) as exc:
            status, found, content = 0, {}, b''
            record('no-answer', id=request_id, why=type(exc).__name__)
        self.answers[request_id] = (record.now(), status, found, content)
        record('answer', id=request_id, status=status)
        return status

    async def load(self, per_s, seconds, vms=None):
        """Send requests to VMs in turn at a rate for a time."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        turn = itertools.cycle(vms or self.site.vms)
        for number in range(int(per_s * seconds)):
            await asyncio.sleep(max(0, began + number / per_s - loop.time()))
            task = asyncio.create_task(self.ask(next(turn)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def lost_at(self, server, since):
        """Return the requests that reached a server and were never served."""
        return [
            request_id
            for _, request_id in late_arrivals(server, since, 0)
            if self.answers.get(request_id, (0, 0))[1] in {0, 502, 504}
        ]

    async def finish(self):
        """Wait for all answers."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    def statuses(self):
        """Return how many answers had each status."""
        found = {}
        for _, status, _, _ in self.answers.values():
            found[status] = found.get(status, 0) + 1
        return dict(sorted(found.items()))


def order_route(service, kind='unsafe', **changes):
    """Return the route of orders."""
    return {
        'name': 'r-orders',
        'host': HOST,
        'path_prefix': '/orders/',
        'route_type': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 500,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
        **changes,
    }


def service_config(name, connections):
    """Return a service of the config."""
    return {
        'name': name,
        'health_path': '/health',
        'max_connections': connections,
        'protocol': 'h1',
        'tls': False,
        'cold_start_s': 3.0,
        'cold_per_s': 0.0,
    }


def config(routes, services, version=7):
    """Return a config."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': LIMITS,
    }


def late_arrivals(server, since, bound_s):
    """Return the requests that reached a server later than a bound."""
    return [
        (when, request_id)
        for when, request_id in server.arrivals
        if when > since + bound_s
    ]


def main(scenario, vms=3):
    """Run a scenario, which returns whether the rule held; exit with it."""
    record = Record(sys.argv[1])
    random.seed(os.environ.get('SEED') or None)

    async def run():
        site = Site(record, vms)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                return await scenario(site, record)
        finally:
            await site.stop()

    try:
        held = asyncio.run(run())
        code = HELD if held else BROKEN
    except (Exception, asyncio.CancelledError) as exc:
        record.say(f'the case could not run: {exc!r}')
        code = NOT_RUN
    record.say(
        {BROKEN: 'rule BROKEN', HELD: 'rule held', NOT_RUN: 'not run'}[code]
    )
    record.close()
    sys.exit(code)

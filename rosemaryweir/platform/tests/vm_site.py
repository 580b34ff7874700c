"""A complete VM over real sockets, with stand-in store and targets."""

import asyncio
import io
import json
import time

from rosemaryweir.platform.settings import parse_settings
from rosemaryweir.platform.standin.store import StandInStore
from rosemaryweir.platform.standin.targets import (
    StandInTarget,
    build_registration,
)
from rosemaryweir.platform.tests.test_settings import SETTINGS_TEXT
from rosemaryweir.platform.vm import VmProcess
from rosemaryweir.telemetry.json_log import JsonLog
from rosemaryweir.transport.fetch import fetch
from rosemaryweir.transport.tests.free_ports import find_free_ports

SHARDS = tuple(f's{number}' for number in range(4))
CALLER_LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
REQUEST_ID = ('x-request-id', 'abc')


class VmSite:
    """One VM, its store and one target per service."""

    def __init__(self):
        first_port = find_free_ports(4)
        self.store = StandInStore()
        self.targets = {name: StandInTarget(f'i-{name}') for name in SHARDS}
        self.targets['orders'] = StandInTarget('i-orders')
        self.ports = [f'127.0.0.1:{first_port + offset}' for offset in range(4)]
        self.task = None
        self.log = io.StringIO()

    async def start(self):
        address = await self.store.http.start('127.0.0.1:0')
        front, readiness, directory, peer = self.ports
        for name, target in self.targets.items():
            target_address = await target.http.start('127.0.0.1:0')
            self.store.put(
                'servers', target.name, build_registration(name, target_address)
            )
        self.store.put('config', 'main', configuration())
        text = SETTINGS_TEXT.replace('127.0.0.1:8229', address)
        text = text.replace('127.0.0.1:8226', front)
        text = text.replace('127.0.0.1:8227', readiness)
        text = text.replace('127.0.0.1:8225', directory)
        text = text.replace('7740', peer.rpartition(':')[2])
        self.vm = VmProcess(
            parse_settings(text),
            'settings',
            0,
            JsonLog('vm', self.log, time.time),
            lambda: 0.0,
        )
        self.task = asyncio.create_task(self.vm.run())
        async with asyncio.timeout(20):
            while not self.vm.serving:
                await asyncio.sleep(0.01)

    async def stop(self):
        self.task.cancel()
        await self.vm.gateway_driver.caller_server.http.stop()
        await self.vm.control_plane.stop()
        await self.store.http.stop()
        for target in self.targets.values():
            await target.http.stop()

    def logged(self, event):
        """Return the fields of the entries of an event."""
        entries = map(json.loads, self.log.getvalue().split('\n')[:-1])
        return [entry['fields'] for entry in entries if entry['event'] == event]

    async def get(self, path, *headers, method='GET', body=b''):
        headers = [('x-request-deadline-ms', '2000'), REQUEST_ID, *headers]
        return await fetch(self.ports[0], method, path, headers, body)


def configuration(version=1, **changes):
    route = {'name': 'sweep', 'host': '127.0.0.1', 'path_prefix': '/sweep/'}
    query = {
        **route,
        'route_type': 'safe',
        'timeout_ms': 1500,
        'target_latency_ms': 900,
        'fanout_services': list(SHARDS),
        'max_attempts': 2,
        'top_k': 3,
        'min_shard_ratio': 0.5,
    }
    order = {
        'name': 'order',
        'host': '127.0.0.1',
        'path_prefix': '/order/',
        'route_type': 'unsafe',
        'timeout_ms': 1500,
        'target_latency_ms': 500,
        'service': 'orders',
    }
    services = [
        {'name': name, 'max_connections': 30} for name in (*SHARDS, 'orders')
    ]
    return {
        'version': version,
        'routes': [query, order],
        'services': services,
        'limits': CALLER_LIMITS,
        **changes,
    }


def run_scenario(scenario):
    async def run():
        site = VmSite()
        await site.start()
        try:
            await scenario(site)
        finally:
            await site.stop()

    asyncio.run(run())

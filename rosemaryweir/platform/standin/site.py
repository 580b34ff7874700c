"""A small site on loopback: store, targets, configuration, VM settings."""

import asyncio
import pathlib
from collections.abc import Iterator
from itertools import product
from typing import Any, NamedTuple

from rosemaryweir.platform import protocol
from rosemaryweir.platform.standin.store import StandInStore
from rosemaryweir.platform.standin.targets import (
    StandInTarget,
    build_registration,
)

__all__ = [
    'DOMAINS',
    'SHARDS',
    'MAX_RECORDS',
    'Site',
    'directory_address',
    'settings_files',
]

DOMAINS = ('north', 'south', 'west')
SHARDS = tuple(f'shard-{number}' for number in range(8))
ORDER_SERVICE = 'orders'
#: Most records in an answer.
MAX_RECORDS = 5
STORE_ADDRESS = '127.0.0.1:12900'
#: Time that a target takes for a request, in seconds.
WORK_TIME_S = 0.01
CALLER_LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


class Site(NamedTuple):
    """The store and the targets of a site."""

    store: StandInStore
    targets: list[StandInTarget]

    @classmethod
    async def start(cls) -> 'Site':
        """Start the store and all targets, and register the targets."""
        store = StandInStore()
        await store.http.start(STORE_ADDRESS)
        store.put(protocol.CONFIG_KIND, protocol.CONFIG_NAME, _configuration())
        site = cls(store, [])
        starts = (
            site.add(service, domain)
            for service, domain in product((*SHARDS, ORDER_SERVICE), DOMAINS)
        )
        await asyncio.gather(*starts)
        return site

    async def add(self, service: str, domain: str) -> None:
        """Start a target and register it."""
        target = StandInTarget(f'{service}.{domain}', WORK_TIME_S)
        address = await target.http.start('127.0.0.1:0')
        entry = build_registration(service, address, domain)
        self.store.put(protocol.TARGETS_KIND, target.name, entry)
        self.targets.append(target)

    def order_run_counts(self) -> list[int]:
        """Return the number of runs of each order."""
        return [
            count
            for target in self.targets
            if target.name.startswith(ORDER_SERVICE)
            for count in target.runs.values()
        ]


def directory_address(vm: int) -> str:
    """Return the address of a VM's directory, ``ip:port``."""
    return f'{_vm_ip(vm)}:12925'


def settings_files(folder: str) -> Iterator[str]:
    """Write a settings file for one VM per domain; yield their paths."""
    for vm, domain in enumerate(DOMAINS):
        path = pathlib.Path(folder) / f'vm-{vm}.conf'
        path.write_text(_settings(vm, domain))
        yield str(path)


def _settings(vm: int, domain: str) -> str:
    ip = _vm_ip(vm)
    return '\n'.join(
        (
            f'node_name=vm-{vm}',
            f'zone={domain}',
            f'ip={ip}',
            f'listen_addrs.front={ip}:12926',
            f'listen_addrs.ready={ip}:12927',
            f'listen_addrs.control={ip}:12924',
            f'listen_addrs.directory={directory_address(vm)}',
            'internal_ports=12940,12955',
            'seeds=127.0.1.1:12924,127.0.1.2:12924,127.0.1.3:12924',
            f'platform.address={STORE_ADDRESS}',
            'bounds.retry_budget_ratio=0.2',
            'bounds.retry_budget_slack=50',
            '',
        ),
    )


def _configuration() -> dict[str, Any]:
    # Requests name as host the VM that the caller connects to.
    routes = [
        route for vm, _ in enumerate(DOMAINS) for route in _routes(_vm_ip(vm))
    ]
    services = [
        {'name': name, 'max_connections': 30}
        for name in (*SHARDS, ORDER_SERVICE)
    ]
    return {
        'version': 1,
        'routes': routes,
        'services': services,
        'limits': CALLER_LIMITS,
    }


def _routes(host: str) -> list[dict[str, Any]]:
    common = {'host': host, 'timeout_ms': 2000, 'max_attempts': 2}
    query = {
        **common,
        'name': f'query-{host}',
        'path_prefix': '/query/',
        'route_type': 'safe',
        'target_latency_ms': 200,
        'fanout_services': list(SHARDS),
        'top_k': MAX_RECORDS,
        'min_shard_ratio': 0.5,
    }
    order = {
        **common,
        'name': f'order-{host}',
        'path_prefix': '/order/',
        'route_type': 'unsafe',
        'target_latency_ms': 500,
        'service': ORDER_SERVICE,
    }
    return [query, order]


def _vm_ip(vm: int) -> str:
    return f'127.0.1.{vm + 1}'

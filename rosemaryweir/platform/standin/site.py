"""A small site on loopback: its addresses, its configuration, its targets."""

import asyncio
import pathlib
from collections.abc import Iterator
from itertools import product
from typing import Any, NamedTuple

from rosemaryweir.platform import words
from rosemaryweir.platform.standin.store import StandInStore
from rosemaryweir.platform.standin.targets import StandInTarget, registration

__all__ = [
    'DOMAINS',
    'SHARDS',
    'TOP',
    'Site',
    'directory_of',
    'settings_files',
]

DOMAINS = ('north', 'south', 'west')
SHARDS = tuple(f'shard-{number}' for number in range(8))
ORDERS = 'orders'
#: Records of an answer.
TOP = 5
STORE = '127.0.0.1:12900'
#: Time that a request takes on a target, in seconds.
WORK_S = 0.01
LIMITS = {
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
        """Start them; each target registers itself."""
        store = StandInStore()
        await store.http.start(STORE)
        store.put(words.CONFIG_KIND, words.CONFIG_NAME, _configuration())
        site = cls(store, [])
        starts = (
            site.add(service, domain)
            for service, domain in product((*SHARDS, ORDERS), DOMAINS)
        )
        await asyncio.gather(*starts)
        return site

    async def add(self, service: str, domain: str) -> None:
        """Start a target."""
        target = StandInTarget(f'{service}.{domain}', WORK_S)
        address = await target.http.start('127.0.0.1:0')
        entry = registration(service, address, domain)
        self.store.put(words.TARGETS_KIND, target.name, entry)
        self.targets.append(target)

    def order_runs(self) -> list[int]:
        """Return how often each order ran."""
        return [
            count
            for target in self.targets
            if target.name.startswith(ORDERS)
            for count in target.runs.values()
        ]


def directory_of(vm: int) -> str:
    """Return where a VM's directory answers, ``ip:port``."""
    return f'{_ip(vm)}:12925'


def settings_files(folder: str) -> Iterator[str]:
    """Write the settings of one VM a failure domain; yield their paths."""
    for vm, domain in enumerate(DOMAINS):
        path = pathlib.Path(folder) / f'vm-{vm}.conf'
        path.write_text(_settings(vm, domain))
        yield str(path)


def _settings(vm: int, domain: str) -> str:
    ip = _ip(vm)
    return '\n'.join(
        (
            f'node_name=vm-{vm}',
            f'zone={domain}',
            f'ip={ip}',
            f'listen_addrs.front={ip}:12926',
            f'listen_addrs.ready={ip}:12927',
            f'listen_addrs.control={ip}:12924',
            f'listen_addrs.directory={directory_of(vm)}',
            'internal_ports=12940,12955',
            'seeds=127.0.1.1:12924,127.0.1.2:12924,127.0.1.3:12924',
            f'platform.address={STORE}',
            'bounds.retry_budget_ratio=0.2',
            'bounds.retry_budget_slack=50',
            '',
        ),
    )


def _configuration() -> dict[str, Any]:
    # Callers name the VM that they connect to as host.
    routes = [
        route for vm, _ in enumerate(DOMAINS) for route in _routes(_ip(vm))
    ]
    services = [
        {'name': name, 'max_connections': 30} for name in (*SHARDS, ORDERS)
    ]
    return {
        'version': 1,
        'routes': routes,
        'services': services,
        'limits': LIMITS,
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
        'top_k': TOP,
        'min_shard_ratio': 0.5,
    }
    order = {
        **common,
        'name': f'order-{host}',
        'path_prefix': '/order/',
        'route_type': 'unsafe',
        'target_latency_ms': 500,
        'service': ORDERS,
    }
    return [query, order]


def _ip(vm: int) -> str:
    return f'127.0.1.{vm + 1}'

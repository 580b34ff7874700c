"""Serves all targets of a configuration in one process."""

import asyncio
import json
from collections import Counter
from collections.abc import Iterator, Mapping
from itertools import chain
from random import Random
from typing import NamedTuple, cast

from rosemaryweir.schema.check import findings
from rosemaryweir.schema.generated.config import Config, Service
from rosemaryweir.schema.generated.target import (
    OrderRuns,
    StandinOptions,
    StandinStats,
    TargetFault,
    Timing,
)
from rosemaryweir.standin.target_model import TargetModel
from rosemaryweir.standin.target_server import TargetServer
from rosemaryweir.transport.exchange import Exchange

__all__ = ['TargetGroup', 'services_of']

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404


class _PlacedTarget(NamedTuple):
    """A target's server, service, failure domain and address."""

    server: TargetServer
    service: str
    domain: str
    address: str


class TargetGroup:
    """Serves the targets of a configuration, each on its own address.

    Parameters
    ----------
    config : Config
        Configuration with the services, shards and targets.
    options : StandinOptions
        Timing, initial faults, random seed, and whether targets start warm.
    """

    def __init__(self, config: Config, options: StandinOptions) -> None:
        self.order_runs: Counter[str] = Counter()
        self._options = options
        self._placed: dict[str, _PlacedTarget] = {
            name: self._place(config, name, service)
            for name, service in services_of(config).items()
        }

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._placed)

    async def start(self) -> None:
        """Listen on all addresses, then apply the initial faults."""
        placed = self._placed.values()
        await asyncio.gather(
            *(one.server.http.start(one.address) for one in placed),
        )
        for fault in self._options.get('faults', ()):
            self.apply(fault)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        servers = [placed.server.http for placed in self._placed.values()]
        for server in servers:
            server.abort_all()
        await asyncio.gather(*(one.stop() for one in servers))

    def server(self, name: str) -> TargetServer:
        """Return the server of a target."""
        return self._placed[name].server

    def apply(self, fault: TargetFault) -> list[str]:
        """Apply a fault; return the names of the targets it affects."""
        names = [name for name in self._placed if self._matches(fault, name)]
        for name in names:
            self._placed[name].server.apply(fault)
        return names

    def stats(self) -> StandinStats:
        """Return the counters of all targets, and the runs of each order."""
        runs = [
            OrderRuns(order_key=key, runs=number)
            for key, number in sorted(self.order_runs.items())
        ]
        return StandinStats(
            targets=[
                placed.server.model.stats for placed in self._placed.values()
            ],
            order_runs=runs,
            doubled=sum(run['runs'] > 1 for run in runs),
        )

    def _place(self, config: Config, name: str, service: str) -> _PlacedTarget:
        target = config['targets'][name]
        model = TargetModel(
            name,
            _service_config(config, service),
            self._options.get('timing', Timing()),
            Random(f'{self._options.get("seed", 0)}:{name}'),
            warm=self._options.get('warm', True),
        )
        server = TargetServer(model, self.order_runs, self._handle_admin)
        return _PlacedTarget(
            server, service, target['domain'], target['address']
        )

    def _handle_admin(self, server: TargetServer, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == '/admin/stats':
            exchange.reply_json(HTTP_OK, self.stats())
        elif path == '/admin/fault':
            self._handle_fault(server, exchange)
        else:
            exchange.refuse(HTTP_NOT_FOUND, 'unknown_path', path)

    def _handle_fault(self, server: TargetServer, exchange: Exchange) -> None:
        try:
            content = json.loads(exchange.request.body)
        except ValueError:
            content = None
        found = findings('target/TargetFault', content)
        if found:
            detail = '; '.join(map(str, found))
            exchange.refuse(HTTP_BAD_REQUEST, 'malformed', detail)
            return
        fault = cast(TargetFault, content)
        if not {'targets', 'domain', 'service'} & set(fault):
            # Without a selector, only the target that got the request.
            fault['targets'] = [server.model.name]
        names = [name for name in self._placed if self._matches(fault, name)]
        # Reply first, because the fault may close this connection.
        exchange.reply_json(HTTP_OK, {'targets': names})
        self.apply(fault)

    def _matches(self, fault: TargetFault, name: str) -> bool:
        placed = self._placed[name]
        return (
            name in fault.get('targets', (name,))
            and placed.domain == fault.get('domain', placed.domain)
            and placed.service == fault.get('service', placed.service)
        )


def services_of(config: Config) -> Mapping[str, str]:
    """Return the service of each target that has a shard, by target."""
    return dict(
        chain.from_iterable(map(_shard_targets, config['services'].items()))
    )


def _shard_targets(item: tuple[str, Service]) -> Iterator[tuple[str, str]]:
    name, service = item
    for shard in service['shards'].values():
        yield from ((target, name) for target in shard['targets'])


def _service_config(config: Config, service: str) -> Service:
    return config['services'][service]

"""Objects of the platform's store, decoded into what they mean."""

from collections.abc import Mapping
from typing import Any

import msgspec

from rosemaryweir.exception import Finding, InvalidInput
from rosemaryweir.gateway.model import (
    CallerLimits,
    Configuration,
    RouteConfig,
    TargetEntry,
    TargetLimits,
    WeightedService,
)

__all__ = ['decode_configuration', 'decode_target']

MS_PER_SECOND = 1000


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    #: ``safe``: may run more than once; anything else: at most once.
    route_type: str
    timeout_ms: float
    #: Not a latency that was measured: the aim.
    target_latency_ms: float
    #: Different targets, not sends, that may run a request.
    max_attempts: int = 1
    priority: int = 0
    service: str = ''
    traffic_split: list[_Split] = msgspec.field(default_factory=list)
    #: Services that each hold one shard.
    fanout_services: list[str] = msgspec.field(default_factory=list)
    top_k: int = 0
    #: Least coverage of a success.
    min_shard_ratio: float = 1.0


class _Service(msgspec.Struct):
    name: str
    #: Summed over all callers of one target.
    max_connections: int
    #: 0: cold targets bear what warm ones do.
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    seq: int
    slots: int
    version: str
    #: How much longer it is slow, counted from its start report.
    cold_remaining_ms: float = 0
    #: Wall-clock ms of its start.
    born: int = 0


def decode_configuration(spec: Any) -> Configuration:
    """Return the configuration that an object holds.

    Raises
    ------
    InvalidInput
        If it is none.
    """
    try:
        config = msgspec.convert(spec, _Config)
    except msgspec.ValidationError as exc:
        raise InvalidInput((Finding('config', str(exc)),)) from exc
    limits = config.limits
    return Configuration(
        config.version,
        tuple(map(_route, config.routes)),
        {
            service.name: TargetLimits(
                service.max_connections,
                service.cold_per_s,
            )
            for service in config.services
        },
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_SECOND,
            limits.idle_timeout_ms / MS_PER_SECOND,
        ),
    )


def decode_target(name: str, spec: Any) -> TargetEntry | None:
    """Return the target that an entry names; None when it names none.

    Others may write entries too: what isn't whole names no target.
    """
    try:
        server = msgspec.convert(spec, _Server)
    except msgspec.ValidationError:
        return None
    host, _, port = server.address.rpartition(':')
    known = server.state in {'ready', 'draining'}
    if not (known and host and port.isdigit() and server.service):
        return None
    return TargetEntry(
        name=name,
        service=server.service,
        address=server.address,
        domain=server.zone,
        draining=server.state == 'draining',
        cold_seconds=max(0.0, server.cold_remaining_ms / MS_PER_SECOND),
        started_ms=server.born,
    )


def _route(route: _Route) -> RouteConfig:
    split = tuple(
        WeightedService(part.service, part.weight)
        for part in route.traffic_split
    )
    if not split and route.service:
        split = (WeightedService(route.service, 1),)
    return RouteConfig(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        idempotent=route.route_type == 'safe',
        timeout=route.timeout_ms / MS_PER_SECOND,
        latency_goal=route.target_latency_ms / MS_PER_SECOND,
        priority=route.priority,
        max_targets=max(1, route.max_attempts),
        weighted_services=split,
        shards=tuple(route.fanout_services),
        max_records=route.top_k,
        min_coverage=route.min_shard_ratio,
    )


def decode_object(item: Mapping[str, Any]) -> tuple[str, int, Any]:
    """Return name, revision and content of an object of the store."""
    meta = item['meta']
    return str(meta['name']), int(meta['revision']), item.get('spec')

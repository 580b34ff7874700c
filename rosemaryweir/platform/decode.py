"""Decode objects of the platform's store into records of the gateway."""

import re
from typing import Annotated, Any

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

__all__ = ['decode_configuration', 'decode_target', 'select_target_fields']

MS_PER_SECOND = 1000
MAX_PORT = 65535
_PORT = re.compile('[0-9]{1,5}')
#: What may be part of a header or an address: others could forge headers.
_SENDABLE = re.compile('[!-~]+')
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class _TrafficSplit(msgspec.Struct):
    service: str
    weight: _NonNegative


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    #: ``safe``: may run more than once; any other value: at most once.
    route_type: str
    timeout_ms: _NonNegative
    #: Latency to aim at, not a measured one.
    target_latency_ms: _NonNegative
    #: Limits the number of different targets for a request, not of attempts.
    max_attempts: _Count = 1
    priority: int = 0
    service: str = ''
    traffic_split: list[_TrafficSplit] = msgspec.field(default_factory=list)
    #: Services that each hold one shard.
    fanout_services: list[str] = msgspec.field(default_factory=list)
    top_k: _Count = 0
    #: Least coverage of a successful answer.
    min_shard_ratio: _NonNegative = 1.0


class _Service(msgspec.Struct):
    name: str
    #: Connections of all callers together to one target.
    max_connections: _Count
    #: 0: cold targets accept as many requests as warm ones.
    cold_per_s: _NonNegative = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: _Count
    max_body_bytes: _Count
    header_timeout_ms: _NonNegative
    idle_timeout_ms: _NonNegative


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


class _Target(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    seq: int
    slots: int
    version: str
    #: Time for which the target will still be slow, from its registration on.
    cold_remaining_ms: float = 0
    #: Wall-clock time of its start in ms.
    born: int = 0


def decode_configuration(spec: Any) -> Configuration:
    """Return the configuration in the content of an object.

    Raises
    ------
    InvalidInput
        If the content is malformed.
    """
    try:
        config = msgspec.convert(spec, _Config)
    except msgspec.ValidationError as exc:
        raise InvalidInput((Finding('config', str(exc)),)) from exc
    limits = config.limits
    return Configuration(
        config.version,
        tuple(map(_decode_route, config.routes)),
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
    """Return the target in the content of an object; None if malformed.

    Other programs may write to this kind, so that any content is possible.
    """
    try:
        target = msgspec.convert(spec, _Target)
    except msgspec.ValidationError:
        return None
    known = target.state in {'ready', 'draining'}
    sendable = _SENDABLE.fullmatch(name) and _is_address(target.address)
    if not (known and sendable and target.service):
        return None
    return TargetEntry(
        name=name,
        service=target.service,
        address=target.address,
        domain=target.zone,
        draining=target.state == 'draining',
        cold_seconds=max(0.0, target.cold_remaining_ms / MS_PER_SECOND),
        started_ms=target.born,
        slots=target.slots,
    )


def select_target_fields(spec: Any) -> dict[str, Any]:
    """Return the fields of a target's content; empty if it is malformed.

    What else the content holds may be too deep or too large to be sent on.
    """
    try:
        msgspec.convert(spec, _Target)
    except msgspec.ValidationError:
        return {}
    return {
        name: spec[name] for name in _Target.__struct_fields__ if name in spec
    }


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    found = _PORT.fullmatch(port)
    return bool(found and int(port) <= MAX_PORT and _SENDABLE.fullmatch(host))


def _decode_route(route: _Route) -> RouteConfig:
    weighted_services = tuple(
        WeightedService(part.service, part.weight)
        for part in route.traffic_split
    )
    if not weighted_services and route.service:
        weighted_services = (WeightedService(route.service, 1),)
    return RouteConfig(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        idempotent=route.route_type == 'safe',
        timeout=route.timeout_ms / MS_PER_SECOND,
        latency_goal=route.target_latency_ms / MS_PER_SECOND,
        priority=route.priority,
        max_targets=max(1, route.max_attempts),
        weighted_services=weighted_services,
        shards=tuple(route.fanout_services),
        max_records=route.top_k,
        min_coverage=route.min_shard_ratio,
    )

"""What the gateway is told: routes, services, targets, limits of callers."""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    'CallerLimits',
    'Configuration',
    'RouteConfig',
    'TargetLimits',
    'WeightedService',
    'TargetEntry',
]


class WeightedService(NamedTuple):
    """A service and its share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share in relation to the other weights of the route.
    """

    service: str
    weight: float


class RouteConfig(NamedTuple):
    """Where requests of one host and path prefix go.

    Parameters
    ----------
    name, host, prefix : str
        Name of the route; host and leading path that select it.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Longest time that a caller is kept waiting, in seconds.
    latency_goal : float
        Time within which an answer is worth most, in seconds.
    priority : int
        Rank among routes; 0 is the most urgent.
    max_targets : int
        Targets that may run one request, of each shard.
    weighted_services : tuple of ServiceShare
        Services that requests are distributed over; empty for a query.
    shards : tuple of str
        Services that each hold a shard of a query; else empty.
    max_records : int
        Records in the answer to a query.
    min_coverage : float
        Share of the shards without which a query has failed.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    latency_goal: float
    priority: int
    max_targets: int
    weighted_services: tuple[WeightedService, ...]
    shards: tuple[str, ...] = ()
    max_records: int = 0
    min_coverage: float = 1.0


class TargetLimits(NamedTuple):
    """What each target of a service bears.

    Parameters
    ----------
    connections : int
        Connections that a target accepts from all VMs together.
    cold_rate : float
        Requests a second that a cold target bears; 0 where it has no limit.
    """

    connections: int
    cold_rate: float = 0.0


class CallerLimits(NamedTuple):
    """What callers may send and how long they may take.

    Sizes are in bytes, times in seconds.
    """

    header_bytes: int
    body_bytes: int
    read_seconds: float
    idle_seconds: float


class Configuration(NamedTuple):
    """One version of the configuration."""

    version: int
    routes: tuple[RouteConfig, ...]
    services: Mapping[str, TargetLimits]
    limits: CallerLimits


class TargetEntry(NamedTuple):
    """A target as it registered itself.

    Parameters
    ----------
    name : str
        Incarnation of the target; requests name it.
    service, address, domain : str
        Its service, ``ip:port`` and failure domain.
    draining : bool
        Whether it drains.
    cold_seconds : float
        Seconds that it stays cold, counted from when it said so.
    started_ms : int
        Wall-clock time of its start in ms, 0 when unknown.
    """

    name: str
    service: str
    address: str
    domain: str
    draining: bool = False
    cold_seconds: float = 0.0
    started_ms: int = 0

"""Configuration of the gateway: routes, services, targets, caller limits."""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    'CallerLimits',
    'Configuration',
    'RouteConfig',
    'TargetEntry',
    'TargetLimits',
    'WeightedService',
]


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other services of the route.
    """

    service: str
    weight: float


class RouteConfig(NamedTuple):
    """Handling of the requests of one host and path prefix.

    Parameters
    ----------
    name, host, prefix : str
        Name of the route; host and path prefix that select it.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Maximum time from a request to its response, in seconds.
    latency_goal : float
        Time after which a response is worth less to the caller, in seconds.
    priority : int
        Rank among routes; 0 is the most urgent.
    max_targets : int
        Maximum number of targets of each shard that may run one request.
    weighted_services : tuple of WeightedService
        Services that requests are distributed over; empty for a query.
    shards : tuple of str
        Services that each hold a shard of a query; else empty.
    max_records : int
        Maximum number of records in the response to a query.
    min_coverage : float
        Share of the shards below which a query fails.
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
    """Limits of each target of a service.

    Parameters
    ----------
    connections : int
        Connections that a target accepts from all VMs together.
    cold_rate : float
        Requests a second that a cold target accepts; 0 for no limit.
    """

    connections: int
    cold_rate: float = 0.0


class CallerLimits(NamedTuple):
    """Limits of callers' requests.

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
    """A target's registration.

    Parameters
    ----------
    name : str
        Incarnation of the target, which requests carry.
    service, address, domain : str
        Its service, ``ip:port`` and failure domain.
    draining : bool
        Whether it drains.
    cold_seconds : float
        Seconds until it is warm, counted from the report that states them.
    started_ms : int
        Wall-clock time of its start in ms; 0 if unknown.
    slots : int
        Requests that it runs at once; 0 if unknown.
    """

    name: str
    service: str
    address: str
    domain: str
    draining: bool = False
    cold_seconds: float = 0.0
    started_ms: int = 0
    slots: int = 0

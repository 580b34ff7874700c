"""Limits of each target, taken from the configuration."""

from collections.abc import Iterator
from typing import NamedTuple

from rosemaryweir.schema.generated.config import Config, Service

__all__ = ['Limits', 'limits_of', 'service_of']

MS_PER_S = 1000.0


class Limits(NamedTuple):
    """Limits of one target.

    Parameters
    ----------
    slots, cold_slots : int
        Requests that it may run at once when warm and when cold.
    connections : int
        Connections that it accepts.
    connect_time : float
        Time that a new connection costs it, in s.
    warm_after : int
        Replies after which a cold target may count as warm.
    """

    slots: int
    cold_slots: int
    connections: int
    connect_time: float
    warm_after: int

    @classmethod
    def from_config(cls, service: Service) -> 'Limits':
        """Return the limits that a service sets for its targets."""
        return cls(
            service['slots'],
            min(service['cold_slots'], service['slots']),
            service['connections'],
            service['connect_ms'] / MS_PER_S,
            service['warm_after'],
        )

    def tightest(self, other: 'Limits') -> 'Limits':
        """Return the stricter value of each limit."""
        return Limits(
            min(self.slots, other.slots),
            min(self.cold_slots, other.cold_slots),
            min(self.connections, other.connections),
            max(self.connect_time, other.connect_time),
            max(self.warm_after, other.warm_after),
        )


def limits_of(config: Config) -> dict[str, Limits]:
    """Return the limits of every target that a service uses.

    A target of several services gets the strictest of their limits.

    Examples
    --------
    >>> from rosemaryweir.node.state import empty_config
    >>> limits_of(empty_config())
    {}
    """
    found: dict[str, Limits] = {}
    for service in config['services'].values():
        limits = Limits.from_config(service)
        for target in _targets_of(service):
            known = found.setdefault(target, limits)
            if known is not limits:
                found[target] = known.tightest(limits)
    return found


def service_of(config: Config) -> dict[str, str]:
    """Return one service for every target: the first by name that uses it.

    Examples
    --------
    >>> from rosemaryweir.node.state import empty_config
    >>> service_of(empty_config())
    {}
    """
    return {
        target: name
        for name in sorted(config['services'], reverse=True)
        for target in _targets_of(config['services'][name])
    }


def _targets_of(service: Service) -> Iterator[str]:
    for shard in service['shards'].values():
        yield from shard['targets']

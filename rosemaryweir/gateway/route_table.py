"""Selection of a request's route by host and path prefix."""

from collections.abc import Iterable

from rosemaryweir.gateway.model import RouteConfig

__all__ = ['RouteTable']


class RouteTable:
    """Routes indexed by host and path prefix.

    Parameters
    ----------
    routes : iterable of RouteConfig
        The routes of one version of the configuration.

    Attributes
    ----------
    shards : frozenset of str
        Services that hold a shard of any query.

    Examples
    --------
    >>> from rosemaryweir.gateway.model import WeightedService
    >>> def route(name, prefix):
    ...     split = (WeightedService('desk', 1),)
    ...     return RouteConfig(
    ...         name, 'a.example', prefix, True, 1, 1, 0, 2, split
    ...     )
    >>> table = RouteTable([route('all', '/'), route('one', '/one/')])
    >>> table.find('A.example:80', '/one/x?y=1').name
    'one'
    >>> table.find('a.example', '/one').name
    'all'
    >>> table.find('b.example', '/one/x') is None
    True
    """

    def __init__(self, routes: Iterable[RouteConfig]) -> None:
        listed = tuple(routes)
        self.shards = frozenset(
            service for route in listed for service in route.shards
        )
        self._hosts: dict[str, dict[str, RouteConfig]] = {}
        for route in listed:
            by_prefix = self._hosts.setdefault(route.host.lower(), {})
            by_prefix.setdefault(route.prefix, route)
        # One look-up per distinct prefix length, as a host may have thousands
        # of routes.
        self._prefix_lengths = {
            host: sorted({len(prefix) for prefix in by_prefix}, reverse=True)
            for host, by_prefix in self._hosts.items()
        }

    def find(self, host: str, target: str) -> RouteConfig | None:
        """Return the route with the longest matching prefix.

        Parameters
        ----------
        host : str
            Host header, with or without a port.
        target : str
            Request target: path and query string.
        """
        path = target.partition('?')[0]
        name = host.partition(':')[0].lower()
        routes = self._hosts.get(name, {})
        found = (
            routes.get(path[:length])
            for length in self._prefix_lengths.get(name, ())
        )
        return next(filter(None, found), None)

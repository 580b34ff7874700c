"""Which route a request takes."""

from collections.abc import Iterable

from rosemaryweir.gateway.model import RouteConfig

__all__ = ['RouteTable']


class RouteTable:
    """Routes by host, the longest prefix first.

    Parameters
    ----------
    routes : iterable of Route
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
            known = self._hosts.setdefault(route.host.lower(), {})
            known.setdefault(route.prefix, route)
        # One look-up for each length of a prefix: a host may have thousands
        # of routes.
        self._lengths = {
            host: sorted({len(prefix) for prefix in known}, reverse=True)
            for host, known in self._hosts.items()
        }

    def find(self, host: str, target: str) -> RouteConfig | None:
        """Return the route of a host header and a request target."""
        path = target.partition('?')[0]
        name = host.partition(':')[0].lower()
        routes = self._hosts.get(name, {})
        found = (
            routes.get(path[:length]) for length in self._lengths.get(name, ())
        )
        return next(filter(None, found), None)

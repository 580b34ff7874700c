"""Metrics to statsd, when the settings name one."""

from typing import Any

from statsd import StatsClient

from rosemaryweir.node.action import Metric

__all__ = ['Metrics', 'metric_path']

PREFIX = 'rosemaryweir'


class Metrics:
    """Takes the measurements of one process.

    Parameters
    ----------
    role : str
        Role of the process, part of each name.
    address : str, optional
        ``ip:port`` of statsd; nothing is sent without one.
    """

    def __init__(self, role: str, address: str = '') -> None:
        self._client: Any = None
        if address:
            host, _, port = address.rpartition(':')
            prefix = f'{PREFIX}.{role}'
            self._client = StatsClient(host, int(port), prefix=prefix)

    def record(self, metric: Metric) -> None:
        """Take one measurement."""
        if self._client is not None:
            self._send(metric)

    def _send(self, metric: Metric) -> None:
        path = metric_path(metric)
        if metric.kind == 'time':
            self._client.timing(path, metric.amount)
        elif metric.kind == 'gauge':
            self._client.gauge(path, metric.amount)
        else:
            self._client.incr(path, metric.amount)


def metric_path(metric: Metric) -> str:
    """Return the statsd name of a metric: its name, then its tags.

    Examples
    --------
    >>> metric_path(Metric('time', 'query', 5, {'tenant': 'a', 'class': 'b'}))
    'query.class_b.tenant_a'
    """
    tags = (f'{key}_{text}' for key, text in sorted(metric.tags.items()))
    return '.'.join((metric.name, *tags))

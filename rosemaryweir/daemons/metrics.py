"""Output of metrics to statsd."""

from typing import Any

from statsd import StatsClient

from rosemaryweir.node.action import Metric

__all__ = ['Metrics', 'metric_path']

PREFIX = 'rosemaryweir'


class Metrics:
    """Sends the metrics of one process to statsd.

    Parameters
    ----------
    role : str
        Role of the process, which is part of each metric name.
    address : str, optional
        Address (``ip:port``) of statsd; without one, nothing is sent.
    """

    def __init__(self, role: str, address: str = '') -> None:
        self._client: Any = None
        if address:
            host, _, port = address.rpartition(':')
            prefix = f'{PREFIX}.{role}'
            self._client = StatsClient(host, int(port), prefix=prefix)

    def record(self, metric: Metric) -> None:
        """Send a metric if statsd is configured."""
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

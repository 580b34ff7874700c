"""Formats metrics as text in the Prometheus exposition format."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain

from rosemaryweir.telemetry.histogram import Bin

__all__ = ['format_metrics']

PREFIX = 'rosemaryweir'


def format_metrics(
    counters: Mapping[str, int],
    gauges: Mapping[str, float],
    histograms: Mapping[str, Iterable[Bin]],
) -> bytes:
    """Return a metrics page with counters, gauges and histogram buckets.

    Parameters
    ----------
    counters, gauges : mapping
        Values by name.
    histograms : mapping
        Bins in ms by name and labels, ``name{label=text}``.  The buckets on
        the page are cumulative.

    Examples
    --------
    >>> bins = {'request{route=a}': [Bin(1.0, 2), Bin(4.0, 1)]}
    >>> page = format_metrics({'hedges': 2}, {'requests': 1}, bins)
    >>> print(page.decode(), end='')
    rosemaryweir_hedges_total 2
    rosemaryweir_requests 1
    rosemaryweir_request_ms_bucket{route="a",le="1.0"} 2
    rosemaryweir_request_ms_bucket{route="a",le="4.0"} 3
    """
    lines = chain(
        (
            f'{PREFIX}_{name}_total {count}'
            for name, count in sorted(counters.items())
        ),
        (f'{PREFIX}_{name} {gauge}' for name, gauge in sorted(gauges.items())),
        chain.from_iterable(
            _buckets(title, bins) for title, bins in histograms.items()
        ),
        ('',),
    )
    return '\n'.join(lines).encode()


def _buckets(title: str, bins: Iterable[Bin]) -> Iterator[str]:
    name, _, inner = title.rstrip('}').partition('{')
    pairs = (label.partition('=') for label in inner.split(',') if label)
    labels = ''.join(f'{key}="{text}",' for key, _, text in pairs)
    total = 0
    for bound, count in bins:
        total += count
        bucket = f'{PREFIX}_{name}_ms_bucket'
        yield f'{bucket}{{{labels}le="{bound}"}} {total}'

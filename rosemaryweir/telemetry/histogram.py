"""Latency histograms by name and labels, such as tenant and class.

The HDR histograms of ``hdrh`` have the same relative error at every scale, so
that high percentiles are as precise as the median.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

__all__ = ['Bin', 'HistogramSet', 'Percentiles', 'text_plot']

#: Smallest and largest time that can be recorded, in microseconds.
LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000
#: Length of the longest bar of a plot, in characters.
PLOT_WIDTH = 40
#: Ratio of the bounds of successive bins.
BIN_GROWTH = 2

Labels = tuple[tuple[str, str], ...]


class Percentiles(NamedTuple):
    """Summary of a histogram; times in ms."""

    total: int
    p50: float
    p90: float
    p99: float
    p999: float
    worst: float


class Bin(NamedTuple):
    """Number of records between the previous bound and this one, in ms."""

    bound_ms: float
    records: int


class HistogramSet:
    """Histograms by name and labels.

    Examples
    --------
    >>> histograms = HistogramSet()
    >>> for took_ms in range(1, 101):
    ...     histograms.record('query', took_ms, {'tenant': 'a', 'class': 'b'})
    >>> histograms.summary('query', tenant='a', **{'class': 'b'}).p50 // 1
    50.0
    """

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def record(
        self,
        name: str,
        took_ms: float,
        labels: Mapping[str, str],
    ) -> None:
        """Record one duration, in ms; out-of-range ones are clamped."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        took_us = int(took_ms * US_PER_MS)
        histogram.record_value(min(max(took_us, LOWEST_US), HIGHEST_US))

    def summary(self, name: str, **labels: str) -> Percentiles | None:
        """Return the summary of one histogram, or None if it has no records."""
        histogram = self._histograms.get((name, tuple(sorted(labels.items()))))
        return None if histogram is None else _summary(histogram)

    def summaries(self) -> dict[str, dict[str, float]]:
        """Return the summaries of all histograms, by name and labels."""
        return {
            _format_name(name, labels): _summary(histogram)._asdict()
            for (name, labels), histogram in sorted(self._histograms.items())
        }

    def bins(self) -> dict[str, list[Bin]]:
        """Return the bins of every histogram, by name and labels.

        Returns
        -------
        dict of str to list of Bin
            Bounds double from bin to bin; empty bins are left out.

        Examples
        --------
        >>> histograms = HistogramSet()
        >>> histograms.record('query', 1.5, {})
        >>> [tuple(each) for each in histograms.bins()['query']]
        [(2.0, 1)]
        """
        return {
            _format_name(name, labels): _bins(histogram)
            for (name, labels), histogram in sorted(self._histograms.items())
        }


def text_plot(bins: Iterable[Bin]) -> str:
    """Return a text plot of bins.

    Examples
    --------
    >>> print(text_plot([Bin(1.0, 2), Bin(2.0, 4)]))
        1.0 ms | ####################                     2
        2.0 ms | ######################################## 4
    """
    shown = [(bound, count) for bound, count in bins if count]
    peak = max((count for _, count in shown), default=1)
    return '\n'.join(
        f'{bound:7.1f} ms | {"#" * round(PLOT_WIDTH * count / peak):40} {count}'
        for bound, count in shown
    )


def _bins(histogram: HdrHistogram) -> list[Bin]:
    steps = histogram.get_log_iterator(US_PER_MS, BIN_GROWTH)
    return [
        Bin(
            step.value_iterated_to / US_PER_MS,
            step.count_added_in_this_iter_step,
        )
        for step in steps
        if step.count_added_in_this_iter_step
    ]


def _format_name(name: str, labels: Labels) -> str:
    inner = ','.join(f'{key}={label}' for key, label in labels)
    return f'{name}{{{inner}}}' if inner else name


def _summary(histogram: HdrHistogram) -> Percentiles:
    return Percentiles(
        histogram.get_total_count(),
        _percentile_ms(histogram, 50),
        _percentile_ms(histogram, 90),
        _percentile_ms(histogram, 99),
        _percentile_ms(histogram, 99.9),
        round(histogram.get_max_value() / US_PER_MS, 1),
    )


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    took_us = float(histogram.get_value_at_percentile(percentile))
    return round(took_us / US_PER_MS, 1)

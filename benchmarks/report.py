"""Reports of benchmarks, and the registry of benchmarks."""

from collections.abc import Callable
from typing import Any, NamedTuple

__all__ = ['Check', 'Report', 'at_least', 'at_most', 'benchmark', 'benchmarks']


class Check(NamedTuple):
    """A figure compared with its bound."""

    name: str
    value: float
    bound: float
    holds: bool


class Report(NamedTuple):
    """Result of one run of a benchmark.

    ``figures`` and ``baselines`` map names to JSON values.
    """

    name: str
    seed: int
    figures: dict[str, Any]
    baselines: dict[str, Any]
    checks: tuple[Check, ...]


Benchmark = Callable[[int, bool], Report]

_BENCHMARKS: dict[str, Benchmark] = {}


def at_most(name: str, value: float, bound: float) -> Check:
    """Return the check that `value` is at most `bound`."""
    return Check(name, value, bound, value <= bound)


def at_least(name: str, value: float, bound: float) -> Check:
    """Return the check that `value` is at least `bound`."""
    return Check(name, value, bound, value >= bound)


def benchmark(name: str) -> Callable[[Benchmark], Benchmark]:
    """Register a function ``(seed, quick) -> Report`` under a name."""

    def decorate(function: Benchmark) -> Benchmark:
        _BENCHMARKS[name] = function
        return function

    return decorate


def benchmarks() -> dict[str, Benchmark]:
    """Return the registered benchmarks by name."""
    return dict(_BENCHMARKS)

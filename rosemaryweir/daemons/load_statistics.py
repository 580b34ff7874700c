"""Statistics of a load run: outcomes, coverage and latency by class."""

from collections import Counter
from collections.abc import Mapping
from typing import Any, TypedDict

from rosemaryweir.daemons.load_plan import ORDER, QUERY
from rosemaryweir.telemetry.histogram import HistogramSet

__all__ = ['LoadStatistics', 'LoadSummary']

MS_PER_SECOND = 1000


class LoadSummary(TypedDict):
    """The result of a load run, printed as JSON.

    ``latency_ms`` contains percentiles by kind of work and class, and
    ``coverage`` the mean and minimum coverage of the answers.  ``untrue``
    counts answers that belong to another query or that state inconsistent
    coverage.
    """

    queries: int
    orders: int
    outcomes: dict[str, int]
    refusals: dict[str, int]
    errors: dict[str, int]
    coverage: dict[str, float]
    latency_ms: dict[str, dict[str, float]]
    untrue: int
    retried: int
    seconds: float


class LoadStatistics:
    """Collects the results of the requests of a load run.

    Examples
    --------
    >>> statistics = LoadStatistics()
    >>> statistics.record_refusal({'reason': 'overloaded', 'ran': 'not_run'})
    >>> statistics.summary(1.0)['refusals']
    {'overloaded/not_run': 1}
    """

    def __init__(self) -> None:
        self.queries = 0
        self.orders = 0
        self.retried = 0
        self._outcomes: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self._errors: Counter[str] = Counter()
        self._untrue = 0
        self._coverages: list[float] = []
        self._histograms = HistogramSet()

    def record_sent(self, path: str) -> None:
        """Count a sent request by its path."""
        self.queries += int(path == QUERY)
        self.orders += int(path == ORDER)

    def record_answer(
        self,
        kind: str,
        class_: str,
        seconds: float,
        answer: Mapping[str, Any],
    ) -> None:
        """Count an answer to a query or an order."""
        self._outcomes[f'{kind}/{answer["outcome"]}'] += 1
        labels = {'class': class_}
        self._histograms.record(kind, seconds * MS_PER_SECOND, labels)

    def check_coverage(self, text: str, answer: Mapping[str, Any]) -> None:
        """Record the coverage of an answer; check it against the rows."""
        coverage = answer['coverage']
        total = coverage['total']
        missing = coverage['missing']
        self._coverages.append(coverage['covered'] / total if total else 0.0)
        shards = {row['shard'] for row in answer['rows']}
        own = all(text in row['text'] for row in answer['rows'])
        adds_up = coverage['covered'] + len(missing) == total
        if not own or not adds_up or shards & set(missing):
            self._untrue += 1

    def record_refusal(self, refusal: Mapping[str, Any]) -> None:
        """Count a refusal."""
        self._refusals[f'{refusal["reason"]}/{refusal["ran"]}'] += 1

    def record_error(self, error: Exception) -> None:
        """Count a request that failed without an answer."""
        self._errors[type(error).__name__] += 1

    def summary(self, seconds: float) -> LoadSummary:
        """Return the summary of the run."""
        coverages = self._coverages or [0.0]
        return LoadSummary(
            queries=self.queries,
            orders=self.orders,
            outcomes=dict(sorted(self._outcomes.items())),
            refusals=dict(sorted(self._refusals.items())),
            errors=dict(sorted(self._errors.items())),
            coverage={
                'mean': round(sum(coverages) / len(coverages), 4),
                'least': round(min(coverages), 4),
            },
            latency_ms=self._histograms.summaries(),
            untrue=self._untrue,
            retried=self.retried,
            seconds=round(seconds, 2),
        )

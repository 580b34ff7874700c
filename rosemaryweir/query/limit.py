"""Adaptive limit on the number of queries of a service that run at once."""

__all__ = ['ConcurrencyLimit']

INITIAL_LIMIT = 32
MIN_LIMIT = 2
MAX_LIMIT = 4096
#: Factor on the limit when the targets are congested.
DECREASE_FACTOR = 0.9
#: Share of the limit that must be in use for it to grow.
MIN_USED_SHARE = 0.8
#: Share of the allowed time above which a bulk latency indicates congestion.
SLOW_SHARE = 0.4
#: A mean latency above this multiple of the base latency indicates queueing.
QUEUEING_FACTOR = 2
#: Share of the difference by which the base latency rises towards the mean.
BASE_DRIFT_SHARE = 0.0005
#: Weight of a new latency in a running mean.
MEAN_WEIGHT = 0.1
INITIAL_LATENCY_S = 0.05


class ConcurrencyLimit:
    """Count of the queries in flight and the adaptive limit on it.

    The limit grows additively while queries end in good time and it is used,
    or is below its initial value.  It shrinks by a factor, at most once per
    mean latency, when queries are slow or refused or when latencies indicate
    queueing.

    Examples
    --------
    >>> limit = ConcurrencyLimit()
    >>> limit.start()
    >>> limit.finish(
    ...     latency=0.9, bulk_latency=0.8, allowed=1.0, refused=False, now=5.0
    ... )
    >>> limit.in_flight, limit.max_in_flight < 32
    (0, True)
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.max_in_flight = float(INITIAL_LIMIT)
        self.mean_latency = INITIAL_LATENCY_S
        self._decreased_at = 0.0
        self._bulk_mean = 0.0
        self._base_latency = float('inf')

    def has_capacity(self) -> bool:
        """Return whether one more query may start."""
        return self.in_flight < int(self.max_in_flight)

    def start(self) -> None:
        """Count a query as in flight."""
        self.in_flight += 1

    def abandon(self) -> None:
        """Count a query as ended without using its latency."""
        self.in_flight -= 1

    def finish(
        self,
        latency: float,
        bulk_latency: float,
        allowed: float,
        refused: bool,
        now: float,
    ) -> None:
        """Count a query as ended and adapt the limit.

        Parameters
        ----------
        latency : float
            Duration of the query, in seconds.
        bulk_latency : float
            Time until most shards were covered, in seconds; 0 if they were
            not.  The last shards are left out: a shard without a working
            replica says nothing about load.
        allowed : float
            Time that the query was given, in seconds.
        refused : bool
            Whether targets refused or cut off its sub-queries for lack of
            capacity.
        now : float
            Present time.
        """
        used = self.in_flight >= MIN_USED_SHARE * self.max_in_flight
        self.in_flight -= 1
        self.mean_latency += (latency - self.mean_latency) * MEAN_WEIGHT
        self._record_bulk_latency(bulk_latency)
        queued = self._bulk_mean > QUEUEING_FACTOR * self._base_latency
        if refused or queued or bulk_latency > SLOW_SHARE * allowed:
            if now - self._decreased_at > self.mean_latency:
                self._decreased_at = now
                self.max_in_flight = max(
                    MIN_LIMIT,
                    self.max_in_flight * DECREASE_FACTOR,
                )
        elif used or self.max_in_flight < INITIAL_LIMIT:
            self.max_in_flight = min(
                MAX_LIMIT,
                self.max_in_flight + 1 / self.max_in_flight,
            )

    def _record_bulk_latency(self, bulk_latency: float) -> None:
        """Update the mean and the base (uncongested) latency."""
        if not bulk_latency:
            return
        weight = MEAN_WEIGHT if self._bulk_mean else 1
        self._bulk_mean += (bulk_latency - self._bulk_mean) * weight
        if self._bulk_mean < self._base_latency:
            self._base_latency = self._bulk_mean
        else:
            self._base_latency += (
                self._bulk_mean - self._base_latency
            ) * BASE_DRIFT_SHARE

"""Adaptive limit on the queries of a service that run at once."""

__all__ = ['ConcurrencyLimit']

FIRST_LIMIT = 32
LEAST = 2
MAX_LIMIT = 4096
#: Factor on the limit when the targets are congested.
DECREASE = 0.9
#: Share of the limit that must be in use for it to grow.
IN_USE = 0.8
#: A query that takes this share of its time means congestion.
SLOW_SHARE = 0.4
#: Latencies of this multiple of the least one tell of queues.
QUEUED_FOLD = 2
#: By this share the least latency rises towards the present one.
DRIFT = 0.0005
#: Weight of a new latency in the running mean.
NEW_SHARE = 0.1
FIRST_LATENCY_S = 0.05


class ConcurrencyLimit:
    """Queries in flight, and how many may be.

    Additive increase while it is used (or lower than at the start) and
    queries end in good time,
    multiplicative decrease at most once for each latency when they are slow or
    refused, or when latencies tell of queues.

    Examples
    --------
    >>> limit = ConcurrencyLimit()
    >>> limit.start()
    >>> limit.end(took=0.9, bulk=0.8, given=1.0, refused=False, now=5.0)
    >>> limit.in_flight, limit.max_in_flight < 32
    (0, True)
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.max_in_flight = float(FIRST_LIMIT)
        self.latency = FIRST_LATENCY_S
        self._decreased = 0.0
        self._bulk = 0.0
        self._base = float('inf')

    def open(self) -> bool:
        """Return whether one more query may start."""
        return self.in_flight < int(self.max_in_flight)

    def start(self) -> None:
        """Count a query that starts."""
        self.in_flight += 1

    def drop(self) -> None:
        """Count a query that ended without telling anything."""
        self.in_flight -= 1

    def end(
        self,
        took: float,
        bulk: float,
        given: float,
        refused: bool,
        now: float,
    ) -> None:
        """Count a query that ended.

        Parameters
        ----------
        took : float
            Time that it took, in seconds.
        bulk : float
            Time that most of its shards took: a shard that nothing serves
            says nothing of the load.
        given : float
            Time that it had.
        refused : bool
            Whether targets refused or cut pieces of it for lack of capacity.
        now : float
            Present time.
        """
        used = self.in_flight >= IN_USE * self.max_in_flight
        self.in_flight -= 1
        self.latency += (took - self.latency) * NEW_SHARE
        self._follow(bulk)
        queued = self._bulk > QUEUED_FOLD * self._base
        if refused or queued or bulk > SLOW_SHARE * given:
            if now - self._decreased > self.latency:
                self._decreased = now
                self.max_in_flight = max(LEAST, self.max_in_flight * DECREASE)
        elif used or self.max_in_flight < FIRST_LIMIT:
            self.max_in_flight = min(
                MAX_LIMIT, self.max_in_flight + 1 / self.max_in_flight
            )

    def _follow(self, bulk: float) -> None:
        """Follow the present latency, and the least that it has been."""
        if not bulk:
            return
        share = NEW_SHARE if self._bulk else 1
        self._bulk += (bulk - self._bulk) * share
        if self._bulk < self._base:
            self._base = self._bulk
        else:
            self._base += (self._bulk - self._base) * DRIFT

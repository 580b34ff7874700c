"""Detection of cold targets from their replies.

A target with an unknown history counts as cold.  Only replies make it warm:
its own health reports are not trusted for this.  A warm target has turned
cold if there was an interruption (a reset, a newer incarnation), or if its
latencies no longer match those of its warm period or of the other targets of
its service.

One slow reply, or a few moderately slow ones, make a target suspected: it gets
the limit of a cold one.  One reply that is faster than those of a cold target,
or several of usual latency, clear the suspicion; more slow ones confirm it.
"""

from rosemaryweir.targets.latency_history import LatencyHistory
from rosemaryweir.targets.limits import Limits
from rosemaryweir.targets.service_latencies import ServiceLatencies

__all__ = ['Warmth']

#: Ratio of latency to reference above which a reply indicates a cold target,
#: and below which a warm one.
NEUTRAL_RATIO = 1.4
#: Largest ratio that a single latency counts for.
MAX_RATIO = 4.0
#: Sums of the ratios in excess of NEUTRAL_RATIO from which a target is
#: suspected to be cold, and from which it counts as cold.  A single reply of
#: three times the reference must be enough for a suspicion.
SUSPECT_EXCESS = 1.6
COLD_EXCESS = 5.0
#: A single reply below this ratio ends a suspicion.
FAST_RATIO = 0.9
#: Latencies enter the history at no more than this ratio: those of a target
#: that has turned cold must not shift the mean of the warm one.
MAX_LEARNT_RATIO = 2.0
#: The reference is at most this multiple of the mean of the service.
MAX_RATIO_TO_SERVICE = 1.5
#: A history up to this multiple of the mean of the service is that of a warm
#: target.
WARM_RATIO_TO_SERVICE = 1.25
#: A target that is still as slow after this multiple of ``warm_after`` replies
#: is inherently slow rather than cold.
RELEARN_FACTOR = 3
#: Factor applied to the limit after a refusal.
REFUSAL_FACTOR = 0.7


class Warmth:
    """Warm or cold state of one target, and the limit that results.

    Parameters
    ----------
    limits : Limits
        Limits of the target.
    service_latencies : ServiceLatencies, optional
        Latencies of the warm targets of its service.

    Examples
    --------
    >>> warmth = Warmth(Limits(3, 1, 30, 0.006, 2))
    >>> for _ in range(2):
    ...     warmth.record_reply(0.03)
    >>> warmth.allowed
    1
    >>> for _ in range(16):
    ...     warmth.record_reply(0.01)
    >>> warmth.allowed
    3
    """

    __slots__ = (
        '_excess_sum',
        '_inherently_slow',
        '_limit',
        '_reply_count',
        '_service_latencies',
        'cold',
        'history',
        'limits',
        'suspected',
    )

    def __init__(
        self, limits: Limits, service_latencies: ServiceLatencies | None = None
    ) -> None:
        self.limits = limits
        self.history = LatencyHistory()
        self._service_latencies = (
            ServiceLatencies()
            if service_latencies is None
            else service_latencies
        )
        self._service_latencies.add(self.history)
        self._inherently_slow = False
        self.cold = True
        self.suspected = False
        self._reply_count = 0
        self._excess_sum = 0.0
        self._limit = float(limits.cold_slots)

    @property
    def allowed(self) -> int:
        """Requests that the target may run at once now."""
        if self.cold or self.suspected or not self.history.established:
            return min(self.limits.cold_slots, int(self._limit))
        return int(self._limit)

    @property
    def reference_latency(self) -> float:
        """Mean latency expected of the warm target, in s.

        It is 0 while it is unknown.
        """
        own = self.history.mean if self.history.established else 0.0
        if self._inherently_slow:
            return own
        service_mean = self._service_latencies.mean
        if own and service_mean:
            return min(own, MAX_RATIO_TO_SERVICE * service_mean)
        return own or service_mean

    def mark_cold(self) -> None:
        """Count the target as cold from now on."""
        self.cold = True
        self._reply_count = 0
        self._clear_suspicion()
        if not self.history.established:
            self.history.restart()
        self._limit = float(self.limits.cold_slots)

    def record_refusal(self) -> None:
        """Lower the limit: the target had less room than counted here."""
        self._limit = max(1.0, self._limit * REFUSAL_FACTOR)

    def record_reply(self, took: float) -> None:
        """Update the state with the latency of a reply, in s."""
        self._reply_count += 1
        self._compare_to_reference(took)
        if self.cold:
            self.history.add_cold(took)
            self._end_warm_up()
        elif not self.suspected:
            self._add_to_history(took)
            self._raise_limit()
        if self._reply_count >= RELEARN_FACTOR * self.limits.warm_after:
            self._accept_latency()

    def record_cancelled(self, took: float) -> None:
        """Update the state with the time, in s, of a cancelled attempt.

        Its latency would have been longer.  If that is long, it indicates a
        cold target; it neither counts as a reply nor shows a warm target.
        """
        reference_latency = self.reference_latency
        if reference_latency and took > NEUTRAL_RATIO * reference_latency:
            self._compare_to_reference(took)
        if self.cold:
            self.history.add_cold_minimum(took)

    def detach(self) -> None:
        """Remove the target from the latencies of its service."""
        self._service_latencies.discard(self.history)

    def set_limits(self, limits: Limits) -> None:
        """Apply new limits from the configuration."""
        self.limits = limits
        self._limit = min(self._limit, float(limits.slots))

    def _compare_to_reference(self, took: float) -> None:
        reference_latency = self.reference_latency
        if not reference_latency:
            return
        ratio = min(MAX_RATIO, took / reference_latency)
        if ratio < FAST_RATIO:
            self._clear_suspicion()
            return
        excess = max(0.0, self._excess_sum + ratio - NEUTRAL_RATIO)
        self._excess_sum = min(COLD_EXCESS, excess)
        if not self._excess_sum:
            self.suspected = False
        if self._excess_sum >= SUSPECT_EXCESS:
            self.suspected = True
        if self._excess_sum >= COLD_EXCESS and not self.cold:
            self.mark_cold()
            self.suspected = True
            self._excess_sum = COLD_EXCESS

    def _clear_suspicion(self) -> None:
        self.suspected = False
        self._excess_sum = 0.0

    def _add_to_history(self, took: float) -> None:
        reference_latency = self.reference_latency
        if reference_latency:
            took = min(took, MAX_LEARNT_RATIO * reference_latency)
        self.history.add_warm(took)
        self._service_latencies.record_sample()
        if (
            self._inherently_slow
            or self.history.mean
            <= WARM_RATIO_TO_SERVICE * self._service_latencies.mean
        ):
            self.history.establish()

    def _end_warm_up(self) -> None:
        if self._reply_count >= self.limits.warm_after and not self.suspected:
            self.cold = False

    def _accept_latency(self) -> None:
        """Count a target that got no faster as inherently slow, not cold."""
        if self.cold:
            self._service_latencies.discard(self.history)
            self.history = LatencyHistory()
            self._inherently_slow = True
            self._clear_suspicion()
            self._end_warm_up()
        elif not self.history.established:
            self.history.establish()

    def _raise_limit(self) -> None:
        slots = self.limits.slots
        if self.history.established and self._limit < slots:
            self._limit = min(float(slots), self._limit + 1 / self._limit)

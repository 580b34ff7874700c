"""Whether a target is warm, judged by what it answers.

A target whose history is unknown is cold.  It becomes warm by replies alone:
what it says of its own health is not believed.  Two things tell that a warm
target has turned cold: a break (a reset, a newer incarnation), or latencies
that no longer fit those of its warm time or of its service's other targets.

One slow reply, or a few slower than usual, make a target suspect: it gets no
more than a cold one.  One fast reply, such as a cold target does not give,
or some usual ones clear it; more slow ones confirm it.
"""

from rosemaryweir.targets.latency_history import LatencyHistory
from rosemaryweir.targets.limits import Limits
from rosemaryweir.targets.service_latencies import ServiceLatencies

__all__ = ['Warmth']

#: A latency above so many means speaks for cold, below it for warm.
NEUTRAL_RATIO = 1.4
#: No single latency counts as more means.
MAX_RATIO = 4.0
#: Sums of excess ratios from which a target is suspected, and judged, cold:
#: one reply of three means is enough for the former.
SUSPECT_EXCESS = 1.6
COLD_EXCESS = 5.0
#: One reply that takes less than this share of the mean clears a target.
FAST_RATIO = 0.9
#: A latency is learnt as no more than so many means: a target that turned
#: cold must not teach what is warm.
MAX_LEARNT_RATIO = 2.0
#: A target's own mean counts for no more than so many means of its peers.
MAX_RATIO_TO_SERVICE = 1.5
#: A history of no more than so many means of its peers is a warm one.
WARM_RATIO_TO_SERVICE = 1.25
#: A target as slow as ever after so many times ``warm_after`` replies is
#: slow, not cold.
RELEARN_FACTOR = 3
#: Part of the limit left after a refusal.
REFUSAL_FACTOR = 0.7


class Warmth:
    """Warmth of one target, and the limit that follows from it.

    Parameters
    ----------
    limits : Limits
        What the target bears.
    service_latencies : ServiceLatencies, optional
        Warm latencies of the targets of its service.

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
        """Mean latency that the warm target should show, in s.

        It is 0 while nothing can be said.
        """
        own = self.history.mean if self.history.established else 0.0
        if self._inherently_slow:
            return own
        service_latencies = self._service_latencies.mean
        if own and service_latencies:
            return min(own, MAX_RATIO_TO_SERVICE * service_latencies)
        return own or service_latencies

    def mark_cold(self) -> None:
        """Take the target for cold: its history says nothing any more."""
        self.cold = True
        self._reply_count = 0
        self._clear_suspicion()
        if not self.history.established:
            self.history.restart()
        self._limit = float(self.limits.cold_slots)

    def record_refusal(self) -> None:
        """Lower the limit: the target had no room, whatever we counted."""
        self._limit = max(1.0, self._limit * REFUSAL_FACTOR)

    def record_reply(self, took: float) -> None:
        """Learn from an answer that took so many seconds."""
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
        """Learn from work that was dropped after so many seconds.

        It would have taken longer: a sign if that is long, but no work served
        and no proof of warmth.
        """
        reference_latency = self.reference_latency
        if reference_latency and took > NEUTRAL_RATIO * reference_latency:
            self._compare_to_reference(took)
        if self.cold:
            self.history.add_cold_minimum(took)

    def detach(self) -> None:
        """Leave the peers: the target is known no more."""
        self._service_latencies.discard(self.history)

    def set_limits(self, limits: Limits) -> None:
        """Follow a change of the configured limits."""
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
        """Take a target that got no faster for a slow one."""
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

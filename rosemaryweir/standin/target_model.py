"""Models one stand-in target: slots, cold state, versions and faults.

It does no I/O: the server passes the requests and the time to it.
"""

import math
from collections import deque
from itertools import count
from random import Random
from typing import NamedTuple

from rosemaryweir.schema.generated.config import Service
from rosemaryweir.schema.generated.target import (
    TargetFault,
    TargetStats,
    Timing,
)

__all__ = ['MS_PER_SECOND', 'HealthSample', 'StartDecision', 'TargetModel']

MS_PER_SECOND = 1000
# Defaults of the options in `Timing`.  The duration of a search is log-normal
# with this median and sigma; `DEFAULT_DOWN_MS` is the outage after a collapse.
DEFAULT_MEDIAN_MS = 3.0
DEFAULT_SIGMA = 0.4
DEFAULT_ORDER_MS = 5.0
DEFAULT_DOWN_MS = 3000.0
DEFAULT_HEALTH_LAG_MS = 1000.0
#: Outage of a ``restart`` or ``down`` fault without seconds or amount.
DEFAULT_RESTART_S = 0.5
#: Index versions, and layouts, that a target serves at once.
MAX_VERSIONS = 2
#: Minimum time between health samples of the same state.
MIN_SAMPLE_INTERVAL_S = 0.05
MAX_SAMPLES = 400
_FOREVER = math.inf


class StartDecision(NamedTuple):
    """Decision whether a request starts.

    ``status`` is ``ok`` or the status of the refusal; ``duration`` is how
    long the request runs, in seconds.
    """

    status: str
    duration: float


class HealthSample(NamedTuple):
    """State, load and incarnation at a time."""

    time: float
    state: str
    load: float
    incarnation: int


class _Fault(NamedTuple):
    """A fault in force until a time, for a share of the requests."""

    until: float
    share: float
    amount: float


class TargetModel:
    """Models one target.

    While cold, it collapses (goes down, then restarts cold) when it runs more
    than ``cold_slots`` requests at once; it is warm after ``warm_after``
    requests.

    Parameters
    ----------
    name : str
        Name of the target.
    service_config : Service
        Configuration of its service, with the limits of a target.
    timing : Timing
        Durations of requests, outages and the lag of health.
    rng : random.Random
        Random number generator.
    warm : bool
        Whether it starts warm.

    Attributes
    ----------
    stats : TargetStats
        Counters.
    running : set of int
        Slots in use.
    """

    def __init__(
        self,
        name: str,
        service_config: Service,
        timing: Timing,
        rng: Random,
        warm: bool = True,
    ) -> None:
        self.name = name
        self.service_config = service_config
        self.timing = timing
        self.incarnation = 1
        self.versions = [1]
        self.layouts = [service_config['layout']]
        self.running: set[int] = set()
        self.down_until = 0.0
        self.stats = _no_stats(name)
        self._rng = rng
        self._served = service_config['warm_after'] if warm else 0
        self._slot_numbers = count(1)
        self._faults: dict[str, _Fault] = {}
        self._samples: deque[HealthSample] = deque(maxlen=MAX_SAMPLES)

    @property
    def cold(self) -> bool:
        """Whether ``cold_slots`` is its limit."""
        return self._served < self.service_config['warm_after']

    def is_down(self, now: float) -> bool:
        """Return whether it accepts no connections."""
        return now < self.down_until

    def state(self, now: float) -> str:
        """Return its current state, without the lag of health reports."""
        if self.is_down(now):
            return 'down'
        if self.fault_applies('drain', now):
            return 'draining'
        return 'cold' if self.cold else 'ready'

    def fault_applies(self, kind: str, now: float) -> bool:
        """Return whether a fault applies to the current request.

        Draws a random number if the fault affects only a share of them.
        """
        fault = self._faults.get(kind)
        if fault is None or now >= fault.until:
            return False
        return fault.share >= 1 or self._rng.random() < fault.share

    def fault_share(self, kind: str) -> float:
        """Return the share of requests that a fault affects."""
        fault = self._faults.get(kind)
        return fault.share if fault else 0.0

    def begin_search(
        self, layout: int, version: int, now: float
    ) -> StartDecision:
        """Decide whether a search starts; it does not yet take a slot."""
        held = version in {0, *self.versions}
        if not held or layout not in {0, *self.layouts}:
            return StartDecision('wrong_version', 0)
        refusal = self._refusal(now)
        if refusal:
            return StartDecision(refusal, 0)
        self.stats['searches'] += 1
        return StartDecision('ok', self._search_seconds(now))

    def begin_order(self, now: float) -> StartDecision:
        """Decide whether an order starts; no deadline stops it afterwards."""
        refusal = self._refusal(now)
        if refusal:
            return StartDecision(refusal, 0)
        self.stats['orders'] += 1
        duration = self.timing.get('order_ms', DEFAULT_ORDER_MS) / MS_PER_SECOND
        return StartDecision('ok', duration)

    def acquire_slot(self, now: float) -> int:
        """Take a slot until `finish`; return its number."""
        slot = next(self._slot_numbers)
        self.running.add(slot)
        load = len(self.running)
        stats = self.stats
        stats['peak_in_flight'] = max(stats['peak_in_flight'], load)
        if self.cold:
            stats['peak_cold'] = max(stats['peak_cold'], load)
        self._sample(now)
        return slot

    def finish(self, slot: int, now: float, served: bool = True) -> bool:
        """Free a slot; return whether it was still in use."""
        held = slot in self.running
        self.running.discard(slot)
        if held and served:
            self._served += 1
        self._sample(now)
        return held

    def is_overloaded(self) -> bool:
        """Return whether it is cold and runs more than its cold limit."""
        return (
            self.cold and len(self.running) > self.service_config['cold_slots']
        )

    def collapse(self, now: float) -> None:
        """Go down because of overload, and restart cold."""
        self.stats['collapses'] += 1
        down_ms = self.timing.get('down_ms', DEFAULT_DOWN_MS)
        self.restart(now, down_ms / MS_PER_SECOND)

    def restart(self, now: float, seconds: float) -> None:
        """Go down for a time and restart cold, as a new incarnation."""
        self.down_until = now + seconds
        self.incarnation += 1
        self._served = 0
        self.running.clear()
        self._sample(now)

    def apply(self, fault: TargetFault, now: float) -> None:
        """Apply a fault other than those that affect connections."""
        kind = fault['kind']
        amount = fault.get('amount', 0.0)
        if kind == 'clear':
            self._faults.clear()
            self.down_until = min(self.down_until, now)
        elif kind == 'index':
            self.versions = _add_newer(self.versions, int(amount))
        elif kind == 'repartition':
            self.layouts = _add_newer(self.layouts, int(amount))
        else:
            seconds = fault.get('seconds', _FOREVER)
            share = fault.get('share', 1.0)
            self._faults[kind] = _Fault(now + seconds, share, amount)
        self._sample(now)

    def lagging_health(self, now: float) -> HealthSample:
        """Return the health sample that is ``health_lag_ms`` old."""
        self._sample(now)
        lag = (
            self.timing.get('health_lag_ms', DEFAULT_HEALTH_LAG_MS)
            / MS_PER_SECOND
        )
        past = [one for one in self._samples if one.time <= now - lag]
        return past[-1] if past else self._samples[0]

    def _refusal(self, now: float) -> str:
        if self.fault_applies('drain', now):
            return 'draining'
        full = len(self.running) >= self.service_config['slots']
        if full or self.fault_applies('shed', now):
            self.stats['shed'] += 1
            return 'shed'
        return ''

    def _search_seconds(self, now: float) -> float:
        median = self.timing.get('median_ms', DEFAULT_MEDIAN_MS)
        sigma = self.timing.get('sigma', DEFAULT_SIGMA)
        duration = median * self._rng.lognormvariate(0, sigma)
        if self.fault_applies('straggle', now):
            duration *= max(self._faults['straggle'].amount, 1)
        return duration / MS_PER_SECOND

    def _sample(self, now: float) -> None:
        state = self.state(now)
        last = self._samples[-1] if self._samples else None
        if (
            last
            and last.state == state
            and now < last.time + MIN_SAMPLE_INTERVAL_S
        ):
            return
        load = len(self.running) / self.service_config['slots']
        self._samples.append(HealthSample(now, state, load, self.incarnation))


def _add_newer(held: list[int], wanted: int) -> list[int]:
    newest = max(wanted, max(held) + 1)
    return [*held, newest][-MAX_VERSIONS:]


def _no_stats(name: str) -> TargetStats:
    return TargetStats(
        target=name,
        state='ready',
        searches=0,
        orders=0,
        shed=0,
        cancelled=0,
        collapses=0,
        connects=0,
        refused_connections=0,
        peak_in_flight=0,
        peak_cold=0,
        peak_connections=0,
    )

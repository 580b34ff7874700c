"""The model of one stand-in target: slots, warmth, versions, faults.

It does no I/O: the server tells it of requests and of the time.
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

__all__ = ['MS_PER_SECOND', 'Admission', 'Report', 'TargetModel']

MS_PER_SECOND = 1000
MEDIAN_MS = 3.0
SIGMA = 0.4
ORDER_MS = 5.0
DOWN_MS = 3000.0
HEALTH_LAG_MS = 1000.0
RESTART_SECONDS = 0.5
#: Index versions and layouts that a target holds at once.
VERSIONS_HELD = 2
#: Least time between samples of health, in seconds.
SAMPLE_SECONDS = 0.05
SAMPLES = 400
_FOREVER = math.inf


class Admission(NamedTuple):
    """What becomes of a request.

    ``status`` is that of the answer; ``took`` is the time until then, in
    seconds.
    """

    status: str
    took: float


class Report(NamedTuple):
    """Health and load at a time."""

    time: float
    state: str
    load: float
    incarnation: int


class _Fault(NamedTuple):
    """A fault in force."""

    until: float
    share: float
    amount: float


class TargetModel:
    """One target.

    Parameters
    ----------
    name : str
        Name of the target.
    policy : Service
        What its service bears.
    timing : Timing
        How long work takes.
    rng : random.Random
        The source of chance.
    warm : bool
        Whether it starts warm.

    Attributes
    ----------
    stats : TargetStats
        What was counted.
    """

    def __init__(
        self,
        name: str,
        policy: Service,
        timing: Timing,
        rng: Random,
        warm: bool = True,
    ) -> None:
        self.name = name
        self.policy = policy
        self.timing = timing
        self.incarnation = 1
        self.versions = [1]
        self.layouts = [policy['layout']]
        self.running: set[int] = set()
        self.down_until = 0.0
        self.stats = _no_stats(name)
        self._rng = rng
        self._served = policy['warm_after'] if warm else 0
        self._numbers = count(1)
        self._faults: dict[str, _Fault] = {}
        self._samples: deque[Report] = deque(maxlen=SAMPLES)

    @property
    def cold(self) -> bool:
        """Whether it bears only its cold limit."""
        return self._served < self.policy['warm_after']

    def down(self, now: float) -> bool:
        """Return whether it takes no connection."""
        return now < self.down_until

    def state(self, now: float) -> str:
        """Return its true state."""
        if self.down(now):
            return 'down'
        if self.struck('drain', now):
            return 'draining'
        return 'cold' if self.cold else 'ready'

    def struck(self, kind: str, now: float) -> bool:
        """Return whether a fault hits the request at hand."""
        fault = self._faults.get(kind)
        if fault is None or now >= fault.until:
            return False
        return fault.share >= 1 or self._rng.random() < fault.share

    def fault_share(self, kind: str) -> float:
        """Return the share of requests that a fault hits."""
        fault = self._faults.get(kind)
        return fault.share if fault else 0.0

    def begin_search(self, layout: int, version: int, now: float) -> Admission:
        """Decide on a search; an ``ok`` one holds a slot until `finish`."""
        held = version in {0, *self.versions}
        if not held or layout not in {0, *self.layouts}:
            return Admission('wrong_version', 0)
        refusal = self._refusal(now)
        if refusal:
            return Admission(refusal, 0)
        self.stats['searches'] += 1
        return Admission('ok', self._search_seconds(now))

    def begin_order(self, now: float) -> Admission:
        """Decide on an order; an ``ok`` one runs, whatever comes later."""
        refusal = self._refusal(now)
        if refusal:
            return Admission(refusal, 0)
        self.stats['orders'] += 1
        took = self.timing.get('order_ms', ORDER_MS) / MS_PER_SECOND
        return Admission('ok', took)

    def hold(self, now: float) -> int:
        """Take a slot; return its number."""
        number = next(self._numbers)
        self.running.add(number)
        load = len(self.running)
        stats = self.stats
        stats['peak_in_flight'] = max(stats['peak_in_flight'], load)
        if self.cold:
            stats['peak_cold'] = max(stats['peak_cold'], load)
        self._sample(now)
        return number

    def finish(self, number: int, now: float, served: bool = True) -> bool:
        """Free a slot; return whether it was still held."""
        held = number in self.running
        self.running.discard(number)
        if held and served:
            self._served += 1
        self._sample(now)
        return held

    def overwhelmed(self) -> bool:
        """Return whether it is cold and bears more than its cold limit."""
        return self.cold and len(self.running) > self.policy['cold_slots']

    def collapse(self, now: float) -> None:
        """Go down under load."""
        self.stats['collapses'] += 1
        down_ms = self.timing.get('down_ms', DOWN_MS)
        self.restart(now, down_ms / MS_PER_SECOND)

    def restart(self, now: float, seconds: float) -> None:
        """Go down and come back cold, as another incarnation."""
        self.down_until = now + seconds
        self.incarnation += 1
        self._served = 0
        self.running.clear()
        self._sample(now)

    def apply(self, fault: TargetFault, now: float) -> None:
        """Put a fault in force that concerns no connection."""
        kind = fault['kind']
        amount = fault.get('amount', 0.0)
        if kind == 'clear':
            self._faults.clear()
            self.down_until = min(self.down_until, now)
        elif kind == 'index':
            self.versions = _newer(self.versions, int(amount))
        elif kind == 'repartition':
            self.layouts = _newer(self.layouts, int(amount))
        else:
            seconds = fault.get('seconds', _FOREVER)
            share = fault.get('share', 1.0)
            self._faults[kind] = _Fault(now + seconds, share, amount)
        self._sample(now)

    def report(self, now: float) -> Report:
        """Return health and load as they were some time ago."""
        self._sample(now)
        lag = self.timing.get('health_lag_ms', HEALTH_LAG_MS) / MS_PER_SECOND
        past = [one for one in self._samples if one.time <= now - lag]
        return past[-1] if past else self._samples[0]

    def _refusal(self, now: float) -> str:
        if self.struck('drain', now):
            return 'draining'
        full = len(self.running) >= self.policy['slots']
        if full or self.struck('shed', now):
            self.stats['shed'] += 1
            return 'shed'
        return ''

    def _search_seconds(self, now: float) -> float:
        median = self.timing.get('median_ms', MEDIAN_MS)
        sigma = self.timing.get('sigma', SIGMA)
        took = median * self._rng.lognormvariate(0, sigma)
        if self.struck('straggle', now):
            took *= max(self._faults['straggle'].amount, 1)
        return took / MS_PER_SECOND

    def _sample(self, now: float) -> None:
        state = self.state(now)
        last = self._samples[-1] if self._samples else None
        if last and last.state == state and now < last.time + SAMPLE_SECONDS:
            return
        load = len(self.running) / self.policy['slots']
        self._samples.append(Report(now, state, load, self.incarnation))


def _newer(held: list[int], wanted: int) -> list[int]:
    newest = max(wanted, max(held) + 1)
    return [*held, newest][-VERSIONS_HELD:]


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

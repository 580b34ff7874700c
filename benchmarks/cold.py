"""Benchmark ``cold``: restart of a failure domain, targets turned cold.

A restarted target collapses when more requests than its cold limit run at
once.  One that turns cold without a restart does so only when it starts a
request beyond the limit after its first sign, a reply that took four mean
service times.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import Any, NamedTuple

from benchmarks.deployed_load import (
    MEAN_SERVICE_S,
    DeployedLoad,
    LoadWindow,
    make_streams,
    windows,
)
from benchmarks.report import (
    Check,
    Report,
    at_least,
    at_most,
    benchmark,
)
from rosemaryweir.targets import leaf_target_state
from rosemaryweir.targets.warmth import Warmth
from rosemaryweir.testing import (
    DEPLOYMENTS,
    Cluster,
    Deployment,
    FakeTarget,
    TargetSpec,
    config_of,
    vm_settings,
)
from rosemaryweir.testing.fake_target import RunningAttempt

__all__ = ['NoColdLimit', 'run', 'use_warmth']

VM_COUNT = 6
# Time until new leaves own their targets, and then to warm up.
OWNERSHIP_S = 2.5
WARM_UP_S = 2.5
BEFORE_S = 1.0
# Time for which a failure domain is down, and measured after an event.
DOWN_S = 1.0
AFTER_S = 3.0
FULL_AFTER_S = 20.0
# Load as a share of each query service's capacity; without one of the
# failure domains, two thirds of the capacity remain.
FIRST_SHARE = 0.35
SECOND_SHARE = 0.1
SUDDEN_SHARE = 0.1
# A reply that took this many mean service times shows a cold target; after
# the travel time all requests sent before it have arrived.
SIGN_FACTOR = 4.0
SIGN_TRAVEL_S = 0.005
MIN_SERVED_SHARE = 0.999


class ColdTarget(FakeTarget):
    """A target that applies its cold limit only after the first sign."""

    def __init__(
        self,
        name: str,
        spec: TargetSpec,
        scheduler: Any,
        rng: Random,
    ) -> None:
        super().__init__(name, spec, scheduler, rng)
        self.sign_seen = True
        self.unsigned_peak = 0
        self.start_times: dict[str, float] = {}

    def turn_cold(self) -> None:
        """Turn cold without a restart."""
        self.make_cold()
        self.sign_seen = False

    def start(self) -> None:
        """Start cold, as a new incarnation."""
        super().start()
        self.sign_seen = True

    def _start(self, running_attempt: RunningAttempt, remaining: float) -> None:
        if not self.cold or self.sign_seen:
            super()._start(running_attempt, remaining)
            return
        self.start_times[running_attempt.action.attempt] = self.scheduler.now
        self.unsigned_peak = max(self.unsigned_peak, len(self.running) + 1)
        spec = self.spec
        peak = self.cold_peak
        self.spec = spec._replace(cold_slots=spec.slots)
        super()._start(running_attempt, remaining)
        self.spec = spec
        self.cold_peak = peak

    def _finish(self, attempt: str, running_attempt: RunningAttempt) -> None:
        started_at = self.start_times.pop(attempt, self.scheduler.now)
        if self.scheduler.now - started_at >= SIGN_FACTOR * MEAN_SERVICE_S:
            self.scheduler.after(SIGN_TRAVEL_S, self._mark_sign)
        super()._finish(attempt, running_attempt)

    def _mark_sign(self) -> None:
        self.sign_seen = True


class ColdCluster(Cluster):
    """A cluster with targets of type `ColdTarget`."""

    target_type = ColdTarget


class NoColdLimit(Warmth):
    """Baseline that ignores the cold limit."""

    @property
    def allowed(self) -> int:
        """Requests that may run on the target at once."""
        return self.limits.slots


@contextmanager
def use_warmth(warmth: type[Warmth]) -> Iterator[None]:
    """Replace the class that limits cold targets in the context."""
    # LeafTargetState looks up the class in the namespace of its module.
    names: dict[str, Any] = vars(leaf_target_state)
    names['Warmth'] = warmth
    try:
        yield
    finally:
        names['Warmth'] = Warmth


class ColdResult(NamedTuple):
    """Result of one event in one deployment."""

    windows: list[LoadWindow]
    peak: float
    unsigned_peak: int
    collapses: int
    asked: int

    @property
    def least_served_share(self) -> float:
        """The lowest share of served requests of any window."""
        return min(window.served_share for window in self.windows)

    def figures(self) -> dict[str, Any]:
        """Return the figures of the report."""
        return {
            'asked': self.asked,
            'least_service': round(self.least_served_share, 5),
            'peak_over_cold_limit': self.peak,
            'peak_before_first_sign': self.unsigned_peak,
            'collapses': self.collapses,
            'p99_ms': [window.p99_ms for window in self.windows],
        }


def _restart_domain(cluster: Cluster, rng: Random) -> None:
    domain = rng.choice(sorted(cluster.config['domains']))
    for name, target in cluster.config['targets'].items():
        if target['domain'] == domain:
            fake = cluster.targets[name]
            fake.stop()
            cluster.scheduler.after(DOWN_S, fake.start)


def _turn_cold_suddenly(cluster: Cluster, rng: Random) -> None:
    names = sorted(cluster.targets)
    for name in rng.sample(names, round(len(names) * SUDDEN_SHARE)):
        target = cluster.targets[name]
        if isinstance(target, ColdTarget):
            target.turn_cold()


EVENTS = {'restart': _restart_domain, 'sudden': _turn_cold_suddenly}


def _run_scenario(
    deployment: Deployment,
    event: str,
    seed: int,
    after: float,
) -> ColdResult:
    cluster = ColdCluster(
        vm_settings(deployment, VM_COUNT),
        config_of(deployment),
        seed=seed,
        static=True,
    )
    queries = [
        each.name for each in deployment.services if each.work != 'order'
    ]
    shares = dict(zip(queries, (FIRST_SHARE, SECOND_SHARE), strict=True))
    load = DeployedLoad(cluster, make_streams(deployment, shares), seed)
    cluster.run(OWNERSHIP_S)
    load.run(WARM_UP_S)
    start = cluster.now
    load.run(BEFORE_S)
    EVENTS[event](cluster, Random(seed))
    load.run(after)
    end = cluster.now
    cluster.run(OWNERSHIP_S)
    fakes = [t for t in cluster.targets.values() if isinstance(t, ColdTarget)]
    asks = load.asks_between(start, end)
    return ColdResult(
        list(windows(asks, start, end)),
        max(fake.cold_peak / fake.spec.cold_slots for fake in fakes),
        max(fake.unsigned_peak for fake in fakes),
        sum(fake.collapses for fake in fakes),
        len(asks),
    )


def _checks(name: str, found: ColdResult) -> list[Check]:
    return [
        at_most(f'{name}.peak_over_cold_limit', found.peak, 1),
        at_most(f'{name}.collapses', found.collapses, 0),
        at_least(
            f'{name}.least_service', found.least_served_share, MIN_SERVED_SHARE
        ),
    ]


@benchmark('cold')
def run(seed: int, quick: bool) -> Report:
    """Measure served requests and overload while targets are cold."""
    after = AFTER_S if quick else FULL_AFTER_S
    figures: dict[str, Any] = {}
    baselines: dict[str, Any] = {}
    checks: list[Check] = []
    for deployment in DEPLOYMENTS.values():
        for event in EVENTS:
            name = f'{deployment.name}.{event}'
            found = _run_scenario(deployment, event, seed, after)
            figures[name] = found.figures()
            checks.extend(_checks(name, found))
    deployment = DEPLOYMENTS['halvorsen']
    with use_warmth(NoColdLimit):
        baseline = _run_scenario(deployment, 'restart', seed, AFTER_S)
    baselines['halvorsen.restart.no_guard'] = baseline.figures()
    return Report('cold', seed, figures, baselines, tuple(checks))

"""Cold start: a failure domain restarts, targets turn cold without warning.

A target that restarts collapses as soon as more runs on it than its cold
limit.  One that turns cold without warning collapses once it has given the
first sign, a reply of four mean service times, and then starts work beside
more than its cold limit.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import Any, NamedTuple

from benchmarks.deployed_load import (
    MEAN_S,
    Streams,
    Window,
    streams_of,
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

__all__ = ['Unguarded', 'guarded_by', 'run']

VMS = 6
#: Time after which new leaves use their targets, and to warm up, in s.
OWNED_S = 2.5
WARM_UP_S = 2.5
BEFORE_S = 1.0
#: How long a failure domain is down, and observed after each event, in s.
DOWN_S = 1.0
AFTER_S = 3.0
FULL_AFTER_S = 20.0
#: Shares of the capacity of the query services; a failure domain out leaves
#: two thirds of it.
FIRST_SHARE = 0.35
SECOND_SHARE = 0.1
SUDDEN_SHARE = 0.1
#: A reply of so many mean service times is a sign; it takes so long (s) until
#: what was sent before it came has arrived.
SIGN_MEANS = 4.0
SIGN_TRAVEL = 0.005
SERVICE_MIN = 0.999


class ColdTarget(FakeTarget):
    """A target that notes what it bears before and after the first sign."""

    def __init__(
        self,
        name: str,
        spec: TargetSpec,
        scheduler: Any,
        rng: Random,
    ) -> None:
        super().__init__(name, spec, scheduler, rng)
        self.signed = True
        self.unsigned_peak = 0
        self.begun: dict[str, float] = {}

    def turn_cold(self) -> None:
        """Turn cold without warning."""
        self.make_cold()
        self.signed = False

    def start(self) -> None:
        """Come up cold, as a new incarnation."""
        super().start()
        self.signed = True

    def _start(self, running_attempt: RunningAttempt, remaining: float) -> None:
        if not self.cold or self.signed:
            super()._start(running_attempt, remaining)
            return
        self.begun[running_attempt.action.attempt] = self.scheduler.now
        self.unsigned_peak = max(self.unsigned_peak, len(self.running) + 1)
        spec = self.spec
        peak = self.cold_peak
        self.spec = spec._replace(cold_slots=spec.slots)
        super()._start(running_attempt, remaining)
        self.spec = spec
        self.cold_peak = peak

    def _finish(self, attempt: str, running_attempt: RunningAttempt) -> None:
        begun = self.begun.pop(attempt, self.scheduler.now)
        if self.scheduler.now - begun >= SIGN_MEANS * MEAN_S:
            self.scheduler.after(SIGN_TRAVEL, self._sign)
        super()._finish(attempt, running_attempt)

    def _sign(self) -> None:
        self.signed = True


class ColdCluster(Cluster):
    """A cluster with targets that note their first sign."""

    target_type = ColdTarget


class Unguarded(Warmth):
    """The baseline: every target gets its slots, cold or not."""

    @property
    def allowed(self) -> int:
        """Requests that the target may run at once now."""
        return self.limits.slots


@contextmanager
def guarded_by(warmth: type[Warmth]) -> Iterator[None]:
    """Let targets be judged by another kind of warmth."""
    # LeafTargetState looks the class up by its name in its module.
    names: dict[str, Any] = vars(leaf_target_state)
    names['Warmth'] = warmth
    try:
        yield
    finally:
        names['Warmth'] = Warmth


class Found(NamedTuple):
    """What one scenario found."""

    windows: list[Window]
    peak: float
    unsigned_peak: int
    collapses: int
    asked: int

    @property
    def service(self) -> float:
        """The least service of any window."""
        return min(window.service for window in self.windows)

    def figures(self) -> dict[str, Any]:
        """Return the figures of the report."""
        return {
            'asked': self.asked,
            'least_service': round(self.service, 5),
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


def _sudden_cold(cluster: Cluster, rng: Random) -> None:
    names = sorted(cluster.targets)
    for name in rng.sample(names, round(len(names) * SUDDEN_SHARE)):
        target = cluster.targets[name]
        if isinstance(target, ColdTarget):
            target.turn_cold()


EVENTS = {'restart': _restart_domain, 'sudden': _sudden_cold}


def _scenario(
    deployment: Deployment,
    event: str,
    seed: int,
    after: float,
) -> Found:
    cluster = ColdCluster(
        vm_settings(deployment, VMS),
        config_of(deployment),
        seed=seed,
        static=True,
    )
    queries = [
        each.name for each in deployment.services if each.work != 'order'
    ]
    shares = dict(zip(queries, (FIRST_SHARE, SECOND_SHARE), strict=True))
    streams = Streams(cluster, streams_of(deployment, shares), seed)
    cluster.run(OWNED_S)
    streams.run(WARM_UP_S)
    start = cluster.now
    streams.run(BEFORE_S)
    EVENTS[event](cluster, Random(seed))
    streams.run(after)
    end = cluster.now
    cluster.run(OWNED_S)
    fakes = [t for t in cluster.targets.values() if isinstance(t, ColdTarget)]
    asks = streams.since(start, end)
    return Found(
        list(windows(asks, start, end)),
        max(fake.cold_peak / fake.spec.cold_slots for fake in fakes),
        max(fake.unsigned_peak for fake in fakes),
        sum(fake.collapses for fake in fakes),
        len(asks),
    )


def _checks(name: str, found: Found) -> list[Check]:
    return [
        at_most(f'{name}.peak_over_cold_limit', found.peak, 1),
        at_most(f'{name}.collapses', found.collapses, 0),
        at_least(f'{name}.least_service', found.service, SERVICE_MIN),
    ]


@benchmark('cold')
def run(seed: int, quick: bool) -> Report:
    """Measure service and overshoot while targets are cold."""
    after = AFTER_S if quick else FULL_AFTER_S
    figures: dict[str, Any] = {}
    baselines: dict[str, Any] = {}
    checks: list[Check] = []
    for deployment in DEPLOYMENTS.values():
        for event in EVENTS:
            name = f'{deployment.name}.{event}'
            found = _scenario(deployment, event, seed, after)
            figures[name] = found.figures()
            checks.extend(_checks(name, found))
    deployment = DEPLOYMENTS['halvorsen']
    with guarded_by(Unguarded):
        bare = _scenario(deployment, 'restart', seed, AFTER_S)
    baselines['halvorsen.restart.no_guard'] = bare.figures()
    return Report('cold', seed, figures, baselines, tuple(checks))

"""Benchmark ``domain``: withdrawal, loss and return of a failure domain.

Whole VMs run, with agents, store and notes.  A loss stops the VMs and the
targets of the failure domain at once, without closing connections.
"""

from random import Random
from typing import Any, NamedTuple

from benchmarks.deployed_load import (
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
from rosemaryweir.schema.generated.note import ReleaseNote
from rosemaryweir.testing import (
    DEPLOYMENTS,
    Cluster,
    Deployment,
    config_of,
    note_of,
    vm_settings,
)

__all__ = ['run']

VM_COUNT = 6
# Time until views are settled, until the first note is in force, and to
# warm up.
SETTLE_S = 5.0
IN_FORCE_S = 5.0
WARM_UP_S = 3.0
# Duration of each phase.
PHASE_S = 3.0
FULL_PHASE_S = 12.0
FIRST_SHARE = 0.3
SECOND_SHARE = 0.05
MAX_LAST_WORK_S = 3.0
MIN_SERVED_SHARE = 0.999
OPERATOR = 'vm-000'


class Phase(NamedTuple):
    """Windows of one phase."""

    name: str
    windows: list[LoadWindow]

    @property
    def served_share(self) -> float:
        """The lowest share of served requests of any window."""
        return min(window.served_share for window in self.windows)


class DomainResult(NamedTuple):
    """Result of one deployment."""

    phases: list[Phase]
    last_work: float
    collapses: int


class DomainScenario:
    """A cluster whose failure domain leaves and returns.

    Attributes
    ----------
    domain : str
        The failure domain that leaves; the operator uses a VM of another.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.cluster = Cluster(
            vm_settings(deployment, VM_COUNT),
            config_of(deployment),
            seed=seed,
        )
        sizes = [each for each in deployment.services if each.work == 'query']
        names = [size.name for size in sizes]
        shares = dict(zip(names, (FIRST_SHARE, SECOND_SHARE), strict=True))
        streams = make_streams(deployment, shares)
        self.load = DeployedLoad(self.cluster, streams, seed)
        self.deployment = deployment
        self.rng = Random(seed)
        self.generation = 0
        home = self.cluster.settings[OPERATOR]['domain']
        others = [each for each in deployment.domains if each != home]
        self.domain = self.rng.choice(others)

    @property
    def vms(self) -> list[str]:
        """VMs of the failure domain."""
        return [
            vm
            for vm, settings in self.cluster.settings.items()
            if settings['domain'] == self.domain
        ]

    @property
    def targets(self) -> list[str]:
        """Targets of the failure domain."""
        return [
            name
            for name, target in self.cluster.config['targets'].items()
            if target['domain'] == self.domain
        ]

    def boot(self) -> None:
        """Submit the first note and warm the cluster up."""
        self.cluster.run(SETTLE_S)
        self.cluster.ask(
            OPERATOR,
            'note',
            note_of(self.deployment),
            role='agent',
        )
        self.generation = 1
        self.cluster.run(IN_FORCE_S)
        self.load.run(WARM_UP_S)

    def run_phase(self, name: str, seconds: float) -> None:
        """Load the cluster for some seconds, and record the phase."""
        start = self.cluster.now
        self.load.run(seconds)
        end = self.cluster.now
        self.load.phase_times.append((name, start, end))

    def submit_state(self, state: str) -> Any:
        """Submit a note that takes the failure domain out or in."""
        note = ReleaseNote(
            note=f'{self.domain}-{state}-{self.generation}',
            format=1,
            base=self.generation,
            changed={'domains': {self.domain: {'state': state}}},  # type: ignore[typeddict-item]
        )
        self.generation += 1
        return self.cluster.ask(OPERATOR, 'note', note, role='agent')

    def lose_domain(self) -> None:
        """Stop VMs and targets without closing their connections."""
        for name in self.targets:
            target = self.cluster.targets[name]
            target.up = False
            target.running.clear()
            target.silent.update(target.connections)
        for vm in self.vms:
            self.cluster.kill_vm(vm)
        self.load.remove_vms(self.vms)

    def restore_domain(self) -> None:
        """Restart the VMs, and the targets cold."""
        for vm in self.vms:
            self.cluster.start_vm(self.cluster.settings[vm])
        for name in self.targets:
            target = self.cluster.targets[name]
            target.connections.clear()
            target.silent.clear()
            target.start()

    def last_start(self, since: float, until: float) -> float:
        """Return the last start of work in the domain between two times."""
        began = [
            each.when
            for name in self.targets
            for each in self.cluster.targets[name].runs
            if since <= each.when < until
        ]
        return max(began, default=since)


def _run_scenario(
    deployment: Deployment, seed: int, seconds: float
) -> DomainResult:
    scenario = DomainScenario(deployment, seed)
    scenario.boot()
    scenario.run_phase('before', seconds / 2)
    withdrawal = scenario.submit_state('out')
    scenario.run_phase('withdrawn', seconds)
    end = scenario.cluster.now
    last = scenario.last_start(withdrawal.answered, end) - withdrawal.answered
    scenario.submit_state('in')
    scenario.run_phase('restored', seconds)
    scenario.lose_domain()
    scenario.run_phase('lost', seconds)
    scenario.restore_domain()
    scenario.run_phase('returned', seconds)
    scenario.cluster.run(SETTLE_S)
    asks = scenario.load.asks
    phases = [
        Phase(name, list(windows(asks, start, end)))
        for name, start, end in scenario.load.phase_times
    ]
    fakes = scenario.cluster.targets.values()
    return DomainResult(phases, last, sum(fake.collapses for fake in fakes))


def _figures(found: DomainResult) -> dict[str, Any]:
    return {
        'last_new_work_s': round(found.last_work, 3),
        'collapses': found.collapses,
        'least_service': {
            phase.name: round(phase.served_share, 5) for phase in found.phases
        },
        'p99_ms': _p99(found),
    }


def _p99(found: DomainResult) -> dict[str, list[float]]:
    return {
        phase.name: [window.p99_ms for window in phase.windows]
        for phase in found.phases
    }


def _checks(name: str, found: DomainResult) -> list[Check]:
    checks = [
        at_most(f'{name}.last_new_work_s', found.last_work, MAX_LAST_WORK_S),
        at_most(f'{name}.collapses', found.collapses, 0),
    ]
    checks.extend(
        at_least(
            f'{name}.{phase.name}.service', phase.served_share, MIN_SERVED_SHARE
        )
        for phase in found.phases
    )
    return checks


@benchmark('domain')
def run(seed: int, quick: bool) -> Report:
    """Measure served requests while a failure domain leaves and returns."""
    seconds = PHASE_S if quick else FULL_PHASE_S
    figures: dict[str, Any] = {}
    baselines: dict[str, Any] = {}
    checks: list[Check] = []
    for deployment in DEPLOYMENTS.values():
        found = _run_scenario(deployment, seed, seconds)
        figures[deployment.name] = _figures(found)
        baselines[f'{deployment.name}.before'] = _p99(found)['before']
        checks.extend(_checks(deployment.name, found))
    return Report('domain', seed, figures, baselines, tuple(checks))

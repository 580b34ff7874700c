"""Benchmark ``rolling``: every VM of a deployment is replaced under load.

Callers ask the directory which VM to use, keep the answer for its time to
live and send queries and orders there.  For one VM after another, a successor
with another name and address starts, and the VM is then shut down gracefully.
The baseline kills the VMs instead.
"""

from collections import Counter
from random import Random
from typing import Any, NamedTuple

from benchmarks.report import Report, at_least, at_most, benchmark
from rosemaryweir.schema.generated.settings import Settings
from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import (
    HALVORSEN,
    config_of,
    note_of,
    vm_settings,
)
from rosemaryweir.testing.process import Ask

__all__ = ['run']

VM_COUNT = 9
CALLER_COUNT = 12
START_S = 6.0
BEFORE_S = 10.0
JOIN_WAIT_S = 3.0
EXIT_LIMIT_S = 40.0
RECOVERY_S = 10.0
ORDER_SHARE = 0.2
POLL_S = 0.25

# Mean pause between two requests of one caller.
PAUSE_S = 0.5
QUICK_PAUSE_S = 1.0

#: A request without answer after this time counts as lost.
LOST_AFTER_S = 8.0

#: Bound on p99 during the replacement, as a multiple of p99 before it.
MAX_P99_RISE = 2.0
MS_PER_S = 1000


class DirectoryCaller:
    """Sends one request at a time to a VM listed by the directory."""

    def __init__(
        self, name: str, rolling_run: 'RollingRun', rng: Random
    ) -> None:
        self.name = name
        self.rolling_run = rolling_run
        self.rng = rng
        self.listed_vms: list[str] = []
        self.listed_until = 0.0
        self.sent_count = 0

    def send_next(self) -> None:
        """Send a request, or call the directory if its answer has expired."""
        cluster = self.rolling_run.cluster
        if cluster.now < self.listed_until:
            self._request()
            return
        vm = (
            self.listed_vms[0]
            if self.listed_vms
            else self.rng.choice(self.rolling_run.running())
        )
        self.rolling_run.ask(vm, 'directory', {}, self._handle_directory)

    def _handle_directory(self, ask: Ask) -> None:
        if ask.status == 200:
            self.listed_vms = [entry['vm'] for entry in ask.answer['use']]
            ttl = ask.answer['ttl_ms'] / MS_PER_S
            self.listed_until = self.rolling_run.cluster.now + ttl
            self._request()
            return
        # The call failed: the next one goes to another VM.
        self.listed_vms = self.listed_vms[1:]
        self._schedule_next()

    def _request(self) -> None:
        self.sent_count += 1
        vm = self.listed_vms[0]
        if self.rng.random() < ORDER_SHARE:
            body = {
                'service': 'print-orders',
                'order_key': f'{self.name}-{self.sent_count}',
                'body': 'one pallet',
            }
            self.rolling_run.ask(vm, 'order', body, self._request_done)
            return
        body = {'service': 'patrol-desk', 'query': 'permit', 'class': 'street'}
        self.rolling_run.ask(vm, 'query', body, self._request_done)

    def _request_done(self, ask: Ask) -> None:
        if ask.status != 200:
            self.listed_until = 0.0
            self.listed_vms = self.listed_vms[1:]
        self._schedule_next()

    def _schedule_next(self) -> None:
        pause = self.rolling_run.pause * self.rng.uniform(0.5, 1.5)
        self.rolling_run.cluster.scheduler.after(pause, self.send_next)


class RollingResult(NamedTuple):
    """Result of one run; its fields are keys of the report."""

    answered: int
    refused: dict[str, int]
    cut: int
    lost: int
    doubled: int
    p99_before_ms: float
    p99_during_ms: float
    bad_exits: int
    longest_exit_s: float


class RollingRun:
    """A deployment under load whose VMs are replaced."""

    def __init__(self, seed: int, pause: float) -> None:
        self.rng = Random(seed)
        self.pause = pause
        self.settings = vm_settings(HALVORSEN, 2 * VM_COUNT)
        self.cluster = Cluster(
            self.settings[:VM_COUNT],
            config_of(HALVORSEN),
            seed,
        )
        self.replacement_start = 0.0
        self.asks: list[Ask] = []
        self.cluster.run(START_S)
        note = note_of(HALVORSEN)
        self.cluster.ask('vm-000', 'note', note, role='agent')
        self.cluster.run(START_S)

    def running(self) -> list[str]:
        """Return the VMs with a running entry."""
        return [
            process.settings['vm']
            for process in self.cluster.processes.values()
            if process.name.endswith('/entry') and process.alive
        ]

    def ask(self, vm: str, topic: str, body: Any, then: Any) -> None:
        """Send a request of a caller."""
        ask = self.cluster.ask(vm, topic, body, on_answer=then)
        self.asks.append(ask)

    def replace_all(self, gracefully: bool) -> tuple[int, float]:
        """Replace all VMs; return failed exits and the longest exit time."""
        for number in range(CALLER_COUNT):
            caller = DirectoryCaller(
                f'c{number}', self, Random(self.rng.random())
            )
            offset = self.rng.random()
            self.cluster.scheduler.after(offset, caller.send_next)
        self.cluster.run(BEFORE_S)
        self.replacement_start = self.cluster.now
        durations = [
            self._replace(old, new, gracefully)
            for old, new in zip(
                self.settings[:VM_COUNT],
                self.settings[VM_COUNT:],
                strict=True,
            )
        ]
        self.cluster.run(RECOVERY_S)
        exits = [
            process.exit_code
            for process in self.cluster.processes.values()
            if process.settings in self.settings[:VM_COUNT]
        ]
        return sum(code != 0 for code in exits), max(durations)

    def summarize(self, bad_exits: int, longest: float) -> RollingResult:
        """Return the result from all requests so far."""
        work = [ask for ask in self.asks if ask.topic in {'query', 'order'}]
        done = [ask for ask in work if ask.status == 200]
        refused = Counter(
            ask.answer['reason'] for ask in work if ask.status not in {0, 200}
        )
        old = self.cluster.now - LOST_AFTER_S
        return RollingResult(
            len(done),
            dict(refused),
            sum(ask.cut and not _used_expired_answer(ask) for ask in self.asks),
            sum(
                not (ask.cut or ask.status) and ask.asked < old
                for ask in self.asks
            ),
            self._count_doubled(),
            _p99([ask for ask in done if ask.asked < self.replacement_start]),
            _p99([ask for ask in done if ask.asked >= self.replacement_start]),
            bad_exits,
            round(longest, 1),
        )

    def _replace(
        self,
        old: Settings,
        new: Settings,
        gracefully: bool,
    ) -> float:
        cluster = self.cluster
        cluster.start_vm(new)
        cluster.store.live = (*cluster.store.live, new['vm'])
        cluster.run(JOIN_WAIT_S)
        began = cluster.now
        if gracefully:
            cluster.shutdown_vm(old['vm'])
        else:
            cluster.kill_vm(old['vm'])
        while cluster.now < began + EXIT_LIMIT_S and self._is_running(
            old['vm']
        ):
            cluster.run(POLL_S)
        taken = cluster.now - began
        cluster.store.live = tuple(
            vm for vm in cluster.store.live if vm != old['vm']
        )
        cluster.run(JOIN_WAIT_S)
        return taken

    def _is_running(self, vm: str) -> bool:
        return any(
            process.alive
            for process in self.cluster.processes.values()
            if process.settings['vm'] == vm
        )

    def _count_doubled(self) -> int:
        runs = Counter(
            run.subject
            for target in self.cluster.targets.values()
            for run in target.runs
            if run.work == 'order'
        )
        return sum(count > 1 for count in runs.values())


def _used_expired_answer(ask: Ask) -> bool:
    """Return whether a directory call was refused at a stopping VM.

    Queries and orders go only to VMs listed in an unexpired answer.  The
    directory is called when the answer has expired, and first at the VM used
    before, which may refuse new connections by then.
    """
    return ask.refused and ask.topic == 'directory'


def _p99(asks: list[Ask]) -> float:
    durations = sorted(ask.answered - ask.asked for ask in asks)
    if not durations:
        return float('inf')
    return round(durations[int(0.99 * (len(durations) - 1))] * MS_PER_S, 1)


def _measure(seed: int, pause: float, gracefully: bool) -> RollingResult:
    rolling_run = RollingRun(seed, pause)
    bad_exits, longest = rolling_run.replace_all(gracefully)
    return rolling_run.summarize(bad_exits, longest)


@benchmark('rolling')
def run(seed: int, quick: bool) -> Report:
    """Replace all VMs under load, by graceful shutdowns and by kills."""
    pause = QUICK_PAUSE_S if quick else PAUSE_S
    found = _measure(seed, pause, gracefully=True)
    at_once = _measure(seed, pause, gracefully=False)
    rise = found.p99_during_ms / found.p99_before_ms
    checks = (
        at_most('requests cut', found.cut, 0),
        at_most('requests lost', found.lost, 0),
        at_most('orders doubled', found.doubled, 0),
        at_most('processes that did not exit 0', found.bad_exits, 0),
        at_least('requests answered', found.answered, 100),
        at_most('p99 during over p99 before', rise, MAX_P99_RISE),
    )
    return Report(
        'rolling',
        seed,
        {'graceful': found._asdict()},
        {'ended_at_once': at_once._asdict()},
        checks,
    )

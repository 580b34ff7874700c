"""A small deployment under traffic, which one cell of the matrix strikes."""

import json
from random import Random
from typing import Any, NamedTuple

from benchmarks.faults.registry import Fault
from benchmarks.faults.sightings import Sightings
from benchmarks.faults.steps import Step
from benchmarks.order_callers import Callers
from rosemaryweir.testing import (
    DEPLOYMENTS,
    Ask,
    Cluster,
    Deployment,
    ServiceSize,
    config_of,
    note_of,
    vm_settings,
)

__all__ = [
    'DIRECTORY_S',
    'HTTP_OK',
    'MS_PER_S',
    'SMALL',
    'Accepted',
    'World',
]

QUERY_SERVICE = 'patrol-desk'
ORDER_SERVICE = 'print-orders'
SMALL = Deployment(
    'small',
    DEPLOYMENTS['halvorsen'].domains,
    (
        ServiceSize(QUERY_SERVICE, 'query', 4, 3, 3, 30, 6.0),
        ServiceSize(ORDER_SERVICE, 'order', 1, 6, 2, 100, 1.0),
    ),
    DEPLOYMENTS['halvorsen'].classes,
)
VMS = 6
BOOT_S = 4.0
WARM_S = 4.0
ARMED_S = 3.0
CALM_S = 11.0
QUERIES_PER_S = 15.0
ORDERS_PER_S = 12.0
HEAD = 'config/head'
SHUTDOWN_S = 25.0
HTTP_OK = 200
#: How long callers keep an answer of the directory, in seconds; one may have
#: been given just before a shutdown.
DIRECTORY_S = 5.0
#: How long, in seconds, and how often a second a caller asks the directory
#: from a shutdown on.
ASKING_S = 10.0
DIRECTORY_PER_S = 4.0
MS_PER_S = 1000
NOTE_TRIES = 6


class Accepted(NamedTuple):
    """A note that the store's history shows in force."""

    when: float
    generation: int
    note: str


class World:
    """One cell: traffic, a step, a fault, and what was seen.

    Parameters
    ----------
    seed : int
        Seed of everything.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.seen = Sightings()
        self.cluster = Cluster(
            vm_settings(SMALL, VMS),
            config_of(SMALL),
            seed,
            size_of=self.seen.size_of,
        )
        self.cluster.world = self  # type: ignore[attr-defined]
        self.seen.watch(self.cluster)
        self.callers = Callers(self.cluster, (ORDER_SERVICE,), self.rng)
        self.queries: list[Ask] = []
        self.notes: list[Ask] = []
        self.domain_notes: dict[str, tuple[str, str]] = {}
        self.left: dict[str, float] = {}
        self.directory: list[Ask] = []
        self.exits: dict[str, float] = {}
        self.faults: tuple[str, ...] = ()
        self._chance = Random(seed)
        self._named: dict[str, float] = {}
        self._paused: set[str] = set()
        self.struck = False
        self._numbers = 0
        self._killed: set[str] = set()
        self._kill = self.cluster.kill
        self.cluster.kill = self._note_kill  # type: ignore[method-assign]
        self._pause = self.cluster.pause
        self.cluster.pause = self._note_pause  # type: ignore[method-assign]

    def run(self, step: Step, faults: tuple[Fault, ...]) -> None:
        """Boot, warm up, take the step, strike, calm down."""
        self.faults = tuple(each.name for each in faults)
        self._boot()
        self._traffic(WARM_S + ARMED_S + CALM_S)
        self.cluster.run(WARM_S)
        self.seen.once(step.tap, lambda: self._strike(faults))
        step.begin(self)
        self.cluster.run(ARMED_S + CALM_S)
        if self.left:
            self.cluster.run(SHUTDOWN_S)

    def submit(self, change: Any, tries: int = NOTE_TRIES) -> str:
        """Hand in a note; return its identifier."""
        self._numbers += 1
        note = f'note-{self._numbers}'
        self._submit(note, change, tries)
        return note

    def set_domain(self, domain: str, state: str) -> None:
        """Take a failure domain out, or bring it back."""
        change = {'changed': {'domains': {domain: {'state': state}}}}
        self.domain_notes[self.submit(change)] = (domain, state)

    def shut_down(self, vm: str) -> None:
        """Ask a VM to end gracefully; callers learn of it from its peers."""
        self.left[vm] = self.cluster.now
        self.cluster.shutdown_vm(vm)
        self._named[vm] = self.cluster.now + DIRECTORY_S
        for turn in range(int(ASKING_S * DIRECTORY_PER_S)):
            wait = turn / DIRECTORY_PER_S
            self.cluster.scheduler.after(wait, self._ask_directory)
        self._forget(vm)

    def accepted(self) -> list[Accepted]:
        """Return what the store's history shows of the head."""
        heads = [
            (write.when, json.loads(write.obj.content))
            for write in self.cluster.store.history
            if write.obj.key == HEAD
        ]
        return [
            Accepted(when, head['generation'], head['note'])
            for when, head in heads
        ]

    def killed_vms(self) -> set[str]:
        """Return the VMs of which a process was killed by a fault."""
        return {name.partition('/')[0] for name in self._killed}

    def paused_vms(self) -> set[str]:
        """Return the VMs of which a process was paused by a fault."""
        return {name.partition('/')[0] for name in self._paused}

    def _note_kill(self, name: str) -> None:
        if self.cluster.processes[name].exit_code is None:
            self._killed.add(name)
        else:
            self.exits[name] = self.cluster.now
        self._kill(name)

    def _note_pause(self, *names: str) -> None:
        self._paused.update(names)
        self._pause(*names)

    def _forget(self, vm: str) -> None:
        """Let callers use a VM until the last answer naming it expires."""
        now = self.cluster.now
        until = self._named.get(vm, now)
        if until > now:
            self.cluster.scheduler.at(until, self._forget, vm)
        else:
            self.callers.avoid(vm)

    def _boot(self) -> None:
        self.cluster.run(BOOT_S / 2)
        ask = self.cluster.ask('vm-000', 'note', note_of(SMALL), role='agent')
        self.notes.append(ask)
        self.cluster.run(BOOT_S / 2)

    def _traffic(self, seconds: float) -> None:
        self.callers.place(int(seconds * ORDERS_PER_S), ORDERS_PER_S)
        when = 0.0
        while when < seconds:
            when += self.rng.expovariate(QUERIES_PER_S)
            self.cluster.scheduler.after(when, self._query)

    def _ask_directory(self) -> None:
        vm = self._chance.choice(self.callers.vms)
        ask = self.cluster.ask(vm, 'directory', {}, on_answer=self._directed)
        self.directory.append(ask)

    def _directed(self, ask: Ask) -> None:
        if ask.status == HTTP_OK:
            until = self.cluster.now + ask.answer['ttl_ms'] / MS_PER_S
            for entry in ask.answer['use']:
                self._named[entry['vm']] = until

    def _query(self) -> None:
        vm = self.rng.choice(self.callers.vms)
        body = {
            'service': QUERY_SERVICE,
            'query': f'permit {len(self.queries)}',
            'deadline_ms': 800,
        }
        self.seen.see('ask query')
        ask = self.cluster.ask(vm, 'query', body, on_answer=self._answered)
        self.queries.append(ask)

    def _answered(self, ask: Ask) -> None:
        self.seen.see('answer query')

    def _strike(self, faults: tuple[Fault, ...]) -> None:
        self.struck = True
        for fault in faults:
            fault.strike(self.cluster, self.rng)

    def _submit(self, note: str, change: Any, tries: int) -> None:
        base = self.accepted()[-1].generation
        body = {'note': note, 'format': 1, 'base': base, **change}
        vms = [
            vm for vm in sorted(self.cluster.settings) if vm not in self.left
        ]

        def answered(ask: Ask) -> None:
            if ask.status != HTTP_OK and tries > 1:
                self.cluster.scheduler.after(
                    0.5,
                    self._submit,
                    note,
                    change,
                    tries - 1,
                )

        vm = self.rng.choice(vms)
        self.seen.see('ask note')
        ask = self.cluster.ask(vm, 'note', body, 'agent', answered)
        self.notes.append(ask)

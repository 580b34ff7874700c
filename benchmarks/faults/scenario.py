"""Runs a small deployment under traffic and injects the faults of a cell."""

import json
from random import Random
from typing import Any, NamedTuple

from benchmarks.faults.observer import ClusterObserver
from benchmarks.faults.registry import Fault
from benchmarks.faults.steps import Step
from benchmarks.order_callers import OrderCallers
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
    'DIRECTORY_TTL_S',
    'HTTP_OK',
    'MS_PER_S',
    'SMALL_DEPLOYMENT',
    'AcceptedNote',
    'FaultScenario',
]

QUERY_SERVICE = 'patrol-desk'
ORDER_SERVICE = 'print-orders'
SMALL_DEPLOYMENT = Deployment(
    'small',
    DEPLOYMENTS['halvorsen'].domains,
    (
        ServiceSize(QUERY_SERVICE, 'query', 4, 3, 3, 30, 6.0),
        ServiceSize(ORDER_SERVICE, 'order', 1, 6, 2, 100, 1.0),
    ),
    DEPLOYMENTS['halvorsen'].classes,
)
VM_COUNT = 6
BOOT_S = 4.0
WARM_UP_S = 4.0
STEP_WAIT_S = 3.0
RECOVERY_S = 11.0
QUERIES_PER_S = 15.0
ORDERS_PER_S = 12.0
HEAD_KEY = 'config/head'
SHUTDOWN_WAIT_S = 25.0
HTTP_OK = 200
#: How long callers use a directory answer; one may have been given just
#: before a shutdown.
DIRECTORY_TTL_S = 5.0
# How long and how often the directory is called after a shutdown begins.
DIRECTORY_CALLS_S = 10.0
DIRECTORY_CALLS_PER_S = 4.0
MS_PER_S = 1000
MAX_NOTE_TRIES = 6


class AcceptedNote(NamedTuple):
    """A release note that the store's history shows as accepted."""

    when: float
    generation: int
    note: str


class FaultScenario:
    """One run of a cell: its cluster, traffic and recorded events.

    Parameters
    ----------
    seed : int
        Seed of the cluster, the traffic and the faults.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.observer = ClusterObserver()
        self.cluster = Cluster(
            vm_settings(SMALL_DEPLOYMENT, VM_COUNT),
            config_of(SMALL_DEPLOYMENT),
            seed,
            size_of=self.observer.size_of,
        )
        self.cluster.scenario = self  # type: ignore[attr-defined]
        self.observer.watch(self.cluster)
        self.callers = OrderCallers(self.cluster, (ORDER_SERVICE,), self.rng)
        self.queries: list[Ask] = []
        self.notes: list[Ask] = []
        self.domain_notes: dict[str, tuple[str, str]] = {}
        self.shutdown_times: dict[str, float] = {}
        self.directory_calls: list[Ask] = []
        self.exit_times: dict[str, float] = {}
        self.faults: tuple[str, ...] = ()
        self._directory_rng = Random(seed)
        self._listed_until: dict[str, float] = {}
        self._paused_processes: set[str] = set()
        self.injected = False
        self._note_count = 0
        self._killed_processes: set[str] = set()
        self._kill = self.cluster.kill
        self.cluster.kill = self._record_kill  # type: ignore[method-assign]
        self._pause = self.cluster.pause
        self.cluster.pause = self._record_pause  # type: ignore[method-assign]

    def run(self, step: Step, faults: tuple[Fault, ...]) -> None:
        """Boot, warm up, inject the faults at the step, and recover."""
        self.faults = tuple(each.name for each in faults)
        self._boot()
        self._start_traffic(WARM_UP_S + STEP_WAIT_S + RECOVERY_S)
        self.cluster.run(WARM_UP_S)
        self.observer.on_next(step.trigger, lambda: self._inject(faults))
        step.begin(self)
        self.cluster.run(STEP_WAIT_S + RECOVERY_S)
        if self.shutdown_times:
            self.cluster.run(SHUTDOWN_WAIT_S)

    def submit(self, change: Any, tries: int = MAX_NOTE_TRIES) -> str:
        """Submit a release note and return its identifier."""
        self._note_count += 1
        note = f'note-{self._note_count}'
        self._submit(note, change, tries)
        return note

    def set_domain(self, domain: str, state: str) -> None:
        """Submit a note that takes a failure domain out or brings it in."""
        change = {'changed': {'domains': {domain: {'state': state}}}}
        self.domain_notes[self.submit(change)] = (domain, state)

    def shut_down(self, vm: str) -> None:
        """Shut a VM down gracefully.

        Callers learn of it from the directory of other VMs.
        """
        self.shutdown_times[vm] = self.cluster.now
        self.cluster.shutdown_vm(vm)
        self._listed_until[vm] = self.cluster.now + DIRECTORY_TTL_S
        for index in range(int(DIRECTORY_CALLS_S * DIRECTORY_CALLS_PER_S)):
            wait = index / DIRECTORY_CALLS_PER_S
            self.cluster.scheduler.after(wait, self._ask_directory)
        self._expire_listing(vm)

    def accepted_notes(self) -> list[AcceptedNote]:
        """Return the accepted notes from the store's writes of the head."""
        heads = [
            (write.when, json.loads(write.obj.content))
            for write in self.cluster.store.history
            if write.obj.key == HEAD_KEY
        ]
        return [
            AcceptedNote(when, head['generation'], head['note'])
            for when, head in heads
        ]

    def killed_vms(self) -> set[str]:
        """Return the VMs with a process that a fault killed."""
        return {name.partition('/')[0] for name in self._killed_processes}

    def paused_vms(self) -> set[str]:
        """Return the VMs with a process that a fault paused."""
        return {name.partition('/')[0] for name in self._paused_processes}

    def _record_kill(self, name: str) -> None:
        if self.cluster.processes[name].exit_code is None:
            self._killed_processes.add(name)
        else:
            self.exit_times[name] = self.cluster.now
        self._kill(name)

    def _record_pause(self, *names: str) -> None:
        self._paused_processes.update(names)
        self._pause(*names)

    def _expire_listing(self, vm: str) -> None:
        """Remove a VM once the last directory answer that lists it expires."""
        now = self.cluster.now
        until = self._listed_until.get(vm, now)
        if until > now:
            self.cluster.scheduler.at(until, self._expire_listing, vm)
        else:
            self.callers.remove_vm(vm)

    def _boot(self) -> None:
        self.cluster.run(BOOT_S / 2)
        ask = self.cluster.ask(
            'vm-000', 'note', note_of(SMALL_DEPLOYMENT), role='agent'
        )
        self.notes.append(ask)
        self.cluster.run(BOOT_S / 2)

    def _start_traffic(self, seconds: float) -> None:
        self.callers.place(int(seconds * ORDERS_PER_S), ORDERS_PER_S)
        when = 0.0
        while when < seconds:
            when += self.rng.expovariate(QUERIES_PER_S)
            self.cluster.scheduler.after(when, self._send_query)

    def _ask_directory(self) -> None:
        vm = self._directory_rng.choice(self.callers.vms)
        ask = self.cluster.ask(
            vm, 'directory', {}, on_answer=self._record_directory
        )
        self.directory_calls.append(ask)

    def _record_directory(self, ask: Ask) -> None:
        if ask.status == HTTP_OK:
            until = self.cluster.now + ask.answer['ttl_ms'] / MS_PER_S
            for entry in ask.answer['use']:
                self._listed_until[entry['vm']] = until

    def _send_query(self) -> None:
        vm = self.rng.choice(self.callers.vms)
        body = {
            'service': QUERY_SERVICE,
            'query': f'permit {len(self.queries)}',
            'deadline_ms': 800,
        }
        self.observer.notify('ask query')
        ask = self.cluster.ask(
            vm, 'query', body, on_answer=self._query_answered
        )
        self.queries.append(ask)

    def _query_answered(self, ask: Ask) -> None:
        self.observer.notify('answer query')

    def _inject(self, faults: tuple[Fault, ...]) -> None:
        self.injected = True
        for fault in faults:
            fault.inject(self.cluster, self.rng)

    def _submit(self, note: str, change: Any, tries: int) -> None:
        base = self.accepted_notes()[-1].generation
        body = {'note': note, 'format': 1, 'base': base, **change}
        vms = [
            vm
            for vm in sorted(self.cluster.settings)
            if vm not in self.shutdown_times
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
        self.observer.notify('ask note')
        ask = self.cluster.ask(vm, 'note', body, 'agent', answered)
        self.notes.append(ask)

"""Clusters that accept release notes, and trackers of their progress."""

from random import Random
from typing import Any, NamedTuple

import msgspec

from rosemaryweir.schema.generated.note import ReleaseNote
from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import (
    HALVORSEN,
    config_of,
    note_of,
    vm_settings,
)
from rosemaryweir.testing.process import Ask, Process

__all__ = ['DAY_S', 'VM_COUNT', 'GenerationTracker', 'start_fleet', 'submit']

VM_COUNT = 9
SETTLE_S = 4.0
DAY_S = 86400.0

#: Kinds of messages that are sent within a VM only.
LOCAL_KINDS = ('hello', 'grant', 'configured', 'viewed')


class AcceptedGeneration(NamedTuple):
    """The generation of an accepted note, and the time of the answer."""

    generation: int
    when: float


class GenerationTracker:
    """Tracks the generation of every process after each event."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.accepted: list[AcceptedGeneration] = []
        self.in_force: dict[int, float] = {}
        self.reversions = 0
        self.served_older = 0
        self.refusals: dict[str, int] = {}
        self._seen: dict[str, int] = {}
        self._deliver = cluster.deliver
        cluster.deliver = self.deliver  # type: ignore[method-assign]

    def deliver(self, process: Process, event: Any) -> None:
        """Deliver an event, then record the generation of the process."""
        self._deliver(process, event)
        state = process.node.state
        key = f'{process.name}/{state.uid.incarnation}'
        generation = state.config['generation']
        seen = self._seen.get(key, 0)
        if generation < seen:
            self.reversions += 1
        if generation > seen:
            self._seen[key] = generation
            self._note_progress()

    def note_answered(self, ask: Ask) -> None:
        """Record the answer to a note."""
        if ask.status != 200:
            reason = ask.answer['reason'] if ask.answer else 'cut'
            self.refusals[reason] = self.refusals.get(reason, 0) + 1
        elif ask.answer['state'] == 'accepted':
            generation = ask.answer['generation']
            self.accepted.append(AcceptedGeneration(generation, ask.answered))

    def delays(self) -> list[float]:
        """Return the time until each accepted note was in force everywhere."""
        end = self.cluster.now
        return [
            max(0.0, self.in_force.get(generation, end + DAY_S) - when)
            for generation, when in self.accepted
        ]

    def _note_progress(self) -> None:
        lowest = min(
            process.node.state.config['generation']
            for process in self.cluster.processes.values()
            if process.alive and not process.paused
        )
        for generation in range(lowest, 0, -1):
            if generation in self.in_force:
                return
            self.in_force[generation] = self.cluster.now


def _peer_message_bytes(message: Any) -> int:
    if message['kind'] in LOCAL_KINDS:
        return 0
    return len(msgspec.msgpack.encode(message))


def start_fleet(vms: int, seed: int) -> tuple[Cluster, GenerationTracker]:
    """Return a cluster with its first configuration, and its tracker."""
    cluster = Cluster(
        vm_settings(HALVORSEN, vms),
        config_of(HALVORSEN),
        seed,
        size_of=_peer_message_bytes,
    )
    tracker = GenerationTracker(cluster)
    cluster.run(SETTLE_S)
    cluster.ask(
        'vm-000',
        'note',
        note_of(HALVORSEN),
        role='agent',
        on_answer=tracker.note_answered,
    )
    cluster.run(SETTLE_S)
    return cluster, tracker


def _make_note(number: int, base: int, rng: Random) -> ReleaseNote:
    domain = rng.choice(HALVORSEN.domains)
    state: Any = rng.choice(['in', 'out'])
    return ReleaseNote(
        note=f'bench-{number}',
        format=1,
        base=base,
        changed={
            'domains': {domain: {'state': state}},
            'tenants': {'default': {'weight': 1 + number % 50}},
        },
    )


def submit(
    cluster: Cluster,
    tracker: GenerationTracker,
    number: int,
    rng: Random,
) -> None:
    """Submit a note at a random VM, based on the newest generation."""
    alive = [
        process
        for process in cluster.processes.values()
        if process.name.endswith('/agent') and process.alive
    ]
    process = rng.choice(alive)
    base = max(each.node.state.config['generation'] for each in alive)
    cluster.ask(
        process.settings['vm'],
        'note',
        _make_note(number, base, rng),
        role='agent',
        on_answer=tracker.note_answered,
    )

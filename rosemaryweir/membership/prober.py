"""Probes of peers: their order, their timeouts, and suspicion of peers."""

import math
from collections.abc import Collection, Iterable, Iterator
from random import Random
from typing import NamedTuple

from rosemaryweir.schema.generated.control import Member

__all__ = ['OverdueProbe', 'Prober', 'RandomRotation', 'suspicion_time']

#: Wait for a direct answer before other VMs are asked to probe, in seconds.
DIRECT_PROBE_TIMEOUT_S = 0.2

#: Wait for any answer before a VM is suspected, in seconds.
PROBE_TIMEOUT_S = 0.6

#: Duration of a suspicion per tenfold of the fleet size, in seconds.
SUSPICION_S_PER_TENFOLD = 1.0

#: Interval between two checks that shows this process was paused, in seconds.
PAUSE_THRESHOLD_S = 0.4


def suspicion_time(size: int) -> float:
    """Return how long a VM is suspected before it counts as dead, in seconds.

    Examples
    --------
    >>> [round(suspicion_time(size), 1) for size in (9, 90, 900)]
    [1.0, 2.0, 3.0]
    """
    return SUSPICION_S_PER_TENFOLD * max(1.0, math.log10(size + 1))


class RandomRotation:
    """Iterates over a changing set of names, in a new order each round."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._order: list[str] = []

    def next(self, names: Collection[str]) -> str | None:
        """Return the next name, or None when there is none."""
        while self._order:
            name = self._order.pop()
            if name in names:
                return name
        if not names:
            return None
        self._order = sorted(names)
        self._rng.shuffle(self._order)
        return self._order.pop()


class OverdueProbe(NamedTuple):
    """A probe past a timeout: suspect its VM, or only ask helpers."""

    vm: str
    suspect: bool


class Probe(NamedTuple):
    """A probe that awaits an answer."""

    vm: str
    sent: float
    helpers_asked: bool = False
    on_behalf: bool = False


class Prober:
    """Open probes, by sequence number."""

    def __init__(self) -> None:
        self._sequence = 0
        self._probes: dict[int, Probe] = {}
        self._due = 0.0

    def start(self, member: Member, now: float, on_behalf: bool = False) -> int:
        """Register a probe; return its sequence number.

        A probe on behalf of another VM is dropped when it times out: it
        asks no helpers and raises no suspicion.
        """
        self._sequence += 1
        probe = Probe(member['vm'], now, on_behalf=on_behalf)
        self._probes[self._sequence] = probe
        return self._sequence

    def record_answer(self, vm: str, sequence: int) -> float | None:
        """Record an answer; return when its probe was sent.

        All earlier probes of that VM count as answered, too.
        """
        probe = self._probes.get(sequence)
        if probe is None or probe.vm != vm:
            return None
        self._drop(
            number
            for number, other in self._probes.items()
            if other.vm == vm and other.sent <= probe.sent
        )
        return probe.sent

    def cancel_probes(self, vm: str) -> None:
        """Drop the probes of a VM that has answered a helper."""
        self._drop(
            number for number, probe in self._probes.items() if probe.vm == vm
        )

    def overdue(self, now: float) -> Iterator[OverdueProbe]:
        """Yield the probes that have passed a timeout, once per timeout.

        After a pause of this process nothing is yielded, as the answers may
        still be in the receive queue.
        """
        late = now > self._due + PAUSE_THRESHOLD_S and self._due
        self._due = now
        if late:
            self._probes.clear()
            return
        for number, probe in tuple(self._probes.items()):
            waited = now - probe.sent
            if waited >= PROBE_TIMEOUT_S:
                self._probes.pop(number)
                if not probe.on_behalf:
                    yield OverdueProbe(probe.vm, suspect=True)
            elif waited >= DIRECT_PROBE_TIMEOUT_S and not (
                probe.helpers_asked or probe.on_behalf
            ):
                self._probes[number] = probe._replace(helpers_asked=True)
                yield OverdueProbe(probe.vm, suspect=False)

    def _drop(self, numbers: Iterable[int]) -> None:
        for number in tuple(numbers):
            self._probes.pop(number)

"""Checks of a graceful shutdown by what callers and the directory saw."""

from collections.abc import Iterator

from benchmarks.faults.checks import Violation, promise
from benchmarks.faults.world import DIRECTORY_S, HTTP_OK, MS_PER_S, World
from rosemaryweir.testing import Ask

__all__ = ['graceful']

#: Time within which no VM names one that leaves, in seconds: a heartbeat and
#: a grant if no fault keeps the word from spreading.
UNNAMED_S = 3.5
AT_ONCE_S = 1.0
HINDERING = frozenset(
    (
        'VM killed',
        'failure domain lost and returning',
        'failure domains cut from each other',
        'lease lapsed while paused',
        'messages lost',
        'network between VMs lost',
        'process paused',
    ),
)
#: Share of the requests elsewhere that shows that faults spare them.
MOST = 0.9
#: Requests that tell whether a VM serves at all.
ENOUGH = 5


@promise('P9 graceful shutdown')
def graceful(world: World) -> Iterator[Violation]:
    """Check that a VM that leaves serves on, cuts nothing, exits with 0."""
    for vm, left in world.left.items():
        # One that was killed starts anew, and may be named.
        if vm in world.killed_vms():
            continue
        yield from _still_named(world, vm, left)
        yield from _bad_exits(world, vm)
        for ask in world.cluster.asks:
            if ask.vm == vm and ask.cut:
                yield f'{ask.topic} asked of {vm} at {ask.asked:.2f} was cut'
        if vm not in world.paused_vms():
            yield from _unserved(world, vm, left)


def _still_named(world: World, vm: str, left: float) -> Iterator[Violation]:
    """Look for answers of the directory that name the VM too late."""
    hindered = HINDERING.intersection(world.faults)
    elsewhere = UNNAMED_S if hindered else AT_ONCE_S
    for ask in world.directory:
        bound = AT_ONCE_S if ask.vm == vm else elsewhere
        # A process that was paused answers late what it was asked early.
        late = ask.asked > left + bound and ask.vm not in world.paused_vms()
        if late and vm in _named(ask):
            yield f'{ask.vm} named {vm} at {ask.answered:.2f}, left {left:.2f}'


def _bad_exits(world: World, vm: str) -> Iterator[Violation]:
    for process in world.cluster.processes.values():
        if process.name.startswith(f'{vm}/') and process.exit_code != 0:
            yield f'{process.name} exit {process.exit_code}'
    exited = world.exits.get(f'{vm}/entry', float('inf'))
    expiries = [
        ask.answered + ask.answer['ttl_ms'] / MS_PER_S
        for ask in world.directory
        if vm in _named(ask)
    ]
    until = max([world.left[vm] + DIRECTORY_S, *expiries])
    if until > exited:
        yield f'{vm} named until {until:.2f}, exit at {exited:.2f}'


def _unserved(world: World, vm: str, left: float) -> Iterator[Violation]:
    """Look for requests that the VM takes and does not serve."""
    exited = world.exits.get(f'{vm}/entry', float('inf'))
    asked = [ask for ask in world.cluster.asks if left < ask.asked < exited]
    here = [_served(ask) for ask in asked if ask.vm == vm]
    others = [_served(ask) for ask in asked if ask.vm != vm]
    if not world.faults and not all(here):
        yield f'{vm} served {sum(here)} of {len(here)} without a fault'
    elif len(here) >= ENOUGH and not any(here):
        if sum(others) >= len(others) * MOST:
            yield f'{vm} served none of {len(here)}'


def _served(ask: Ask) -> bool:
    """Return whether a request got what was asked for."""
    answered = ask.status == HTTP_OK
    return answered and ask.answer.get('outcome') != 'unknown'


def _named(ask: Ask) -> set[str]:
    if ask.status != HTTP_OK:
        return set()
    return {entry['vm'] for entry in ask.answer['use']}

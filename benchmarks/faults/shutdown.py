"""Check of graceful shutdowns: P9."""

from collections.abc import Iterator

from benchmarks.faults.checks import Violation, promise
from benchmarks.faults.scenario import (
    DIRECTORY_TTL_S,
    HTTP_OK,
    MS_PER_S,
    FaultScenario,
)
from rosemaryweir.testing import Ask

__all__ = ['check_shutdown']

#: Time after which no other VM's directory lists one that shuts down, if a
#: fault delays the news: it takes a heartbeat and a grant.
DELISTING_S = 3.5
#: The same without such a fault, and for the VM itself.
PROMPT_DELISTING_S = 1.0
#: Faults that delay or stop the news of a shutdown.
DELISTING_FAULTS = frozenset(
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
#: Share of requests served by the other VMs from which on faults do not
#: excuse a VM that serves none.
MIN_SERVED_SHARE = 0.9
#: Fewest requests at a VM that tell whether it serves any.
MIN_REQUESTS = 5


@promise('P9 graceful shutdown')
def check_shutdown(scenario: FaultScenario) -> Iterator[Violation]:
    """Check that a VM in shutdown serves, cuts no call and exits with 0."""
    for vm, left in scenario.shutdown_times.items():
        # A killed VM is started again and may be listed.
        if vm in scenario.killed_vms():
            continue
        yield from _listed_too_late(scenario, vm, left)
        yield from _bad_exits(scenario, vm)
        for ask in scenario.cluster.asks:
            if ask.vm == vm and ask.cut:
                yield f'{ask.topic} asked of {vm} at {ask.asked:.2f} was cut'
        if vm not in scenario.paused_vms():
            yield from _unserved(scenario, vm, left)


def _listed_too_late(
    scenario: FaultScenario, vm: str, left: float
) -> Iterator[Violation]:
    """Yield the directory answers that list the VM too late."""
    disturbed = DELISTING_FAULTS.intersection(scenario.faults)
    elsewhere = DELISTING_S if disturbed else PROMPT_DELISTING_S
    for ask in scenario.directory_calls:
        bound = PROMPT_DELISTING_S if ask.vm == vm else elsewhere
        # A process that was paused answers earlier calls late.
        late = ask.asked > left + bound and ask.vm not in scenario.paused_vms()
        if late and vm in _listed_vms(ask):
            yield f'{ask.vm} named {vm} at {ask.answered:.2f}, left {left:.2f}'


def _bad_exits(scenario: FaultScenario, vm: str) -> Iterator[Violation]:
    for process in scenario.cluster.processes.values():
        if process.name.startswith(f'{vm}/') and process.exit_code != 0:
            yield f'{process.name} exit {process.exit_code}'
    exited = scenario.exit_times.get(f'{vm}/entry', float('inf'))
    expiries = [
        ask.answered + ask.answer['ttl_ms'] / MS_PER_S
        for ask in scenario.directory_calls
        if vm in _listed_vms(ask)
    ]
    listed_until = max(
        [scenario.shutdown_times[vm] + DIRECTORY_TTL_S, *expiries]
    )
    if listed_until > exited:
        yield f'{vm} named until {listed_until:.2f}, exit at {exited:.2f}'


def _unserved(
    scenario: FaultScenario, vm: str, left: float
) -> Iterator[Violation]:
    """Yield a violation if the VM takes requests without serving them."""
    exited = scenario.exit_times.get(f'{vm}/entry', float('inf'))
    asked = [ask for ask in scenario.cluster.asks if left < ask.asked < exited]
    here = [_served(ask) for ask in asked if ask.vm == vm]
    others = [_served(ask) for ask in asked if ask.vm != vm]
    if not scenario.faults and not all(here):
        yield f'{vm} served {sum(here)} of {len(here)} without a fault'
    elif len(here) >= MIN_REQUESTS and not any(here):
        if sum(others) >= len(others) * MIN_SERVED_SHARE:
            yield f'{vm} served none of {len(here)}'


def _served(ask: Ask) -> bool:
    """Return whether a request was answered with a known outcome."""
    answered = ask.status == HTTP_OK
    return answered and ask.answer.get('outcome') != 'unknown'


def _listed_vms(ask: Ask) -> set[str]:
    if ask.status != HTTP_OK:
        return set()
    return {entry['vm'] for entry in ask.answer['use']}

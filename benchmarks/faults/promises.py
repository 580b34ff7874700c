"""Checks of the promises on snapshots, coverage, targets and configuration.

Checks use only what the fakes recorded, never the state of a node.
"""

from collections.abc import Iterator

from benchmarks.faults import answer_checks, shutdown
from benchmarks.faults.checks import (
    PromiseCheck,
    Violation,
    promise,
    registered_checks,
)
from benchmarks.faults.observer import ObservedGeneration
from benchmarks.faults.scenario import FaultScenario
from rosemaryweir.testing import Ask

__all__ = ['MODULES', 'find_violations', 'promises']

# Times that the promises state.
DOMAIN_OUT_S = 3.0
DRAIN_NOTICE_S = 3.0
IN_FORCE_S = 10.0
#: Replies of a target that turned cold without a restart before overload
#: counts: the first reply shows it, and one more request may be in transit.
MAX_COLD_SIGNS = 2

#: Modules that register checks.
MODULES = (answer_checks, shutdown)


def promises() -> dict[str, PromiseCheck]:
    """Return the promise checks by the name of their promise."""
    return registered_checks()


def find_violations(scenario: FaultScenario) -> list[str]:
    """Return the violations of all promises in a scenario."""
    return [
        f'{name}: {violation}'
        for name, check in promises().items()
        for violation in check(scenario)
    ]


def _query_answers(scenario: FaultScenario) -> Iterator[Ask]:
    for ask in scenario.queries:
        if ask.answer is not None and 'coverage' in ask.answer:
            yield ask


@promise('P1 snapshot')
def check_snapshot(scenario: FaultScenario) -> Iterator[Violation]:
    """Check that all rows are from the snapshot that the answer names."""
    for ask in _query_answers(scenario):
        snapshot = ask.answer['snapshot']
        wanted = f'@{snapshot["layout"]}.{snapshot["version"]}'
        strays = [
            row['text']
            for row in ask.answer['rows']
            if not row['text'].endswith(wanted)
        ]
        if strays:
            yield f'{strays} in an answer of {wanted}'


@promise('P2 coverage')
def check_coverage(scenario: FaultScenario) -> Iterator[Violation]:
    """Check that each shard is listed once, as covered or as missing."""
    for ask in _query_answers(scenario):
        coverage = ask.answer['coverage']
        shards = [row['shard'] for row in ask.answer['rows']]
        listed = len(shards) + len(coverage['missing'])
        if len(set(shards)) != len(shards) or listed != coverage['total']:
            yield f'{coverage} for rows of {shards}'
        elif coverage['covered'] != len(shards):
            yield f'{coverage} for {len(shards)} shards'


@promise('P3 cold start')
def check_cold_limit(scenario: FaultScenario) -> Iterator[Violation]:
    """Check that no target that is known to be cold is overloaded."""
    for each in scenario.observer.received:
        if each.overloaded and each.cold_signs > MAX_COLD_SIGNS:
            signs = f'{each.cold_signs} signs'
            yield f'{each.target} overrun at {each.when:.2f}, {signs}'


@promise('P4 failure domain out')
def check_domain_out(scenario: FaultScenario) -> Iterator[Violation]:
    """Check that a withdrawn failure domain gets no work after 3 s."""
    spans = list(_domain_out_spans(scenario))
    targets = scenario.cluster.config['targets']
    for each in scenario.observer.received:
        domain = targets[each.target]['domain']
        if any(
            name == domain and begin + DOMAIN_OUT_S < each.when < end
            for name, begin, end in spans
        ):
            yield f'{each.work} at {each.target} at {each.when:.2f}'


@promise('P8 leaving target')
def check_draining_target(scenario: FaultScenario) -> Iterator[Violation]:
    """Check that a draining target gets no new work after 3 s."""
    for each in scenario.observer.received:
        if each.when - each.draining_since > DRAIN_NOTICE_S:
            yield f'{each.work} at {each.target} at {each.when:.2f}'


@promise('P10 configuration')
def check_configuration(scenario: FaultScenario) -> Iterator[Violation]:
    """Check that accepted notes are durable and in force within 10 s.

    No process returns to an older generation.
    """
    heads = scenario.accepted_notes()
    durable = {head.note for head in heads}
    for ask in scenario.notes:
        if ask.status == 200 and ask.answer['note'] not in durable:
            yield f'{ask.answer["note"]} accepted, not durable'
    generations = [head.generation for head in heads]
    if generations != sorted(set(generations)):
        yield f'generations {generations}'
    yield from _reversions(scenario.observer.observed_generations)
    for head in heads:
        for observed in scenario.observer.observed_generations:
            late = observed.when > head.when + IN_FORCE_S
            if late and observed.generation < head.generation:
                yield f'{observed} after {head}'
                break


def _reversions(
    observed_generations: list[ObservedGeneration],
) -> Iterator[Violation]:
    newest: dict[tuple[str, int], int] = {}
    for observed in observed_generations:
        sender = (observed.sender, observed.incarnation)
        if observed.generation < newest.get(sender, 0):
            yield f'{observed} after {newest[sender]}'
        newest[sender] = observed.generation


def _domain_out_spans(
    scenario: FaultScenario,
) -> Iterator[tuple[str, float, float]]:
    began: dict[str, float] = {}
    for head in scenario.accepted_notes():
        domain, state = scenario.domain_notes.get(head.note, ('', ''))
        if state == 'out':
            began[domain] = head.when
        elif state == 'in' and domain in began:
            yield domain, began.pop(domain), head.when
    for left, begin in began.items():
        yield left, begin, float('inf')

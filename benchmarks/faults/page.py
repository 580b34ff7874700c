"""Generates ``docs/FAULTS.md`` from the report of the matrix.

``python -m benchmarks matrix --json | python -m benchmarks.faults.page``
prints the page; arguments of the command become a note at its head.
"""

import json
import sys
from collections.abc import Iterator
from typing import Any

from benchmarks.faults.mutations import mutations
from benchmarks.faults.promises import promises

__all__ = ['main', 'page']

HEAD = """\
# The fault matrix

Made from the output of `python -m benchmarks matrix --json` by
`python -m benchmarks.faults.page`; do not edit. Each cell runs six VMs with
all their processes in virtual time under queries and orders, strikes when the
step is seen, and checks P1 to P10 by what targets, store, messages and
callers saw. A number counts violations; `-` means that the step was not
seen, so that nothing struck; `none` is the step without a fault.
"""


def page(report: dict[str, Any], note: tuple[str, ...] = ()) -> str:
    """Return the page for a report of the matrix, headed by a note."""
    return '\n'.join(
        (
            HEAD,
            *note,
            *_summary(report),
            '',
            *_table(report['figures']),
            '',
            *_pairs(report['figures']),
            '',
            *_failed(report['figures']),
            '',
            *_mutations(report['figures']),
        ),
    )


def _summary(report: dict[str, Any]) -> Iterator[str]:
    figures = report['figures']
    yield (
        f'Seed {report["seed"]}: {figures["cells"]} cells, '
        f'{figures["struck"]} struck, {len(figures["failed"])} with a '
        'violation.'
    )
    yield ''
    yield '| promise | violations | cells |'
    yield '|---|---|---|'
    for name in promises():
        count = figures['violations'].get(name, 0)
        cells = figures['cells_violated'].get(name, 0)
        yield f'| {name} | {count} | {cells} |'


def _table(figures: dict[str, Any]) -> Iterator[str]:
    steps = figures['steps']
    marks = {
        (step, fault): str(count) if struck else '-'
        for step, fault, struck, count in figures['results']
    }
    yield '## Every fault at every step'
    yield ''
    yield f'| fault | {" | ".join(steps)} |'
    yield f'|---{"|---" * len(steps)}|'
    for fault in figures['faults']:
        row = ' | '.join(marks.get((step, fault), '') for step in steps)
        yield f'| {fault} | {row} |'


def _pairs(figures: dict[str, Any]) -> Iterator[str]:
    yield '## Pairs, together or twice'
    yield ''
    yield '| step | faults | violations |'
    yield '|---|---|---|'
    for step, fault, struck, count in figures['results']:
        if ' + ' in fault:
            mark = count if struck else '-'
            yield f'| {step} | {fault} | {mark} |'


def _failed(figures: dict[str, Any]) -> Iterator[str]:
    yield '## Violations'
    yield ''
    for each in figures['failed']:
        faults = ' + '.join(each['faults']) or 'none'
        first = each['violations'][0][:160]
        yield f'- {each["step"]}, {faults}, seed {each["seed"]}: `{first}`'


def _mutations(figures: dict[str, Any]) -> Iterator[str]:
    yield '## Mutations'
    yield ''
    yield 'Each breaks the node on purpose; the cell named must show it.'
    yield ''
    yield '| mutation | promise | step | fault | found |'
    yield '|---|---|---|---|---|'
    for name, mutant in mutations().items():
        found = 'yes' if figures['mutations'][name] else 'NO'
        yield (
            f'| {name} | {mutant.promise} | {mutant.step} '
            f'| {mutant.fault or "none"} '
            f'| {found} |'
        )


def main() -> None:
    """Read a report from standard input and print the page."""
    report = json.loads(sys.stdin.read().splitlines()[-1])
    note = (' '.join(sys.argv[1:]), '') if sys.argv[1:] else ()
    print(page(report, note))


if __name__ == '__main__':
    main()

"""Text output of responses, findings and release notes."""

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from rosemaryweir.exception import Finding
from rosemaryweir.telemetry.histogram import Bin, text_plot

__all__ = [
    'findings_lines',
    'latency_lines',
    'plan_lines',
    'plot_lines',
    'status_lines',
    'table_lines',
]

SECTION_MARKS = {'added': '+', 'changed': '~', 'withdrawn': '-'}


def findings_lines(findings: Iterable[Finding]) -> list[str]:
    """Return a line for each finding.

    Examples
    --------
    >>> findings_lines([Finding('$.base', 'is missing', 'add it')])
    ['  $.base: is missing (add it)']
    """
    return [f'  {finding}' for finding in findings]


def plan_lines(note: Mapping[str, Any]) -> Iterator[str]:
    """Yield a line for each name that a release note changes.

    Examples
    --------
    >>> list(plan_lines({'withdrawn': {'targets': ['old']}}))
    ['  - targets old']
    """
    for section, mark in SECTION_MARKS.items():
        for kind, names in sorted(note.get(section, {}).items()):
            for name in sorted(names):
                detail = _detail(section, names, name)
                yield f'  {mark} {kind} {name}{detail}'


def _detail(section: str, names: Any, name: str) -> str:
    if section != 'changed':
        return ''
    return f' {json.dumps(names[name], sort_keys=True)}'


def table_lines(rows: Iterable[Mapping[str, Any]]) -> Iterator[str]:
    """Yield a table with a heading from the keys of the first row.

    Examples
    --------
    >>> for line in table_lines([{'vm': 'a', 'state': 'serving'}]):
    ...     print(line)
    vm  state
    a   serving
    """
    text_rows = [{key: str(cell) for key, cell in row.items()} for row in rows]
    if not text_rows:
        return
    heading = {key: key for key in text_rows[0]}
    widths = {
        key: max(len(row.get(key, '')) for row in (heading, *text_rows))
        for key in heading
    }
    for row in (heading, *text_rows):
        cells = (row.get(key, '').ljust(width) for key, width in widths.items())
        yield '  '.join(cells).rstrip()


def latency_lines(latency: Mapping[str, Mapping[str, float]]) -> Iterator[str]:
    """Yield a table of the latency histograms of a status, in ms."""
    return table_lines(
        {'histogram': name, **summary} for name, summary in latency.items()
    )


def plot_lines(page: Mapping[str, Any]) -> Iterator[str]:
    """Yield a plot of each histogram of a latency response.

    Examples
    --------
    >>> page = {'vm': 'a', 'role': 'leaf', 'histograms': {'h': [[2.0, 3]]}}
    >>> for line in plot_lines(page):
    ...     print(line)
    a/leaf
    h
        2.0 ms | ######################################## 3
    """
    yield f'{page["vm"]}/{page["role"]}'
    if not page['histograms']:
        yield 'nothing recorded'
    for name, bins in page['histograms'].items():
        yield name
        yield text_plot(Bin(*each) for each in bins)


def status_lines(status: Mapping[str, Any]) -> Iterator[str]:
    """Yield the lines of the status of a process."""
    state = 'serving' if status['serving'] else status['reason'] or 'fenced'
    yield (
        f'{status["vm"]}/{status["role"]}: {state}, '
        f'generation {status["generation"]}'
    )
    yield from (f'  {line}' for line in latency_lines(status['latency_ms']))
    for part, content in status['parts'].items():
        if content:
            yield f'  {part}: {json.dumps(content, sort_keys=True)}'

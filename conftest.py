"""Expect the failures that ``KNOWN-RED.txt`` lists, and print them."""

import pathlib
from collections.abc import Iterator

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'


def _entries() -> Iterator[tuple[str, str]]:
    for line in KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith('#'):
            test, _, rest = line.partition('|')
            yield test.strip(), rest.strip()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that are listed; one that passes is a failure."""
    known = dict(_entries())
    for test in items:
        reason = known.get(test.nodeid)
        if reason is not None:
            test.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list."""
    for test, rest in _entries():
        terminalreporter.write_line(f'known red: {test} | {rest}')

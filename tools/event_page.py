"""Write ``docs/EVENTS.md`` from the catalogue of log events, or check it."""

import pathlib
import sys

from rosemaryweir import compose
from rosemaryweir.node.catalogue import catalogue

__all__ = ['main', 'page']

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'EVENTS.md'
HEADER = """\
# Catalogue of log events

Every log line carries the number and the name of its event.  This page is
made by `python -m tools.event_page` from the registry beside the code; CI
fails when it is out of date.

| number | name | level | what it means |
|---|---|---|---|
"""


def page() -> str:
    """Return the page that the registry gives."""
    compose.load_parts()
    rows = (
        f'| {kind.number} | `{kind.name}` | {kind.level} | {kind.text} |\n'
        for kind in catalogue()
    )
    return HEADER + ''.join(rows)


def main() -> int:
    """Write the page, or check it with ``--check``."""
    if '--check' in sys.argv:
        fresh = PAGE.exists() and PAGE.read_text() == page()
        print('docs/EVENTS.md is', 'fresh' if fresh else 'stale')
        return int(not fresh)
    PAGE.write_text(page())
    return 0


if __name__ == '__main__':
    sys.exit(main())

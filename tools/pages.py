"""Generates the pages of ``docs/`` that are made from code.

``python -m tools.pages`` writes them; with ``--check`` it fails if a page is
out of date.
"""

import json
import pathlib
import sys
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from rosemaryweir import compose
from rosemaryweir.daemons import process
from rosemaryweir.platform import vm
from rosemaryweir.telemetry.log_events import log_event_kinds

__all__ = ['events', 'main', 'register_page', 'settings', 'stale_pages']

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / 'docs'
SCHEMAS = ROOT / 'rosemaryweir' / 'schema'
GENERATED_NOTICE = (
    'This page is made by `python -m tools.pages`; '
    'CI fails when it is out of date.'
)

Page = Callable[[], Iterator[str]]

_PAGES: dict[str, Page] = {}


def register_page(name: str) -> Callable[[Page], Page]:
    """Return a decorator that registers the generator of ``docs/NAME.md``."""

    def decorate(function: Page) -> Page:
        _PAGES[name] = function
        return function

    return decorate


@register_page('EVENTS')
def events() -> Iterator[str]:
    """Yield the lines of the catalogue of log events."""
    compose.load_parts()
    # Importing the daemons and the VM program registers their log events.
    assert process.STARTED  # noqa: S101
    assert vm.VmProcess  # noqa: S101
    yield '# Catalogue of log events\n'
    yield 'Every log line carries the number and the name of its event.'
    yield f'{GENERATED_NOTICE}\n'
    yield '| number | name | level | what it means |'
    yield '|---|---|---|---|'
    yield from (
        f'| {kind.number} | `{kind.name}` | {kind.level} | {kind.text} |'
        for kind in log_event_kinds()
    )


@register_page('SETTINGS')
def settings() -> Iterator[str]:
    """Yield the reference of settings, configuration and release notes."""
    yield '# Settings, configuration and release notes\n'
    yield f'{GENERATED_NOTICE}\n'
    yield 'An unknown key is a finding; keys in *italics* may be left out.'
    for name in ('settings', 'config', 'note'):
        schema = json.loads((SCHEMAS / f'{name}.json').read_text())
        yield f'\n## `{name}.json`: {schema["title"]}\n'
        yield from _describe_record(schema)
        for title, record in schema['$defs'].items():
            if record.get('type') == 'object':
                yield f'\n### {title}\n'
                yield from _describe_record(record)


def _describe_record(record: Mapping[str, Any]) -> Iterator[str]:
    required = set(record.get('required', ()))
    yield f'{record.get("description", "")}\n'
    yield '| key | kind | meaning |'
    yield '|---|---|---|'
    for key, field in record['properties'].items():
        cell = f'`{key}`' if key in required else f'*{key}*'
        yield f'| {cell} | {_type_of(field)} | {field.get("description", "")} |'


def _type_of(field: Mapping[str, Any]) -> str:
    if '$ref' in field:
        return str(field['$ref'].rpartition('/')[2])
    if 'enum' in field:
        return ' or '.join(f'`{choice}`' for choice in field['enum'])
    if 'const' in field:
        return f'`{field["const"]}`'
    if field.get('type') == 'array':
        return f'list of {_type_of(field["items"])}'
    if isinstance(field.get('additionalProperties'), dict):
        return f'map of name to {_type_of(field["additionalProperties"])}'
    return str(field.get('type', 'any'))


def _render(name: str) -> str:
    return '\n'.join([*_PAGES[name](), ''])


def stale_pages() -> list[str]:
    """Return the names of the pages that are out of date."""
    return [
        name
        for name in _PAGES
        if not (DOCS / f'{name}.md').exists()
        or (DOCS / f'{name}.md').read_text() != _render(name)
    ]


def main() -> int:
    """Write every page, or check them with ``--check``."""
    if '--check' in sys.argv:
        stale = stale_pages()
        print('stale pages:', stale or 'none')
        return int(bool(stale))
    for name in _PAGES:
        (DOCS / f'{name}.md').write_text(_render(name))
    return 0


if __name__ == '__main__':
    sys.exit(main())

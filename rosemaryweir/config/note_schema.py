"""Check release notes and configurations against their JSON Schema."""

import functools
from collections.abc import Iterator
from importlib import resources
from typing import Any

import jsonschema
import msgspec

from rosemaryweir.exception import Finding

__all__ = ['json_path', 'schema_findings']

#: Maximum number of schema findings reported for one note.
MAX_FINDINGS = 50

HINTS = {
    'additionalProperties': 'unknown name: check its spelling',
    'required': 'add it',
    'pattern': 'use lower-case letters, digits, dots, dashes; address: ip:port',
    'type': 'use the type that the schema names',
    'minItems': 'name at least one',
    'minimum': 'use a larger number',
}


def schema_findings(
    document: Any,
    schema: str = 'note',
) -> Iterator[Finding]:
    """Yield the schema violations of a document, sorted by path.

    Examples
    --------
    >>> [finding.path for finding in schema_findings({'note': 1, 'base': 0})]
    ['$', '$.note']
    """
    errors = _validator(schema).iter_errors(document)
    ordered = sorted(errors, key=lambda error: json_path(error.absolute_path))
    for error in ordered[:MAX_FINDINGS]:
        yield Finding(
            json_path(error.absolute_path),
            error.message[:200],
            HINTS.get(str(error.validator), ''),
        )


def json_path(parts: Any) -> str:
    """Return the JSON path of a sequence of names and indices.

    Examples
    --------
    >>> json_path(['added', 'targets', 0])
    '$.added.targets[0]'
    """
    steps = (
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in parts
    )
    return ''.join(['$', *steps])


@functools.cache
def _validator(schema: str) -> jsonschema.Draft202012Validator:
    folder = resources.files('rosemaryweir.schema')
    content = folder.joinpath(f'{schema}.json').read_bytes()
    return jsonschema.Draft202012Validator(msgspec.json.decode(content))

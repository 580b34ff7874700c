"""Check JSON content against the schemas: all findings at once.

A schema is named by its file, ``settings``, or by a record in a file,
``http/QueryRequest``.
"""

import json
import pathlib
from collections.abc import Iterable, Iterator
from difflib import get_close_matches
from functools import cache
from itertools import chain
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from rosemaryweir.exception import Finding, InvalidInput

__all__ = ['checked', 'findings', 'schema_names']

SCHEMA_DIR = pathlib.Path(__file__).resolve().parent
#: Longest excerpt of a faulty value in a finding, in characters.
EXCERPT_LENGTH = 60
_UNKNOWN_KEY = 'additionalProperties'


def findings(schema_name: str, content: Any) -> tuple[Finding, ...]:
    """Return everything that is wrong with decoded JSON content.

    Parameters
    ----------
    schema_name : str
        Name of a schema file, or ``file/Record`` for a record in it.
    content : object
        Decoded JSON.

    Returns
    -------
    tuple of Finding
        Findings in the order of their paths; empty when all is well.

    Raises
    ------
    LookupError
        If there is no such schema.

    Examples
    --------
    >>> body = {'service': 'patrol-desk', 'qery': 'AB12 CDE'}
    >>> for finding in findings('http/QueryRequest', body):
    ...     print(finding)
    $: the key 'query' is missing (a string is needed)
    $.qery: unknown key (did you mean 'query'?)
    """
    errors = _validator(schema_name).iter_errors(content)
    return tuple(sorted(chain.from_iterable(map(_explain, errors))))


def checked(schema_name: str, text: str | bytes) -> Any:
    """Decode JSON text and check it whole.

    Raises
    ------
    InvalidInput
        With all findings, when the text is not JSON or breaks the schema.
    """
    try:
        content = json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise InvalidInput((Finding('$', f'not JSON: {exc}'),)) from exc
    found = findings(schema_name, content)
    if found:
        raise InvalidInput(found)
    return content


def schema_names() -> tuple[str, ...]:
    """Return the names of the schema files.

    Examples
    --------
    >>> 'settings' in schema_names()
    True
    """
    return tuple(sorted(path.stem for path in SCHEMA_DIR.glob('*.json')))


@cache
def _validator(schema_name: str) -> Draft202012Validator:
    file_name, _, record = schema_name.partition('/')
    if file_name not in schema_names():
        raise LookupError(schema_name)
    schema = json.loads((SCHEMA_DIR / f'{file_name}.json').read_text())
    if record:
        if record not in schema['$defs']:
            raise LookupError(schema_name)
        # The record itself, not a reference to it: checked for each request.
        schema = {**schema['$defs'][record], '$defs': schema['$defs']}
    return Draft202012Validator(schema)


def _explain(error: ValidationError) -> Iterator[Finding]:
    path = _json_path(error.absolute_path)
    if error.validator == _UNKNOWN_KEY:
        yield from _unknown_keys(path, error)
    elif error.validator == 'required':
        yield from _missing_keys(path, error)
    else:
        yield Finding(path, _problem(error), _hint(error))


def _json_path(elements: Iterable[str | int]) -> str:
    steps = (
        f'[{element}]' if isinstance(element, int) else f'.{element}'
        for element in elements
    )
    return ''.join(chain('$', steps))


def _unknown_keys(path: str, error: ValidationError) -> Iterator[Finding]:
    schema: Any = error.schema
    known = tuple(schema.get('properties', ()))
    instance: Any = error.instance
    for key in instance:
        if key not in known:
            yield Finding(f'{path}.{key}', 'unknown key', _close(key, known))


def _missing_keys(path: str, error: ValidationError) -> Iterator[Finding]:
    # jsonschema reports each missing key by itself and names it only in its
    # message.
    schema: Any = error.schema
    for key in schema['required']:
        if error.message.startswith(f'{key!r} '):
            described = schema.get('properties', {}).get(key, {})
            wanted = described.get('type', 'record')
            yield Finding(
                path,
                f'the key {key!r} is missing',
                f'{_with_article(wanted)} is needed',
            )


def _close(key: str, known: tuple[str, ...]) -> str:
    near = get_close_matches(key, known, n=2)
    if near:
        return f'did you mean {" or ".join(map(repr, near))}?'
    return f'known keys: {", ".join(sorted(known))}'


def _problem(error: ValidationError) -> str:
    shown = json.dumps(error.instance, ensure_ascii=False, default=str)
    if len(shown) > EXCERPT_LENGTH:
        shown = f'{shown[:EXCERPT_LENGTH]}...'
    return f'{shown} is not allowed here'


def _hint(error: ValidationError) -> str:
    wanted = error.validator_value
    phrases = {
        'type': f'{_with_article(wanted)} is needed',
        'enum': f'one of {", ".join(map(str, _listed(wanted)))}',
        'const': f'it must be {wanted!r}',
        'pattern': f'it must match {wanted}',
        'minimum': f'at least {wanted}',
        'maximum': f'at most {wanted}',
        'minLength': f'at least {wanted} characters',
        'maxLength': f'at most {wanted} characters',
        'minItems': f'at least {wanted} items',
    }
    return phrases.get(str(error.validator), str(error.validator))


def _listed(wanted: Any) -> Iterable[Any]:
    return wanted if isinstance(wanted, list) else (wanted,)


def _with_article(wanted: Any) -> str:
    return f'{"an" if str(wanted)[0] in "aeio" else "a"} {wanted}'

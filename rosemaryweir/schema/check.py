"""Validate JSON content against the schemas and report all findings.

A schema is named by its file, such as ``settings``, or by a record in a file,
such as ``http/QueryRequest``.
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
#: Maximum length of the excerpt of an invalid value, in characters.
MAX_EXCERPT_LENGTH = 60
_UNKNOWN_KEY = 'additionalProperties'


def findings(schema_name: str, content: Any) -> tuple[Finding, ...]:
    """Return all problems of decoded JSON content.

    Parameters
    ----------
    schema_name : str
        Name of a schema file, or ``file/Record`` for a record in it.
    content : object
        Decoded JSON.

    Returns
    -------
    tuple of Finding
        Findings in the order of their paths; empty for valid content.

    Raises
    ------
    LookupError
        If there is no schema of that name.

    Examples
    --------
    >>> body = {'service': 'patrol-desk', 'qery': 'AB12 CDE'}
    >>> for finding in findings('http/QueryRequest', body):
    ...     print(finding)
    $: the key 'query' is missing (a string is needed)
    $.qery: unknown key (did you mean 'query'?)
    """
    errors = _validator(schema_name).iter_errors(content)
    return tuple(sorted(chain.from_iterable(map(_findings_of, errors))))


def checked(schema_name: str, text: str | bytes) -> Any:
    """Decode JSON text, validate it and return its content.

    Raises
    ------
    InvalidInput
        If the text is not JSON or violates the schema; has all findings.
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
        # The definition itself, not a reference to it, which would have to be
        # resolved again for each request.
        schema = {**schema['$defs'][record], '$defs': schema['$defs']}
    return Draft202012Validator(schema)


def _findings_of(error: ValidationError) -> Iterator[Finding]:
    path = _json_path(error.absolute_path)
    if error.validator == _UNKNOWN_KEY:
        yield from _unknown_key_findings(path, error)
    elif error.validator == 'required':
        yield from _missing_key_findings(path, error)
    else:
        yield Finding(path, _problem(error), _hint(error))


def _json_path(keys: Iterable[str | int]) -> str:
    steps = (f'[{key}]' if isinstance(key, int) else f'.{key}' for key in keys)
    return ''.join(chain('$', steps))


def _unknown_key_findings(
    path: str, error: ValidationError
) -> Iterator[Finding]:
    schema: Any = error.schema
    known = tuple(schema.get('properties', ()))
    instance: Any = error.instance
    for key in instance:
        if key not in known:
            yield Finding(
                f'{path}.{key}', 'unknown key', _suggest_keys(key, known)
            )


def _missing_key_findings(
    path: str, error: ValidationError
) -> Iterator[Finding]:
    # jsonschema reports one error for each missing key and names the key only
    # in the message.
    schema: Any = error.schema
    for key in schema['required']:
        if error.message.startswith(f'{key!r} '):
            definition = schema.get('properties', {}).get(key, {})
            expected = definition.get('type', 'record')
            yield Finding(
                path,
                f'the key {key!r} is missing',
                f'{_with_article(expected)} is needed',
            )


def _suggest_keys(key: str, known: tuple[str, ...]) -> str:
    matches = get_close_matches(key, known, n=2)
    if matches:
        return f'did you mean {" or ".join(map(repr, matches))}?'
    return f'known keys: {", ".join(sorted(known))}'


def _problem(error: ValidationError) -> str:
    excerpt = json.dumps(error.instance, ensure_ascii=False, default=str)
    if len(excerpt) > MAX_EXCERPT_LENGTH:
        excerpt = f'{excerpt[:MAX_EXCERPT_LENGTH]}...'
    return f'{excerpt} is not allowed here'


def _hint(error: ValidationError) -> str:
    expected = error.validator_value
    phrases = {
        'type': f'{_with_article(expected)} is needed',
        'enum': f'one of {", ".join(map(str, _as_iterable(expected)))}',
        'const': f'it must be {expected!r}',
        'pattern': f'it must match {expected}',
        'minimum': f'at least {expected}',
        'maximum': f'at most {expected}',
        'minLength': f'at least {expected} characters',
        'maxLength': f'at most {expected} characters',
        'minItems': f'at least {expected} items',
    }
    return phrases.get(str(error.validator), str(error.validator))


def _as_iterable(expected: Any) -> Iterable[Any]:
    return expected if isinstance(expected, list) else (expected,)


def _with_article(expected: Any) -> str:
    return f'{"an" if str(expected)[0] in "aeio" else "a"} {expected}'

"""Check release notes, list their changes and apply them.

All functions are pure.  A note is checked against its schema, against the
configuration that it is based on, and against the resulting configuration.
Each check reports all its findings; a later check runs only if the earlier
ones found nothing.
"""

from collections.abc import Iterator, Mapping
from typing import Any, cast

import msgspec
from returns.result import Failure, Result, Success

from rosemaryweir.config.delta import SECTION_TYPES
from rosemaryweir.config.note_schema import schema_findings
from rosemaryweir.config.references import reference_findings
from rosemaryweir.exception import Finding, InvalidInput
from rosemaryweir.node.state import CONFIG_FORMAT
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.schema.generated.note import ReleaseNote

__all__ = [
    'SECTIONS',
    'apply',
    'check',
    'plan',
    'touched_paths',
    'withdrawn_domains',
]

#: Sections of a configuration that notes can change.
SECTIONS = tuple(SECTION_TYPES)

Findings = tuple[Finding, ...]


def check(
    note: Mapping[str, Any],
    config: Config,
) -> Result[ReleaseNote, Findings]:
    """Check a note against the configuration in force.

    Parameters
    ----------
    note : mapping
        The note as received from the operator.
    config : Config
        The configuration in force.

    Returns
    -------
    Result
        The note, or the findings about it.

    Notes
    -----
    A note in a newer format is refused with that single finding: this release
    does not know the format, so other findings would be meaningless.
    """
    newer = tuple(_format_findings(note))
    if newer:
        return Failure(newer)
    found = tuple(schema_findings(note))
    if found:
        return Failure(found)
    typed = cast(ReleaseNote, note)
    found = (
        *_base_findings(typed, config),
        *_name_findings(typed, config),
    )
    if not found:
        found = tuple(_type_findings(typed, config))
    if not found:
        found = tuple(reference_findings(_merge(typed, config), config))
    return Failure(found) if found else Success(typed)


def apply(note: ReleaseNote, config: Config) -> Config:
    """Return the configuration that results from applying a note.

    Raises
    ------
    InvalidInput
        If the note does not pass `check` against that configuration.

    See Also
    --------
    check : returns the findings instead of raising an exception.
    """
    checked = check(note, config)
    if isinstance(checked, Failure):
        raise InvalidInput(checked.failure())
    return _merge(note, config)


def plan(note: ReleaseNote, config: Config) -> list[str]:
    """Return the changes that a note would make, one line each.

    Examples
    --------
    >>> from rosemaryweir.node.state import empty_config
    >>> plan(
    ...     {
    ...         'note': 'n-1',
    ...         'format': 1,
    ...         'base': 0,
    ...         'added': {'domains': {'a': {'region': 'r', 'state': 'in'}}},
    ...     },
    ...     empty_config(),
    ... )
    ['add domains.a']
    """
    return [
        *(f'add {path}' for path in _paths(note.get('added', {}))),
        *_changes(note, config),
        *(f'withdraw {path}' for path in _paths(note.get('withdrawn', {}))),
    ]


def touched_paths(note: ReleaseNote) -> list[str]:
    """Return the paths that a note adds, changes or withdraws."""
    return [
        path
        for part in ('added', 'changed', 'withdrawn')
        for path in _paths(cast(Mapping[str, Any], note.get(part, {})))
    ]


def withdrawn_domains(note: ReleaseNote) -> list[str]:
    """Return the failure domains that a note withdraws or sets to ``out``."""
    changed = note.get('changed', {}).get('domains', {})
    domains_out = [
        name for name, change in changed.items() if change.get('state') == 'out'
    ]
    withdrawn = note.get('withdrawn', {}).get('domains', [])
    return sorted({*domains_out, *withdrawn})


def _type_findings(note: ReleaseNote, config: Config) -> Iterator[Finding]:
    """Yield findings about records that the typed decoder would refuse.

    JSON Schema accepts 1.0 as an integer; the typed decoder does not.
    """
    for section, record_type in SECTION_TYPES.items():
        known: Mapping[str, Any] = config[section]  # type: ignore[literal-required]
        for part in ('added', 'changed'):
            for name, record in _section(note, part, section).items():
                full_record = {**known.get(name, {}), **record}
                path = f'$.{part}.{section}.{name}'
                yield from _record_findings(path, full_record, record_type)


def _record_findings(
    path: str,
    record: Any,
    record_type: Any,
) -> Iterator[Finding]:
    try:
        _recode(record, record_type)
    except msgspec.ValidationError as exc:
        yield Finding(path, str(exc), 'use the type that the schema names')


def _merge(note: ReleaseNote, config: Config) -> Config:
    """Apply a checked note; unchanged records are shared with `config`."""
    merged = cast(dict[str, Any], dict(config))
    merged.update(
        generation=config['generation'] + 1,
        note=note['note'],
        format=note['format'],
    )
    for section, record_type in SECTION_TYPES.items():
        records = dict(merged[section])
        for name in _section(note, 'withdrawn', section):
            records.pop(name)
        for name, change in _section(note, 'changed', section).items():
            records[name] = _recode({**records[name], **change}, record_type)
        for name, record in _section(note, 'added', section).items():
            records[name] = _recode(record, record_type)
        merged[section] = records
    return cast(Config, merged)


def _recode(record: Any, record_type: Any) -> Any:
    """Return a record as it is after encoding and decoding as JSON."""
    return msgspec.json.decode(msgspec.json.encode(record), type=record_type)


def _section(note: ReleaseNote, part: str, section: str) -> Any:
    empty: Any = [] if part == 'withdrawn' else {}
    return cast(Mapping[str, Any], note).get(part, {}).get(section, empty)


def _paths(part: Mapping[str, Any]) -> Iterator[str]:
    return (f'{section}.{name}' for section in part for name in part[section])


def _changes(note: ReleaseNote, config: Config) -> Iterator[str]:
    for section in SECTIONS:
        records: Mapping[str, Any] = config[section]  # type: ignore[literal-required]
        for name, change in _section(note, 'changed', section).items():
            before = records[name]
            yield from (
                f'change {section}.{name}.{field}: '
                f'{_format_field(before.get(field))} -> {_format_field(after)}'
                for field, after in change.items()
                if before.get(field) != after
            )


def _format_field(field: Any) -> str:
    if isinstance(field, Mapping):
        return f'{len(field)} entries'
    return 'unset' if field is None else str(field)


def _format_findings(note: Mapping[str, Any]) -> Iterator[Finding]:
    version = note.get('format') if isinstance(note, Mapping) else None
    if isinstance(version, int) and version > CONFIG_FORMAT:
        yield Finding(
            '$.format',
            f'format {version} is newer than {CONFIG_FORMAT}',
            'update every VM before using this format; nothing was applied',
        )


def _base_findings(note: ReleaseNote, config: Config) -> Iterator[Finding]:
    if note['base'] != config['generation']:
        yield Finding(
            '$.base',
            f'base {note["base"]} is not the generation in force, '
            f'{config["generation"]}',
            'write the note against the generation in force',
        )


def _name_findings(note: ReleaseNote, config: Config) -> Iterator[Finding]:
    for section in SECTIONS:
        known = set(config[section])  # type: ignore[literal-required]
        added = set(_section(note, 'added', section))
        changed = set(_section(note, 'changed', section))
        withdrawn = set(_section(note, 'withdrawn', section))
        for name in sorted(added & known):
            yield Finding(
                f'$.added.{section}.{name}',
                'already exists',
                'change it instead',
            )
        for part, names in (('changed', changed), ('withdrawn', withdrawn)):
            for name in sorted(names - known):
                yield Finding(
                    f'$.{part}.{section}.{name}',
                    'does not exist',
                    f'existing names: {", ".join(sorted(known)[:5]) or "none"}',
                )
        for name in sorted(withdrawn & (changed | added)):
            yield Finding(
                f'$.withdrawn.{section}.{name}',
                'is added or changed by the same note',
                'remove one of the two',
            )

"""Make and apply deltas between consecutive generations of a configuration.

A delta holds, by section and record name, a JSON merge patch (RFC 7396) of
the record, or null if the record is removed.  Configurations themselves hold
no null.

The digest in a delta is derived from the sum of the hashes of all records.
It can be updated from the previous sum and the changed records, so neither
making nor checking a delta reads the whole configuration.
"""

from collections.abc import Iterable, Iterator, Mapping
from functools import partial
from typing import Any, NamedTuple, cast

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from rosemaryweir.schema.generated.config import (
    ClassPolicy,
    Config,
    Domain,
    Service,
    Target,
    Tenant,
)
from rosemaryweir.schema.generated.control import Delta

__all__ = [
    'SECTION_TYPES',
    'HashedConfig',
    'apply_delta',
    'apply_deltas',
    'hash_config',
    'make_delta',
]

#: Record type of each section.
SECTION_TYPES: Mapping[str, Any] = {
    'services': Service,
    'targets': Target,
    'domains': Domain,
    'classes': ClassPolicy,
    'tenants': Tenant,
}

#: Number of bits of a digest; sums of hashes are modulo two to this power.
DIGEST_BITS = 128

_MODULUS = 1 << DIGEST_BITS
_ENCODER = msgspec.json.Encoder(order='sorted')
_CHANGES_DECODER = msgspec.json.Decoder(dict[str, dict[str, Any]])


class HashedConfig(NamedTuple):
    """A configuration and the sum of the hashes of its records."""

    config: Config
    record_sum: int

    @property
    def digest(self) -> str:
        """Digest of the records, the generation, the note and the format."""
        config = self.config
        head = [config['generation'], config['note'], config['format']]
        return _format_digest(self.record_sum + _hash_int(head))


def hash_config(config: Config) -> HashedConfig:
    """Hash all records of a configuration; reads the whole of it.

    Examples
    --------
    >>> from rosemaryweir.node.state import empty_config
    >>> first = empty_config()
    >>> second = {**first, 'tenants': {'a': {'weight': 1}}}
    >>> hash_config(first).digest == hash_config(second).digest
    False
    """
    record_sum = sum(
        _hash_record(section, name, record)
        for section in SECTION_TYPES
        for name, record in _records(config, section).items()
    )
    return HashedConfig(config, record_sum % _MODULUS)


def make_delta(before: Config, result: HashedConfig) -> Delta:
    """Return the delta from one configuration to another.

    Examples
    --------
    >>> from rosemaryweir.node.state import empty_config
    >>> first = empty_config()
    >>> tenants = {'a': {'weight': 1}}
    >>> second = {**first, 'generation': 1, 'tenants': tenants}
    >>> make_delta(first, hash_config(second))['changes']
    '{"tenants":{"a":{"weight":1}}}'
    >>> third = {**first, 'generation': 2}
    >>> make_delta(second, hash_config(third))['changes']
    '{"tenants":{"a":null}}'
    """
    after = result.config
    changes = {
        section: _make_patch(
            _records(before, section),
            _records(after, section),
        )
        for section in SECTION_TYPES
    }
    return Delta(
        generation=after['generation'],
        note=after['note'],
        format=after['format'],
        digest=result.digest,
        changes=_ENCODER.encode(_without_empty(changes)).decode(),
    )


def apply_delta(
    delta: Delta,
    hashed: HashedConfig,
) -> Result[HashedConfig, str]:
    """Apply a delta to a configuration.

    Parameters
    ----------
    delta : Delta
        Change to the next generation.
    hashed : HashedConfig
        The configuration that it is applied to; not modified.

    Returns
    -------
    Result
        The next generation, or why the delta is refused: ``missing link``
        (it is not for the next generation), ``unreadable`` or ``digest``
        (the result has another digest).
    """
    if delta['generation'] != hashed.config['generation'] + 1:
        return Failure('missing link')
    try:
        result = _apply(delta, hashed)
    except (msgspec.MsgspecError, LookupError):
        return Failure('unreadable')
    if result.digest != delta['digest']:
        return Failure('digest')
    return Success(result)


def apply_deltas(
    deltas: Iterable[Delta],
    hashed: HashedConfig,
) -> Result[HashedConfig, str]:
    """Apply a chain of deltas to a configuration, all or none.

    Deltas up to the generation of the configuration are skipped.
    """
    generation = hashed.config['generation']
    result: Result[HashedConfig, str] = Success(hashed)
    for delta in deltas:
        if delta['generation'] > generation:
            result = result.bind(partial(apply_delta, delta))
    return result


def _apply(delta: Delta, hashed: HashedConfig) -> HashedConfig:
    result = cast(dict[str, Any], dict(hashed.config))
    result.update(
        generation=delta['generation'],
        note=delta['note'],
        format=delta['format'],
    )
    record_sum = hashed.record_sum
    for section, patches in _CHANGES_DECODER.decode(delta['changes']).items():
        record_type = SECTION_TYPES[section]
        before = _records(hashed.config, section)
        after = dict(before)
        for name, patch in patches.items():
            _merge_record(record_type, after, name, patch)
            record_sum += _sum_change(section, name, before, after)
        result[section] = after
    return HashedConfig(cast(Config, result), record_sum % _MODULUS)


def _merge_record(
    record_type: Any,
    records: dict[str, Any],
    name: str,
    patch: Any,
) -> None:
    if patch is None:
        records.pop(name)
        return
    merged = _merge_patch(records.get(name), patch)
    records[name] = msgspec.convert(merged, record_type)


def _sum_change(
    section: str,
    name: str,
    before: Mapping[str, Any],
    after: Mapping[str, Any],
) -> int:
    change = 0
    if name in after:
        change += _hash_record(section, name, after[name])
    if name in before:
        change -= _hash_record(section, name, before[name])
    return change


def _merge_patch(before: Any, patch: Any) -> Any:
    if not isinstance(patch, Mapping):
        return patch
    merged = dict(before) if isinstance(before, Mapping) else {}
    for name, part in patch.items():
        if part is None:
            merged.pop(name, None)
        else:
            merged[name] = _merge_patch(merged.get(name), part)
    return merged


def _make_patch(
    before: Mapping[str, Any],
    after: Mapping[str, Any],
) -> dict[str, Any]:
    return dict(_patch_entries(before, after))


def _patch_entries(
    before: Mapping[str, Any],
    after: Mapping[str, Any],
) -> Iterator[tuple[str, Any]]:
    if before is after:
        return
    for removed in before.keys() - after.keys():
        yield removed, None
    for name, part in after.items():
        known = before.get(name)
        if known is part or known == part:
            continue
        both = isinstance(known, Mapping) and isinstance(part, Mapping)
        yield name, _make_patch(known, part) if both else part  # type: ignore[arg-type]


def _without_empty(changes: Mapping[str, Any]) -> dict[str, Any]:
    return {name: patch for name, patch in changes.items() if patch}


def _records(config: Config, section: str) -> Mapping[str, Any]:
    records: Mapping[str, Any] = config[section]  # type: ignore[literal-required]
    return records


def _hash_record(section: str, name: str, record: Any) -> int:
    return _hash_int([section, name, record])


def _hash_int(parts: list[Any]) -> int:
    return xxhash.xxh3_128_intdigest(_ENCODER.encode(parts))


def _format_digest(record_sum: int) -> str:
    return f'{record_sum % _MODULUS:032x}'

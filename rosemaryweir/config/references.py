"""Check the references and cross-field rules of a configuration."""

from collections.abc import Iterator

from rosemaryweir.exception import Finding
from rosemaryweir.schema.generated.config import Config, Service

__all__ = ['reference_findings']


def reference_findings(config: Config, before: Config) -> Iterator[Finding]:
    """Yield violations of rules that a JSON Schema cannot express.

    Parameters
    ----------
    config : Config
        The configuration that results from a note.
    before : Config
        The configuration that the note is based on.
    """
    yield from _target_findings(config)
    for name, service in sorted(config['services'].items()):
        yield from _service_findings(name, service, config)
        old = before['services'].get(name)
        if old is not None:
            yield from _layout_findings(name, service, old)
    yield from _class_findings(config)


def _target_findings(config: Config) -> Iterator[Finding]:
    addresses: dict[str, str] = {}
    for name, target in sorted(config['targets'].items()):
        if target['domain'] not in config['domains']:
            yield Finding(
                f'$.targets.{name}.domain',
                f'failure domain {target["domain"]} is not configured',
                'add it, or withdraw the target too',
            )
        other = addresses.setdefault(target['address'], name)
        if other != name:
            yield Finding(
                f'$.targets.{name}.address',
                f'is also the address of target {other}',
                'limits apply per target: use one name for each address',
            )


def _service_findings(
    name: str,
    service: Service,
    config: Config,
) -> Iterator[Finding]:
    path = f'$.services.{name}'
    if not service['shards']:
        yield Finding(f'{path}.shards', 'is empty', 'name at least one shard')
    known = config['targets']
    for shard, shard_config in sorted(service['shards'].items()):
        target_names = set(shard_config['targets'])
        missing = sorted(each for each in target_names if each not in known)
        for target in missing:
            yield Finding(
                f'{path}.shards.{shard}.targets',
                f'target {target} is not configured',
                'add it, or remove it from the shard',
            )
        if len(set(shard_config['targets'])) < len(shard_config['targets']):
            yield Finding(
                f'{path}.shards.{shard}.targets',
                'lists a target more than once',
                'list each replica once',
            )
    if service['cold_slots'] > service['slots']:
        yield Finding(
            f'{path}.cold_slots',
            'is greater than slots',
            'a cold target must not get more work than a warm one',
        )


def _layout_findings(
    name: str,
    service: Service,
    old: Service,
) -> Iterator[Finding]:
    path = f'$.services.{name}.layout'
    if service['layout'] < old['layout']:
        yield Finding(
            path,
            'is lower than before',
            f'use at least {old["layout"]}',
        )
    same = set(service['shards']) == set(old['shards'])
    if not same and service['layout'] == old['layout']:
        yield Finding(
            path,
            'is unchanged although the set of shards changes',
            f'use {old["layout"] + 1}',
        )


def _class_findings(config: Config) -> Iterator[Finding]:
    for name, policy in sorted(config['classes'].items()):
        if policy['answer'] == 'early' and 'early_ms' not in policy:
            yield Finding(
                f'$.classes.{name}.early_ms',
                'is missing',
                'required for a class with answer: early',
            )
        if policy.get('early_ms', 0) > policy['deadline_ms']:
            yield Finding(
                f'$.classes.{name}.early_ms',
                'is after the deadline',
                'use a shorter time',
            )

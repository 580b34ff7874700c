"""Check, plan and apply release notes."""

import copy

import pytest
from returns.result import Failure, Success

from rosemaryweir.config.note import (
    apply,
    check,
    plan,
    touched_paths,
    withdrawn_domains,
)
from rosemaryweir.exception import InvalidInput
from rosemaryweir.node.state import empty_config
from rosemaryweir.testing.deployment import HALVORSEN, note_of

BASE = apply(note_of(HALVORSEN), empty_config())


def make_note(**parts):
    return {'note': 'n-2', 'format': 1, 'base': 1, **parts}


def changed_service(**fields):
    return {'changed': {'services': {'patrol-desk': fields}}}


INVALID_NOTES = {
    'unknown field': ({'colour': 1}, '$'),
    'newer format': ({'format': 2, 'unheard': 1}, '$.format'),
    'stale base': ({'base': 0}, '$.base'),
    'future base': ({'base': 9}, '$.base'),
    'unknown service': (
        {'changed': {'services': {'patrol': {'slots': 1}}}},
        '$.changed.services.patrol',
    ),
    'exists already': (
        {'added': {'domains': {'nordvest-a': {'region': 'r', 'state': 'in'}}}},
        '$.added.domains.nordvest-a',
    ),
    'withdrawn target still held': (
        {'withdrawn': {'targets': ['patrol-desk-000-0']}},
        '$.services.patrol-desk.shards.patrol-desk-000.targets',
    ),
    'withdrawn domain still used': (
        {'withdrawn': {'domains': ['sorkyst-a']}},
        '$.targets.artwork-vault-000-2.domain',
    ),
    'changed and withdrawn': (
        {
            **changed_service(slots=1),
            'withdrawn': {'services': ['patrol-desk']},
        },
        '$.withdrawn.services.patrol-desk',
    ),
    'no shards': (
        changed_service(shards={}, layout=2),
        '$.services.patrol-desk.shards',
    ),
    'shard without targets': (
        changed_service(shards={'s': {'targets': []}}, layout=2),
        '$.changed.services.patrol-desk.shards.s.targets',
    ),
    'shards change, layout stays': (
        changed_service(shards={'s': {'targets': ['patrol-desk-000-0']}}),
        '$.services.patrol-desk.layout',
    ),
    'cold above slots': (
        changed_service(cold_slots=9),
        '$.services.patrol-desk.cold_slots',
    ),
    'address taken': (
        {
            'changed': {
                'targets': {
                    'patrol-desk-000-0': {
                        'address': BASE['targets']['patrol-desk-000-1'][
                            'address'
                        ],
                    },
                },
            },
        },
        '$.targets.patrol-desk-000-1.address',
    ),
    'early after deadline': (
        {'changed': {'classes': {'street': {'early_ms': 900}}}},
        '$.classes.street.early_ms',
    ),
}


@pytest.mark.parametrize('case', INVALID_NOTES)
def test_invalid_note_is_refused_with_the_path(case):
    parts, path = INVALID_NOTES[case]
    before = copy.deepcopy(BASE)
    checked = check(make_note(**parts), BASE)
    assert isinstance(checked, Failure)
    assert path in [finding.path for finding in checked.failure()]
    assert before == BASE
    with pytest.raises(InvalidInput):
        apply(make_note(**parts), BASE)


def test_all_findings_are_reported_together():
    parts = {
        'changed': {'services': {'no': {'slots': 1}}, 'classes': {'no': {}}},
        'withdrawn': {'tenants': ['no']},
    }
    assert len(check(make_note(**parts), BASE).failure()) == 3


def test_newer_format_is_the_only_finding():
    findings = check(make_note(format=2, unheard={}), BASE).failure()
    assert [finding.path for finding in findings] == ['$.format']


def test_apply_changes_only_what_the_note_names():
    parts = {
        'added': {'tenants': {'clerk': {'weight': 2}}},
        'changed': {'domains': {'sorkyst-a': {'state': 'out'}}},
    }
    assert isinstance(check(make_note(**parts), BASE), Success)
    after = apply(make_note(**parts), BASE)
    assert (after['generation'], after['note']) == (2, 'n-2')
    assert after['domains']['sorkyst-a'] == {'region': 'home', 'state': 'out'}
    assert after['services'] == BASE['services']
    assert BASE['domains']['sorkyst-a']['state'] == 'in'
    assert plan(make_note(**parts), BASE) == [
        'add tenants.clerk',
        'change domains.sorkyst-a.state: in -> out',
    ]
    assert withdrawn_domains(make_note(**parts)) == ['sorkyst-a']
    assert touched_paths(make_note(**parts)) == [
        'tenants.clerk',
        'domains.sorkyst-a',
    ]


def test_domain_is_withdrawn_with_its_targets():
    targets = [
        name
        for name, target in BASE['targets'].items()
        if target['domain'] == 'sorkyst-a'
    ]
    services = copy.deepcopy(BASE['services'])
    for service in services.values():
        for shard in service['shards'].values():
            shard['targets'] = [
                name for name in shard['targets'] if name not in targets
            ]
    parts = {
        'changed': {
            'services': {
                name: {'shards': service['shards']}
                for name, service in services.items()
            },
        },
        'withdrawn': {'targets': targets, 'domains': ['sorkyst-a']},
    }
    after = apply(make_note(**parts), BASE)
    assert sorted(after['domains']) == ['midlands-b', 'nordvest-a']
    assert withdrawn_domains(make_note(**parts)) == ['sorkyst-a']

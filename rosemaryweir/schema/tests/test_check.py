"""Tests that validation reports all findings, with paths and hints."""

import pytest

from rosemaryweir.exception import InvalidInput
from rosemaryweir.schema.check import checked, findings, schema_names

SETTINGS = {
    'vm': 'vm-1',
    'domain': 'nordvest-a',
    'region': 'north',
    'addresses': {
        'entry_http': '127.0.0.1:1',
        'entry_peer': '127.0.0.1:2',
        'leaf_peer': '127.0.0.1:3',
        'agent_peer': '127.0.0.1:4',
        'agent_http': '127.0.0.1:5',
    },
    'store': '127.0.0.1:6',
}


def test_valid_settings_have_no_findings():
    assert findings('settings', SETTINGS) == ()


def test_all_faults_are_reported_at_once():
    invalid = {
        **SETTINGS,
        'store': 'localhost',
        'log_levl': 'info',
        'seeds': [{'vm': 'x', 'domain': 'y'}],
    }
    found = {item.path: item for item in findings('settings', invalid)}
    assert set(found) == {'$.store', '$.log_levl', '$.seeds[0]'}
    assert 'log_level' in found['$.log_levl'].hint
    assert 'agent_peer' in found['$.seeds[0]'].problem


def test_each_missing_key_is_one_finding():
    problems = [item.problem for item in findings('http/QueryRequest', {})]
    assert problems == [
        "the key 'query' is missing",
        "the key 'service' is missing",
    ]


@pytest.mark.parametrize('text', [b'{', b'\xff', '[' * 100000, b''])
def test_text_that_is_not_json_is_a_finding(text):
    with pytest.raises(InvalidInput) as caught:
        checked('settings', text)
    assert caught.value.findings[0].path == '$'


def test_unknown_schema_raises():
    with pytest.raises(LookupError):
        findings('nothing', {})
    with pytest.raises(LookupError):
        findings('http/Nothing', {})


def test_every_schema_compiles():
    for name in schema_names():
        assert isinstance(findings(name, 5), tuple)

"""Tests that settings are read, and that all errors are reported at once."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemaryweir.exception import InvalidInput
from rosemaryweir.platform.settings import parse_settings, read_settings

SETTINGS_TEXT = """
node_name=vm-1
zone=d0
ip=127.0.0.1
listen_addrs.front=127.0.0.1:8226
listen_addrs.ready=127.0.0.1:8227
listen_addrs.directory=127.0.0.1:8225
internal_ports=7740,7755
seeds=127.0.0.2:8224, 127.0.0.3:8224
platform.address=127.0.0.1:8229
bounds.grace_s=6
bounds.retry_budget_ratio=0.2
something.new=whatever
"""


def test_a_complete_file_is_read_and_unknown_fields_are_ignored():
    found = parse_settings(SETTINGS_TEXT)
    assert found.name == 'vm-1'
    assert found.first_internal_port == 7740
    assert found.seeds == ('127.0.0.2:8224', '127.0.0.3:8224')
    assert found.termination_grace == 6
    assert found.retry_budget_ratio == 0.2


def test_all_findings_are_reported_together():
    text = SETTINGS_TEXT.replace('ip=127.0.0.1\n', '')
    text = text.replace('7740,7755', '7740')
    text = text.replace('grace_s=6', 'grace_s=soon')
    with pytest.raises(InvalidInput) as caught:
        parse_settings(text)
    paths = {finding.path for finding in caught.value.findings}
    assert paths == {'ip', 'internal_ports', 'bounds.grace_s'}


def test_a_missing_file_is_a_finding():
    with pytest.raises(InvalidInput):
        read_settings('/nowhere/node.conf')


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('internal_ports', '7740,775²'),
        ('bounds.grace_s', 'nan'),
        ('bounds.grace_s', 'inf'),
        ('bounds.retry_budget_ratio', '-1'),
        ('limits.memory_mb', '1' * 5000),
    ],
)
def test_a_number_that_is_none_is_a_finding(field, value):
    lines = [
        line
        for line in SETTINGS_TEXT.splitlines()
        if not line.startswith(f'{field}=')
    ]
    with pytest.raises(InvalidInput) as caught:
        parse_settings('\n'.join([*lines, f'{field}={value}']))
    assert [found.path for found in caught.value.findings] == [field]


@given(st.text(max_size=200) | st.just(SETTINGS_TEXT), st.binary(max_size=20))
@settings(max_examples=60, deadline=None)
def test_any_file_is_read_or_reported(tmp_path_factory, text, tail):
    path = tmp_path_factory.mktemp('settings') / 'node.conf'
    path.write_bytes(text.encode(errors='surrogatepass') + tail)
    try:
        found = read_settings(str(path))
    except InvalidInput as exc:
        assert exc.findings
    else:
        assert found.name == 'vm-1'

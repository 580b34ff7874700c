"""Tests that settings are read, and that all errors are reported at once."""

import pytest

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
    settings = parse_settings(SETTINGS_TEXT)
    assert settings.name == 'vm-1'
    assert settings.first_internal_port == 7740
    assert settings.seeds == ('127.0.0.2:8224', '127.0.0.3:8224')
    assert settings.termination_grace == 6
    assert settings.retry_budget_ratio == 0.2


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

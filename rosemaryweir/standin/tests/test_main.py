"""Tests the stand-in's configuration file and the selectors of faults."""

import asyncio
import json

import pytest

from benchmarks.path_tier import DOMAIN, path_config
from rosemaryweir.exception import InvalidInput
from rosemaryweir.standin.main import read_config
from rosemaryweir.standin.target_group import TargetGroup


def test_options_are_read_from_the_configuration_file(tmp_path):
    path = tmp_path / 'config.json'
    fault = {'kind': 'shed', 'share': 0.5}
    content = {**path_config((2,)), 'faults': [fault], 'seed': 3}
    path.write_text(json.dumps(content))
    config, options = read_config(str(path))
    assert config == path_config((2,))
    assert options == {'faults': [fault], 'seed': 3}


def test_findings_of_configuration_and_options_are_collected(tmp_path):
    path = tmp_path / 'config.json'
    content = {**path_config((1,)), 'faults': [{'kind': 'x'}], 'warmth': 1}
    path.write_text(json.dumps(content))
    with pytest.raises(InvalidInput) as caught:
        read_config(str(path))
    paths = {finding.path for finding in caught.value.findings}
    assert paths == {'$.faults[0].kind', '$.warmth'}
    path.write_text('{')
    with pytest.raises(InvalidInput):
        read_config(str(path))


@pytest.mark.parametrize(
    ('selector', 'number'),
    [
        ({}, 5),
        ({'targets': ['fan-2-0', 'unknown']}, 1),
        ({'service': 'fan-3'}, 3),
        ({'domain': DOMAIN, 'service': 'fan-2'}, 2),
        ({'domain': 'elsewhere'}, 0),
    ],
)
def test_fault_affects_only_selected_targets(selector, number):
    group = TargetGroup(path_config((2, 3)), {})
    fault = {'kind': 'index', **selector}

    async def apply():
        return group.apply(fault)

    names = asyncio.run(apply())
    assert len(names) == number
    served_versions = [group.server(name).model.versions for name in names]
    assert served_versions == [[1, 2]] * number

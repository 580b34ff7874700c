"""Tests that objects of the store are decoded or rejected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryweir.exception import InvalidInput
from rosemaryweir.platform.decode import decode_configuration, decode_target

TARGET = {
    'service': 'desk',
    'address': '10.0.0.9:80',
    'zone': 'd0',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'cold_remaining_ms': 1500,
    'seq': 4,
}
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'host': 'a.example',
            'path_prefix': '/a/',
            'route_type': 'unsafe',
            'timeout_ms': 300,
            'target_latency_ms': 68,
            'traffic_split': [
                {'service': 'a', 'weight': 3},
                {'service': 'b', 'weight': 1},
            ],
            'unheard_of': True,
        },
    ],
    'services': [{'name': 'a', 'max_connections': 30}],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 262144,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
}


def test_a_target_is_decoded():
    entry = decode_target('i-1', TARGET)
    assert entry.service == 'desk'
    assert entry.cold_seconds == 1.5
    assert not entry.draining
    assert decode_target('i-1', {**TARGET, 'state': 'draining'}).draining


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'sleeping'},
        {'service': 7},
        {'service': ''},
        {'address': '10.0.0.9:65536'},
        {'address': '10.0.0.9:8²'},
        {'address': '10.0.0.9 :80'},
        {'address': 'nowhere'},
        {'address': None},
        {'seq': '4'},
    ],
)
def test_a_malformed_entry_is_no_target(change):
    assert decode_target('i-1', {**TARGET, **change}) is None


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner) | st.dictionaries(st.sampled_from(list(TARGET)), inner)
    ),
)


@given(JSON)
def test_arbitrary_content_is_rejected_without_other_errors(spec):
    decode_target('i-1', spec)
    with pytest.raises(InvalidInput):
        decode_configuration(spec)


def test_a_configuration_is_decoded_with_its_units():
    config = decode_configuration(CONFIG)
    (route,) = config.routes
    assert route.timeout == 0.3
    assert not route.idempotent
    assert [share.weight for share in route.weighted_services] == [3, 1]
    assert config.limits.idle_seconds == 15


@pytest.mark.parametrize('name', ['', 'i-ü', 'i 1', 'i\r\nx-other: 1'])
def test_a_name_that_no_header_can_carry_is_rejected(name):
    assert decode_target(name, TARGET) is None


@pytest.mark.parametrize('field', ['timeout_ms', 'top_k', 'max_attempts'])
def test_a_configuration_with_negative_numbers_is_rejected(field):
    route = {**CONFIG['routes'][0], field: -1}
    with pytest.raises(InvalidInput):
        decode_configuration({**CONFIG, 'routes': [route]})

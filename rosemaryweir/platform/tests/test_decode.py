"""Objects of the store become records, or nothing."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryweir.exception import InvalidInput
from rosemaryweir.platform.decode import decode_configuration, decode_target

SERVER = {
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


def test_a_target_is_read_whole():
    entry = decode_target('i-1', SERVER)
    assert entry.service == 'desk'
    assert entry.cold_seconds == 1.5
    assert not entry.draining
    assert decode_target('i-1', {**SERVER, 'state': 'draining'}).draining


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'sleeping'},
        {'service': 7},
        {'service': ''},
        {'address': 'nowhere'},
        {'address': None},
        {'seq': '4'},
    ],
)
def test_an_entry_of_another_writer_names_no_target(change):
    assert decode_target('i-1', {**SERVER, **change}) is None


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner) | st.dictionaries(st.sampled_from(list(SERVER)), inner)
    ),
)


@given(JSON)
def test_whatever_an_entry_holds_nothing_raises(spec):
    decode_target('i-1', spec)
    with pytest.raises(InvalidInput):
        decode_configuration(spec)


def test_a_configuration_is_read_with_its_units():
    config = decode_configuration(CONFIG)
    (route,) = config.routes
    assert route.timeout == 0.3
    assert not route.idempotent
    assert [share.weight for share in route.weighted_services] == [3, 1]
    assert config.limits.idle_seconds == 15

"""Tests that nodes handle any event at any time without fault or busy loop."""

from random import Random
from typing import get_args, get_type_hints

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rosemaryweir.compose import ROLES, Node
from rosemaryweir.node import event as events
from rosemaryweir.node.action import LogEvent
from rosemaryweir.node.node import PART_FAILED
from rosemaryweir.schema.generated import control, http, note, orders, query
from rosemaryweir.testing.deployment import (
    DEPLOYMENTS,
    config_of,
    note_of,
    vm_settings,
)

DEPLOYMENT = DEPLOYMENTS['halvorsen']
SETTINGS = vm_settings(DEPLOYMENT, 6)
CONFIG = config_of(DEPLOYMENT)
NAMES = st.sampled_from(
    [
        *list(CONFIG['targets'])[:6],
        *CONFIG['domains'],
        *CONFIG['services'],
        *(each['vm'] for each in SETTINGS),
        *(f'{each["vm"]}/{role}' for each in SETTINGS[:2] for role in ROLES),
        *(f'{each["vm"]}/agent' for each in SETTINGS[2:]),
        '',
        'strange',
    ],
)
NUMBERS = st.integers(0, 5)
TIMES = st.floats(0, 3000, allow_nan=False)
SCALAR_STRATEGIES = {str: NAMES, int: NUMBERS, float: TIMES}
MESSAGE_TYPES = [
    kind
    for module in (control, query, orders)
    for kind in vars(module).values()
    if isinstance(kind, type) and 'kind' in getattr(kind, '__annotations__', {})
]
BODY_TYPES = {
    'query': http.QueryRequest,
    'order': http.OrderRequest,
    'note': note.ReleaseNote,
    'plan': note.ReleaseNote,
}


def strategy_of(hint):
    """Return the Hypothesis strategy for a type in a generated record."""
    if hint in SCALAR_STRATEGIES:
        return SCALAR_STRATEGIES[hint]
    if hasattr(hint, '__required_keys__'):
        hints = get_type_hints(hint)
        return st.fixed_dictionaries(
            {
                key: strategy_of(hints[key])
                for key in sorted(hint.__required_keys__)
            },
            optional={
                key: strategy_of(hints[key])
                for key in sorted(hint.__optional_keys__)
            },
        )
    if getattr(hint, '__origin__', None) is list:
        return st.lists(strategy_of(get_args(hint)[0]), max_size=2)
    if getattr(hint, '__origin__', None) is dict:
        return st.dictionaries(
            NAMES, strategy_of(get_args(hint)[1]), max_size=2
        )
    return st.from_type(hint)


CALLS = st.builds(
    '{}:{}'.format,
    st.sampled_from(
        ['orders', 'config', 'membership', 'views', 'head', 'notes', 'x'],
    ),
    NUMBERS,
)
OBJECTS = st.builds(
    events.StoreObject,
    st.sampled_from(['config/head', 'views/nordvest-a', 'orders/0001', 'x']),
    NUMBERS,
    st.sampled_from([b'', b'{}', b'\xff', b'[1]']),
)
REQUESTS = st.one_of(
    *(
        st.builds(
            events.CallerRequest, NUMBERS, st.just(topic), strategy_of(body)
        )
        for topic, body in BODY_TYPES.items()
    ),
    st.builds(
        events.CallerRequest,
        NUMBERS,
        st.sampled_from(['directory', 'health', 'status', 'config']),
        st.just({}),
    ),
    st.just(events.CallerRequest(3, 'note', note_of(DEPLOYMENT))),
)
EVENTS = st.one_of(
    REQUESTS,
    st.builds(events.CallerGone, NUMBERS, st.sampled_from(list(BODY_TYPES))),
    st.builds(events.ConnectionOpened, NUMBERS, NAMES),
    st.builds(events.ConnectionFailed, NUMBERS, NAMES, NAMES),
    st.builds(events.ConnectionClosed, NUMBERS, NAMES, NAMES, st.booleans()),
    st.builds(
        events.TargetReply,
        NUMBERS,
        NAMES,
        NAMES,
        st.sampled_from(['ok', 'shed', 'draining', 'wrong_version', 'failed']),
        NUMBERS,
        NUMBERS,
    ),
    st.builds(
        events.TargetHealth,
        NAMES,
        st.sampled_from(['ready', 'cold', 'draining', 'unreachable']),
        TIMES,
        NUMBERS,
    ),
    st.one_of(
        *(
            st.builds(events.PeerMessage, NAMES, NUMBERS, strategy_of(kind))
            for kind in MESSAGE_TYPES
        ),
    ),
    st.builds(
        events.StoreReply,
        CALLS,
        st.sampled_from(['ok', 'missing', 'conflict']),
        st.tuples(OBJECTS) | st.just(()),
        NUMBERS,
    ),
    st.builds(
        events.StoreFailed,
        CALLS,
        st.sampled_from(['unavailable', 'unknown']),
    ),
    st.builds(events.WatchEvent, CALLS, st.tuples(OBJECTS), NUMBERS),
    st.builds(events.WatchEnded, CALLS, NAMES),
    st.builds(events.PlatformList, st.tuples(NAMES), st.tuples(NAMES)),
    st.just(events.ShutdownAsked()),
)


@pytest.mark.parametrize('role', ROLES)
@settings(
    max_examples=300,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(steps=st.lists(st.tuples(EVENTS, st.floats(0, 1)), max_size=25))
def test_node_handles_any_event_at_any_time(role, steps):
    node = Node.from_config(SETTINGS[0], role, 1, Random(1))
    node.state.take_config(CONFIG)
    now = 10.0
    for event, pause_s in steps:
        for each in (event, events.Wake()):
            actions = node.handle(each, now)
            failed = [
                action.fields
                for action in actions
                if isinstance(action, LogEvent) and action.number == PART_FAILED
            ]
            assert not failed, (event, failed)
        wake = node.next_wake()
        assert wake is None or wake > now, (event, wake, now)
        now += pause_s

"""Deltas give the same configuration as the note, or are refused."""

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given, settings

from rosemaryweir.config.content import decode_config, encode_config
from rosemaryweir.config.delta import (
    apply_delta,
    apply_deltas,
    hash_config,
    make_delta,
)
from rosemaryweir.config.delta_chain import (
    MAX_CHAIN_LENGTH,
    DeltaChain,
    DeltaChainFetch,
)
from rosemaryweir.config.note import apply, check
from rosemaryweir.node.state import empty_config

NAMES = st.sampled_from(['a', 'b', 'c'])
TENANTS = st.fixed_dictionaries(
    {'weight': st.integers(1, 9)},
    optional={'queue': st.integers(1, 9)},
)
SHARDS = st.dictionaries(
    NAMES,
    st.fixed_dictionaries({'targets': st.lists(NAMES, min_size=1)}),
)
SERVICES = st.fixed_dictionaries(
    {
        'work': st.sampled_from(['query', 'order']),
        'slots': st.integers(1, 9),
        'connections': st.just(3),
        'connect_ms': st.floats(0, 9),
        'cold_slots': st.just(1),
        'warm_after': st.just(5),
        'layout': st.integers(1, 9),
        'shards': SHARDS,
    },
)
CONFIGS = st.builds(
    lambda tenants, services: {
        **empty_config(),
        'tenants': tenants,
        'services': services,
    },
    st.dictionaries(NAMES, TENANTS),
    st.dictionaries(NAMES, SERVICES),
)


def make_chain(configs):
    """Number configurations; return them and the deltas between them."""
    numbered = [
        {**config, 'generation': number, 'note': f'n-{number}'}
        for number, config in enumerate(configs)
    ]
    deltas = [
        make_delta(before, hash_config(after))
        for before, after in zip(numbered, numbered[1:], strict=False)
    ]
    return numbered, deltas


def configs_with_weights(count):
    return [
        {**empty_config(), 'tenants': {'a': {'weight': 1 + number}}}
        for number in range(count)
    ]


@settings(derandomize=True, deadline=None)
@given(st.lists(CONFIGS, min_size=2, max_size=5))
def test_applied_deltas_give_the_last_configuration(configs):
    numbered, deltas = make_chain(configs)
    before = encode_config(numbered[0])
    result = apply_deltas(deltas, hash_config(numbered[0])).unwrap()
    assert result.config == numbered[-1]
    assert result == hash_config(decode_config(encode_config(numbered[-1])))
    assert encode_config(numbered[0]) == before


@pytest.mark.parametrize(
    ('field', 'wrong', 'reason'),
    [
        ('digest', '0' * 32, 'digest'),
        ('note', 'another', 'digest'),
        ('changes', '{"tenants":{"a":{"weight":8}}}', 'digest'),
        ('changes', '{"tenants":{"a":{"weight":"x"}}}', 'unreadable'),
        ('changes', '{"tenants":{"z":null}}', 'unreadable'),
        ('changes', '{"generation":{"a":{}}}', 'unreadable'),
        ('changes', '{', 'unreadable'),
        ('generation', 3, 'missing link'),
    ],
)
def test_wrong_delta_is_refused(field, wrong, reason):
    numbered, (delta,) = make_chain(configs_with_weights(2))
    hashed = hash_config(numbered[0])
    assert apply_delta({**delta, field: wrong}, hashed).failure() == reason
    assert hashed == hash_config(numbered[0])


def test_chain_with_one_wrong_delta_is_refused():
    numbered, deltas = make_chain(configs_with_weights(4))
    deltas[2] = {**deltas[2], 'digest': deltas[1]['digest']}
    assert apply_deltas(deltas, hash_config(numbered[0])).failure() == 'digest'
    del deltas[1]
    assert (
        apply_deltas(deltas, hash_config(numbered[0])).failure()
        == 'missing link'
    )


def test_deltas_already_applied_are_skipped():
    numbered, deltas = make_chain(configs_with_weights(4))
    result = apply_deltas(deltas, hash_config(numbered[2])).unwrap()
    assert result.config == numbered[3]
    assert apply_deltas(deltas, result).unwrap() == result


def test_chain_is_bounded_and_has_no_gap():
    _, deltas = make_chain(configs_with_weights(MAX_CHAIN_LENGTH + 4))
    chain = DeltaChain()
    chain.add(deltas)
    assert chain.deltas_after(2) == []
    assert chain.deltas_after(3) == deltas[3:]
    chain.add([{**deltas[-1], 'generation': 99}])
    assert chain.deltas_after(3) == []
    assert len(chain.deltas_after(98)) == 1
    chain.clear()
    assert chain.deltas_after(98) == []


def test_message_size_bounds_the_deltas_sent():
    _, deltas = make_chain(configs_with_weights(5))
    large = [{**delta, 'changes': 'x' * 30_000} for delta in deltas]
    chain = DeltaChain()
    chain.add(large)
    assert chain.deltas_after(0) == large[:2]


def test_longer_chain_requests_only_missing_deltas():
    _, deltas = make_chain(configs_with_weights(4))
    notes = [
        {'generation': delta['generation'], 'digest': delta['digest']}
        for delta in deltas
    ]
    fetch = DeltaChainFetch()
    assert len(fetch.expect(notes[:2])) == 2
    assert fetch.add(notes[0]['digest'], msgspec.json.encode(deltas[0]))
    assert fetch.expect(notes) == [notes[2]['digest']]
    for applied, delta in zip(notes[1:], deltas[1:], strict=True):
        assert fetch.complete() == []
        assert fetch.add(applied['digest'], msgspec.json.encode(delta))
    assert fetch.complete() == deltas
    assert not fetch.add(notes[0]['digest'], msgspec.json.encode(deltas[1]))
    assert not fetch.add(notes[0]['digest'], b'x')


def test_numbers_are_stored_with_the_type_of_the_schema():
    shard = {'targets': ['t-1']}
    note = {
        'note': 'n-1',
        'format': 1,
        'base': 0,
        'added': {
            'domains': {'d': {'region': 'r', 'state': 'in'}},
            'targets': {'t-1': {'address': '127.0.0.1:80', 'domain': 'd'}},
            'services': {
                's': {
                    'work': 'query',
                    'slots': 1,
                    'connections': 1,
                    'connect_ms': 5,
                    'cold_slots': 1,
                    'warm_after': 1,
                    'layout': 1,
                    'shards': {'s-1': shard},
                },
            },
        },
    }
    result = hash_config(apply(note, empty_config()))
    assert hash_config(decode_config(encode_config(result.config))) == result
    note['added']['services']['s']['slots'] = 1.0
    (finding,) = check(note, empty_config()).failure()
    assert finding.path == '$.added.services.s'
    assert 'Expected `int`' in finding.problem

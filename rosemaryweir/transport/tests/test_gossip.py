"""Tests of the encoding of object changes sent between VMs."""

import msgspec
import pytest

from rosemaryweir.catalog.relay import RelayAnswer
from rosemaryweir.transport.gossip import compress_answer, decompress_answer


def build_large_configuration(routes):
    return {
        'version': 17,
        'routes': [
            {
                'name': f'r-{number}',
                'host': 'a.example',
                'prefix': f'/p{number * 7919 % 99991}/',
                'kind': 'once',
                'timeout': 1500,
                'aim': 500,
                'desk': 'desk',
            }
            for number in range(routes)
        ],
    }


def test_large_configuration_is_compressed():
    # 79 VMs on 10 Mbit/s links request the configuration within a second.
    # Uncompressed, it took longer than the timeout of the answer.
    content = build_large_configuration(2000)
    answer = RelayAnswer(9, True, [('main', 9, content)])
    compressed = compress_answer(answer)
    assert len(compressed) < len(msgspec.msgpack.encode(answer)) / 5
    assert decompress_answer(compressed).changes[0][2] == content


@pytest.mark.parametrize('cut', [0, 1, 10, -1])
def test_truncated_answer_is_rejected(cut):
    compressed = compress_answer(RelayAnswer(9, True, [('main', 9, {'a': 1})]))
    with pytest.raises(ValueError, match='not an answer'):
        decompress_answer(compressed[:cut])

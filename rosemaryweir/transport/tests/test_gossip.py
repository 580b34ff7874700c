"""Changes from VM to VM: small on the way, and nothing false is taken."""

import msgspec
import pytest

from rosemaryweir.catalog.relay import RelayAnswer
from rosemaryweir.transport.gossip import pack_answer, unpack_answer


def large_configuration(routes):
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


def test_a_large_configuration_is_small_on_the_way():
    # 79 VMs behind links of 10 Mbit/s ask within a second: whole, it took
    # longer than the time that each waits for its answer.
    content = large_configuration(2000)
    answer = RelayAnswer(9, True, [('main', 9, content)])
    packed = pack_answer(answer)
    assert len(packed) < len(msgspec.msgpack.encode(answer)) / 5
    assert unpack_answer(packed).changes[0][2] == content


@pytest.mark.parametrize('cut', [0, 1, 10, -1])
def test_a_cut_answer_is_none(cut):
    packed = pack_answer(RelayAnswer(9, True, [('main', 9, {'a': 1})]))
    with pytest.raises(ValueError, match='not an answer'):
        unpack_answer(packed[:cut])

"""The checks of the demo's callers find what they are for."""

import pytest

from rosemaryweir.platform import words
from rosemaryweir.platform.settings import read_settings
from rosemaryweir.platform.standin.callers import untrue
from rosemaryweir.platform.standin.site import SHARDS, TOP, settings_files
from rosemaryweir.transport.http_client import HttpReply

NAMES = [f'{shard}.north' for shard in SHARDS]
BODY = b''.join(
    sorted((name.ljust(16).encode() for name in NAMES), reverse=True)[:TOP],
)


def reply(names=NAMES, missing=0, body=BODY, request_id='0-1'):
    signatures = ', '.join(f'{name}.{request_id}' for name in names)
    headers = {words.PARTIALS: signatures, words.MISSING: str(missing)}
    return HttpReply(200, headers, body)


def test_a_true_answer():
    assert not untrue(reply(), '0-1')
    # Without the least shard the greatest records are the same.
    assert not untrue(reply(NAMES[1:], missing=1), '0-1')


@pytest.mark.parametrize(
    'false',
    [
        reply(NAMES[1:]),
        reply(missing=1),
        reply([*NAMES[1:], NAMES[1]]),
        reply(body=BODY[:-16]),
        reply(body=BODY[16:] + BODY[:16]),
        reply(request_id='0-2'),
    ],
)
def test_a_false_answer(false):
    assert untrue(false, '0-1')


def test_the_settings_of_the_demo_are_good(tmp_path):
    found = [read_settings(path) for path in settings_files(str(tmp_path))]
    assert len({settings.ip for settings in found}) == len(found) == 3

"""Tests of the checks that the demo's callers make."""

import pytest

from rosemaryweir.platform import protocol
from rosemaryweir.platform.settings import read_settings
from rosemaryweir.platform.standin.callers import is_inconsistent
from rosemaryweir.platform.standin.site import (
    MAX_RECORDS,
    SHARDS,
    settings_files,
)
from rosemaryweir.transport.http_client import HttpReply

NAMES = [f'{shard}.north' for shard in SHARDS]
BODY = b''.join(
    sorted((name.ljust(16).encode() for name in NAMES), reverse=True)[
        :MAX_RECORDS
    ],
)


def merged_reply(names=NAMES, missing=0, body=BODY, request_id='0-1'):
    signatures = ', '.join(f'{name}.{request_id}' for name in names)
    headers = {
        protocol.PARTIAL_SIGNATURES_HEADER: signatures,
        protocol.MISSING_COUNT_HEADER: str(missing),
    }
    return HttpReply(200, headers, body)


def test_consistent_answers():
    assert not is_inconsistent(merged_reply(), '0-1')
    # The lowest shard is missing: the highest records stay the same.
    assert not is_inconsistent(merged_reply(NAMES[1:], missing=1), '0-1')


@pytest.mark.parametrize(
    'answer',
    [
        merged_reply(NAMES[1:]),
        merged_reply(missing=1),
        merged_reply([*NAMES[1:], NAMES[1]]),
        merged_reply(body=BODY[:-16]),
        merged_reply(body=BODY[16:] + BODY[:16]),
        merged_reply(request_id='0-2'),
    ],
)
def test_inconsistent_answers(answer):
    assert is_inconsistent(answer, '0-1')


def test_the_settings_of_the_demo_are_valid(tmp_path):
    found = [read_settings(path) for path in settings_files(str(tmp_path))]
    assert len({settings.ip for settings in found}) == len(found) == 3

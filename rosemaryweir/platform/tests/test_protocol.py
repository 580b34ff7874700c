"""Tests that names of the platform's protocol occur in its folder only."""

import pathlib
import re

PACKAGE = pathlib.Path(__file__).resolve().parents[2]
PROTOCOL_NAMES = re.compile(
    'fanout_services|min_shard_ratio|top_k|route_type|traffic_split|'
    'path_prefix|target_latency_ms|max_attempts|x-part-stamps|'
    'x-missing-parts|x-expect-instance|x-response-stamp|x-not-executed|'
    'x-instance-id|x-cold-remaining-ms|x-request-deadline-ms|'
    'ROSEMARYWEIR_BOOT|allow_stale|has_more|as_of|listen_addrs|'
    'fault_tolerance|evacuation',
    re.IGNORECASE,
)


def test_no_other_module_uses_names_of_the_protocol():
    found = [
        f'{path.relative_to(PACKAGE)}: {name}'
        for path in sorted(PACKAGE.rglob('*.py'))
        if 'platform' not in path.parts[len(PACKAGE.parts) :]
        for name in set(PROTOCOL_NAMES.findall(path.read_text()))
    ]
    assert found == []

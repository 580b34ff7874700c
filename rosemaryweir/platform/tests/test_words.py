"""The platform's words stand in its folder alone."""

import pathlib
import re

PACKAGE = pathlib.Path(__file__).resolve().parents[2]
WORDS = re.compile(
    'fanout_services|min_shard_ratio|top_k|route_type|traffic_split|'
    'path_prefix|target_latency_ms|max_attempts|x-part-stamps|'
    'x-missing-parts|x-expect-instance|x-response-stamp|x-not-executed|'
    'x-instance-id|x-cold-remaining-ms|x-request-deadline-ms|'
    'ROSEMARYWEIR_BOOT|allow_stale|has_more|as_of|listen_addrs|'
    'fault_tolerance|evacuation',
    re.IGNORECASE,
)


def test_no_other_module_knows_the_words_of_the_platform():
    found = [
        f'{path.relative_to(PACKAGE)}: {word}'
        for path in sorted(PACKAGE.rglob('*.py'))
        if 'platform' not in path.parts[len(PACKAGE.parts) :]
        for word in set(WORDS.findall(path.read_text()))
    ]
    assert found == []

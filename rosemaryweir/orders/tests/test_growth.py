"""Sealing and expiry of segments: a known key never runs again."""

from rosemaryweir.orders.bucket_index import BucketIndex
from rosemaryweir.orders.keys import bucket_of
from rosemaryweir.orders.record_expiry import RETENTION_S
from rosemaryweir.orders.segment import (
    SEGMENT_SEAL_BYTES,
    Claim,
    RecordUpdate,
    decode_segment,
    empty_segment,
    encode_segment,
    expire_records,
    merge,
)
from rosemaryweir.orders.tests.order_cluster import OrderCluster

VALUE_LIMIT = 1_000_000
KEYS = [f'k{number}' for number in range(20000) if bucket_of(f'k{number}') == 3]


def record(attempt, digest='d'):
    return {
        'attempt': attempt,
        'digest': digest,
        'claimed_at': 1.0,
        'vm': 'vm-000',
        'state': 'claimed',
        'reply': '',
    }


def test_coding_keeps_the_value():
    merged = merge(empty_segment(), [Claim('k', record('a'))], [])
    assert decode_segment(encode_segment(merged.bucket)) == merged.bucket
    assert decode_segment(b'') == empty_segment()


def test_a_cleaned_key_is_lost_to_every_claim():
    merged = merge(empty_segment(), [Claim('k', record('a'))], [])
    cleaned = expire_records(merged.bucket, 5.0)
    again = merge(cleaned, [Claim('k', record('b'))], [])
    assert again.lost == ((Claim('k', record('b')), None),)
    assert not again.changed


def test_cleaning_twice_keeps_all_hashes():
    index = BucketIndex()
    first = expire_records(
        merge(empty_segment(), [Claim('k', record('a'))], []).bucket, 5
    )
    second = expire_records(
        merge(first, [Claim('m', record('b'))], []).bucket, 6
    )
    index.add_segment(0, second)
    assert len(index) == 2
    assert index.open_segment == 1


def test_a_released_key_goes_to_the_same_content_only():
    place_claimed_order = merge(
        empty_segment(), [Claim('k', record('a'))], []
    ).bucket
    released = merge(
        place_claimed_order, [], [RecordUpdate('k', 'a', 'released')]
    ).bucket
    other = merge(released, [Claim('k', record('b', 'other'))], [])
    same = merge(released, [Claim('k', record('b'))], [])
    assert other.lost
    assert same.won


def cluster_with_orders(count):
    cluster = OrderCluster(vms=2)
    for start in range(0, count, 100):
        for order_key in KEYS[start : start + 100]:
            cluster.ask('vm-000', order_key, deadline_ms=20000)
        cluster.settle(2, 0.25)
    return cluster


def test_segments_stay_small_and_every_key_stays_known():
    cluster = cluster_with_orders(1500)
    assert len(cluster.objects) > 3
    largest = max(len(found.content) for found in cluster.objects.values())
    assert SEGMENT_SEAL_BYTES / 2 < largest < VALUE_LIMIT
    again = [cluster.ask('vm-001', key) for key in KEYS[:1500:100]]
    cluster.settle(3)
    assert {cluster.result_of(req) for req in again} == {('done', True)}
    assert len(cluster.order_runs) == 1500


def test_past_the_retention_a_key_is_expired_and_never_runs():
    cluster = cluster_with_orders(800)
    cluster.now += RETENTION_S + 60
    cluster.ask('vm-000', 'new')
    cluster.settle(600, 10)
    kept = [decode_segment(found.content) for found in cluster.objects.values()]
    assert any(bucket['kept'] for bucket in kept)
    again = cluster.ask('vm-001', KEYS[0])
    cluster.settle(3)
    assert cluster.result_of(again) == ('expired', 'unknown')
    assert cluster.order_runs.count(KEYS[0]) == 1

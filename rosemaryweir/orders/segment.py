"""Value of a bucket segment: encoding, merge of changes, and expiry.

The functions compute the next value of a segment from the current one.  The
store applies it only if the object still has the version that was read, so
they may assume that there was no other write in between.
"""

import base64
from array import array
from collections.abc import Iterable
from typing import Literal, NamedTuple

import msgspec

from rosemaryweir.orders.keys import key_hash
from rosemaryweir.schema.generated.orders import OrderBucket, OrderRecord

__all__ = [
    'RECLAIM_WINDOW_S',
    'SEGMENT_SEAL_BYTES',
    'Claim',
    'RecordUpdate',
    'SegmentMerge',
    'decode_segment',
    'empty_segment',
    'encode_segment',
    'expire_records',
    'expired_key_hashes',
    'merge',
    'newest_claim_time',
    'truncate_reply',
]

#: Time after its arrival in which a request may claim a released key.
RECLAIM_WINDOW_S = 2.0
#: Encoded size at which a segment is sealed and accepts no new keys.
SEGMENT_SEAL_BYTES = 65536
#: Size of a recorded reply as JSON.
MAX_REPLY_BYTES = 1024
#: Type code of `array` for unsigned 64-bit integers.
HASH_TYPECODE = 'Q'
TRUNCATION_MARK = ' [cut]'

RecordState = Literal['claimed', 'done', 'failed', 'unknown', 'released']


class Claim(NamedTuple):
    """An attempt to claim an order key.

    Parameters
    ----------
    order_key : str
        Order key.
    record : OrderRecord
        Record that the claim writes.
    reclaim_until : float
        Monotonic time until which it may claim a released key.
    """

    order_key: str
    record: OrderRecord
    reclaim_until: float = float('inf')

    @property
    def attempt_id(self) -> str:
        """The identifier of the attempt, which includes its nonce."""
        return self.record['attempt']


class RecordUpdate(NamedTuple):
    """An outcome or a release of a claimed key, to be recorded."""

    order_key: str
    attempt_id: str
    state: RecordState
    reply: str = ''


class SegmentMerge(NamedTuple):
    """The next value of a segment and the result of each claim.

    Parameters
    ----------
    bucket : OrderBucket
        Next value.
    won : tuple of Claim
        Claims that are in the next value; some may be in the current one.
    lost : tuple of (Claim, OrderRecord or None)
        Claims of keys that another attempt has claimed, with its record, or
        None if that record has expired.
    changed : bool
        Whether the next value differs from the current one.
    """

    bucket: OrderBucket
    won: tuple[Claim, ...]
    lost: tuple[tuple[Claim, OrderRecord | None], ...]
    changed: bool


def empty_segment() -> OrderBucket:
    """Return the value of a segment that is not in the store."""
    return OrderBucket(records={}, expired_before=0, sealed=False, kept='')


def encode_segment(bucket: OrderBucket) -> bytes:
    """Return the encoding of a segment for the store."""
    return msgspec.json.encode(bucket)


def decode_segment(content: bytes) -> OrderBucket:
    """Return the segment that was encoded; no bytes give an empty segment."""
    if not content:
        return empty_segment()
    return msgspec.json.decode(content, type=OrderBucket)


def expired_key_hashes(bucket: OrderBucket) -> 'array[int]':
    """Return the hashes of the keys whose records have expired."""
    hashes = array(HASH_TYPECODE)
    hashes.frombytes(base64.b64decode(bucket['kept']))
    return hashes


def merge(
    bucket: OrderBucket,
    claims: Iterable[Claim],
    updates: Iterable[RecordUpdate],
    now: float = 0,
) -> SegmentMerge:
    """Apply updates, then claims, to a segment.

    Parameters
    ----------
    bucket : OrderBucket
        Value that was read.
    claims : iterable of Claim
        At most one for each key.
    updates : iterable of RecordUpdate
        Each applies only to the attempt that it names, and only while that
        attempt has no outcome; a recorded outcome never changes.
    now : float
        Monotonic time.

    Notes
    -----
    A claim is granted if its key is new, or was released (it never ran) by a
    request that arrived no later.  It is also granted if the record has the
    same attempt already: an earlier write was applied and its reply was lost.

    A request that has waited for longer than `RECLAIM_WINDOW_S` cannot claim a
    released key: its caller may have abandoned it, retried and been told
    `not_run`.  This limit does not depend on the clocks of the VMs.
    """
    records = dict(bucket['records'])
    for update in updates:
        _apply_update(records, update)
    gone = frozenset(expired_key_hashes(bucket))
    won: list[Claim] = []
    lost: list[tuple[Claim, OrderRecord | None]] = []
    for claim in claims:
        found = records.get(claim.order_key)
        if found is None and key_hash(claim.order_key) in gone:
            lost.append((claim, None))
        elif _may_claim(found, claim, now):
            records[claim.order_key] = claim.record
            won.append(claim)
        elif found is not None and found['attempt'] == claim.attempt_id:
            won.append(claim)
        else:
            lost.append((claim, found))
    changed = records != bucket['records']
    merged = OrderBucket(
        records=records,
        expired_before=bucket['expired_before'],
        sealed=bucket['sealed'],
        kept=bucket['kept'],
    )
    return SegmentMerge(merged, tuple(won), tuple(lost), changed)


def truncate_reply(reply: str) -> str:
    """Return a reply, truncated if it is too long to be recorded.

    Examples
    --------
    >>> truncate_reply('pallet 7')
    'pallet 7'
    >>> truncate_reply('x' * 5000)[-6:]
    ' [cut]'
    """
    if len(msgspec.json.encode(reply)) <= MAX_REPLY_BYTES:
        return reply
    widest = len(msgspec.json.encode('\x00')) - 2
    return reply[: MAX_REPLY_BYTES // widest] + TRUNCATION_MARK


def newest_claim_time(bucket: OrderBucket) -> float:
    """Return the wall-clock time of the newest claim of a segment, or 0."""
    return max(
        (record['claimed_at'] for record in bucket['records'].values()),
        default=0.0,
    )


def expire_records(bucket: OrderBucket, wall: float) -> OrderBucket:
    """Replace the records of a segment by the hashes of their keys."""
    hashes = expired_key_hashes(bucket)
    hashes.extend(key_hash(order_key) for order_key in bucket['records'])
    return OrderBucket(
        records={},
        expired_before=wall,
        sealed=True,
        kept=base64.b64encode(hashes.tobytes()).decode(),
    )


def _apply_update(
    records: dict[str, OrderRecord], update: RecordUpdate
) -> None:
    record = records.get(update.order_key)
    if record is None or record['attempt'] != update.attempt_id:
        return
    if record['state'] == 'claimed':
        records[update.order_key] = OrderRecord(
            attempt=record['attempt'],
            digest=record['digest'],
            claimed_at=record['claimed_at'],
            vm=record['vm'],
            state=update.state,
            reply=update.reply,
        )


def _may_claim(found: OrderRecord | None, claim: Claim, now: float) -> bool:
    if found is None:
        return True
    if found['attempt'] == claim.attempt_id:
        return False
    released = found['state'] == 'released'
    same = found['digest'] == claim.record['digest']
    fresh = now <= claim.reclaim_until
    return released and same and fresh and _arrived_later(claim, found)


def _arrived_later(claim: Claim, released: OrderRecord) -> bool:
    """Return whether a claim arrived no earlier than a released one.

    The caller of an earlier request may have abandoned it and been told
    `not_run` for the later one; sending the earlier request now would make
    that answer false.  Both arrived within the last `RECLAIM_WINDOW_S`, so a
    released record that is further ahead was written with a wrong clock and
    is ignored.
    """
    ahead = released['claimed_at'] - claim.record['claimed_at']
    return ahead <= 0 or ahead > RECLAIM_WINDOW_S

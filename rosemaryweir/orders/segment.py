"""The value of a bucket segment: coding, merging of claims, cleaning.

Everything here is a function from one value to the next.  The store applies
the next value only if the object still has the version that the first was
read at, so each function may assume that nobody else has written between.
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

#: How long after its arrival a request may take a released key over, in
#: seconds.
RECLAIM_WINDOW_S = 2.0
#: Size from which a segment takes no new keys, in bytes.
SEGMENT_SEAL_BYTES = 65536
#: Longest reply that is recorded, in bytes of JSON.
MAX_REPLY_BYTES = 1024
#: Type of the array of 64-bit hashes.
HASH_TYPECODE = 'Q'
TRUNCATION_MARK = ' [cut]'

RecordState = Literal['claimed', 'done', 'failed', 'unknown', 'released']


class Claim(NamedTuple):
    """An attempt to claim an order key.

    Parameters
    ----------
    order_key : str
        The key.
    record : OrderRecord
        The record that the claim would write.
    reclaim_until : float
        Monotonic time until which it may take a released key over.
    """

    order_key: str
    record: OrderRecord
    reclaim_until: float = float('inf')

    @property
    def attempt_id(self) -> str:
        """The nonce of the attempt."""
        return self.record['attempt']


class RecordUpdate(NamedTuple):
    """What became of a claim: an outcome, or its release."""

    order_key: str
    attempt_id: str
    state: RecordState
    reply: str = ''


class SegmentMerge(NamedTuple):
    """The next value of a segment, and what it means for each claim.

    Parameters
    ----------
    bucket : OrderBucket
        The next value.
    won : tuple of Claim
        Claims that hold once the value is written, or already.
    lost : tuple of (Claim, OrderRecord or None)
        Claims of keys that another attempt has, with its record; None when
        the record was dropped.
    changed : bool
        Whether the next value differs.
    """

    bucket: OrderBucket
    won: tuple[Claim, ...]
    lost: tuple[tuple[Claim, OrderRecord | None], ...]
    changed: bool


def empty_segment() -> OrderBucket:
    """Return the value of a segment that does not exist yet."""
    return OrderBucket(records={}, expired_before=0, sealed=False, kept='')


def encode_segment(bucket: OrderBucket) -> bytes:
    """Return the bytes that the store keeps."""
    return msgspec.json.encode(bucket)


def decode_segment(content: bytes) -> OrderBucket:
    """Return the value that the store has kept; no bytes are an empty one."""
    if not content:
        return empty_segment()
    return msgspec.json.decode(content, type=OrderBucket)


def expired_key_hashes(bucket: OrderBucket) -> 'array[int]':
    """Return the hashes of the keys whose records were dropped."""
    hashes = array(HASH_TYPECODE)
    hashes.frombytes(base64.b64decode(bucket['kept']))
    return hashes


def merge(
    bucket: OrderBucket,
    claims: Iterable[Claim],
    updates: Iterable[RecordUpdate],
    now: float = 0,
) -> SegmentMerge:
    """Merge updates, then claims, into a segment.

    Parameters
    ----------
    bucket : OrderBucket
        The value as read.
    claims : iterable of Claim
        At most one for each key.
    updates : iterable of Update
        Each takes effect only on the very attempt that it names, and only
        while that attempt has no outcome: a recorded outcome never changes.
    now : float
        Monotonic time.

    Notes
    -----
    A claim holds if its key is new, or was released (it never ran) by a
    request that came no later, or has this very attempt already: then an
    earlier write took effect although its reply was lost.

    A request that has waited for longer than `RECLAIM_WINDOW_S` takes no
    released key over: its caller may have given it up and been told `not_run`
    since.  That holds whatever the clocks of the VMs say.
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
    """Return the part of a reply that is recorded.

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
    """Return the wall time of the newest claim of a segment, or 0."""
    return max(
        (record['claimed_at'] for record in bucket['records'].values()),
        default=0.0,
    )


def expire_records(bucket: OrderBucket, wall: float) -> OrderBucket:
    """Drop the records of a segment, keeping the hashes of their keys."""
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
    """Return whether a request came after one that was told `not_run`.

    An older one may have been given up by its caller: were it sent now, what
    the caller was told since would be untrue.  Both came in the last
    `RECLAIM_WINDOW_S`: a released record further ahead is of a wrong clock,
    and tells nothing.
    """
    ahead = released['claimed_at'] - claim.record['claimed_at']
    return ahead <= 0 or ahead > RECLAIM_WINDOW_S

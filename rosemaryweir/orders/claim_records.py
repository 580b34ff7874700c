"""Attempts of one process: their nonces, and which of them can still act."""

from random import Random

from rosemaryweir.node.state import NodeUid
from rosemaryweir.orders.order import OrderSpec
from rosemaryweir.schema.generated.orders import OrderRecord

__all__ = ['ClaimRecordFactory']

#: Age from which a claim without outcome will get none, in seconds.
STALE_CLAIM_S = 120.0
NONCE_BITS = 64


class ClaimRecordFactory:
    """Mint the attempts of one process.

    Parameters
    ----------
    uid : NodeUid
        The process; its incarnation is part of each nonce, so that a
        restarted process doesn't take the claims of its predecessor for its
        own.
    rng : random.Random
        Tells apart processes that started in the same millisecond.
    """

    def __init__(self, uid: NodeUid, rng: Random) -> None:
        self._vm = uid.vm
        self._prefix = f'{uid.vm}.{uid.incarnation}.'
        self._rng = rng
        self._count = 0

    def new_claim_record(self, spec: OrderSpec, wall: float) -> OrderRecord:
        """Return the claim of a new attempt."""
        self._count += 1
        nonce = f'{self._rng.getrandbits(NONCE_BITS):x}'
        return OrderRecord(
            attempt=f'{self._prefix}{self._count}.{nonce}',
            digest=spec.digest,
            claimed_at=wall,
            vm=self._vm,
            state='claimed',
            reply='',
        )

    def claim_is_abandoned(self, record: OrderRecord, wall: float) -> bool:
        """Return whether a claim without outcome will surely get none.

        That is so if it is of an earlier process of this VM, or older than
        any order lasts.  A wrong yes costs the caller an `unknown` only: the
        order is not sent in either case.
        """
        if wall - record['claimed_at'] > STALE_CLAIM_S:
            return True
        own = record['vm'] == self._vm
        return own and not record['attempt'].startswith(self._prefix)

"""Claim records of the attempts of one process."""

from random import Random

from rosemaryweir.node.state import NodeUid
from rosemaryweir.orders.order import OrderSpec
from rosemaryweir.schema.generated.orders import OrderRecord

__all__ = ['ClaimRecordFactory']

#: Older than any order lasts, so a claim of this age gets no outcome.
STALE_CLAIM_S = 120.0
NONCE_BITS = 64


class ClaimRecordFactory:
    """Creates claim records and recognizes abandoned ones.

    Parameters
    ----------
    uid : NodeUid
        Identity of the process.  Its incarnation is part of each attempt
        identifier, so that a restarted process does not mistake the claims of
        its predecessor for its own.
    rng : random.Random
        Source of the nonces, which distinguish processes that started in the
        same millisecond.
    """

    def __init__(self, uid: NodeUid, rng: Random) -> None:
        self._vm = uid.vm
        self._prefix = f'{uid.vm}.{uid.incarnation}.'
        self._rng = rng
        self._count = 0

    def new_claim_record(self, spec: OrderSpec, wall: float) -> OrderRecord:
        """Return the claim record of a new attempt."""
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
        """Return whether a claim without an outcome will never get one.

        This is the case if the claim was made by an earlier process of this
        VM, or is older than any order lasts.  If the result is wrongly true,
        the caller gets `unknown`; the order is not sent in either case.
        """
        if wall - record['claimed_at'] > STALE_CLAIM_S:
            return True
        own = record['vm'] == self._vm
        return own and not record['attempt'].startswith(self._prefix)

"""Claims and updates that are not yet written to a bucket."""

from itertools import islice

from rosemaryweir.orders.bucket_index import BucketIndex
from rosemaryweir.orders.segment import Claim, RecordUpdate

__all__ = ['MAX_BATCH_CLAIMS', 'PendingWrites', 'WriteBatch']

#: Claims in one write.
MAX_BATCH_CLAIMS = 200

WriteBatch = tuple[tuple[Claim, ...], tuple[RecordUpdate, ...]]


class PendingWrites:
    """Claims and updates that wait for a write to one bucket, by due time.

    Attributes
    ----------
    uncertain : set of str
        Identifiers of attempts whose claim was in a write without a reply,
        and may have been written.
    """

    def __init__(self) -> None:
        self.claims: dict[str, Claim] = {}
        self.updates: dict[str, RecordUpdate] = {}
        self.uncertain: set[str] = set()
        self._due_times: dict[str, float] = {}
        self._earliest_due: float | None = None

    def __len__(self) -> int:
        """Return the number of claims and updates."""
        return len(self.claims) + len(self.updates)

    @property
    def earliest_due(self) -> float | None:
        """The earliest time at which a write is due, or None."""
        return self._earliest_due

    def add_claim(self, claim: Claim, due: float) -> None:
        """Add a claim."""
        self.claims[claim.attempt_id] = claim
        self._add_due(claim.attempt_id, due)

    def add_update(self, update: RecordUpdate, due: float) -> None:
        """Add an update."""
        self.updates[update.attempt_id] = update
        self._add_due(update.attempt_id, due)

    def first_due_key(self) -> str:
        """Return the order key of the claim or update that is due first."""
        attempt_id = min(self._due_times, key=self._due_times.__getitem__)
        first = self.claims.get(attempt_id) or self.updates[attempt_id]
        return first.order_key

    def batch(self, index: BucketIndex, segment: int) -> WriteBatch:
        """Return the claims and updates of a segment, due or not."""
        claims = (
            claim
            for claim in self.claims.values()
            if index.segment_of(claim.order_key) == segment
        )
        updates = (
            update
            for update in self.updates.values()
            if index.segment_of(update.order_key) == segment
        )
        return tuple(islice(claims, MAX_BATCH_CLAIMS)), tuple(updates)

    def drop_claim(self, attempt_id: str) -> Claim | None:
        """Remove and return a claim, or return None."""
        claim = self.claims.pop(attempt_id, None)
        if claim is not None:
            self.uncertain.discard(attempt_id)
            self._drop_due(attempt_id)
        return claim

    def drop_update(self, update: RecordUpdate) -> None:
        """Remove an update, unless another one has replaced it."""
        if self.updates.get(update.attempt_id) == update:
            self.updates.pop(update.attempt_id)
            self._drop_due(update.attempt_id)

    def _add_due(self, attempt_id: str, due: float) -> None:
        self._due_times[attempt_id] = due
        if self._earliest_due is None or due < self._earliest_due:
            self._earliest_due = due

    def _drop_due(self, attempt_id: str) -> None:
        due = self._due_times.pop(attempt_id, None)
        if due is not None and due == self._earliest_due:
            self._earliest_due = min(self._due_times.values(), default=None)

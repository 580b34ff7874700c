"""Claims and updates that wait for a write."""

from itertools import islice

from rosemaryweir.orders.bucket_index import BucketIndex
from rosemaryweir.orders.segment import Claim, RecordUpdate

__all__ = ['MAX_BATCH_CLAIMS', 'PendingWrites', 'WriteBatch']

#: Claims that one write carries at most.
MAX_BATCH_CLAIMS = 200

WriteBatch = tuple[tuple[Claim, ...], tuple[RecordUpdate, ...]]


class PendingWrites:
    """What waits for a write to one bucket, and since when it is due.

    Attributes
    ----------
    uncertain : set of str
        Attempts whose claim was in a write without an answer: it may hold.
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
        """The time from which a write is due, or None."""
        return self._earliest_due

    def add_claim(self, claim: Claim, due: float) -> None:
        """Let a claim wait."""
        self.claims[claim.attempt_id] = claim
        self._add_due(claim.attempt_id, due)

    def add_update(self, update: RecordUpdate, due: float) -> None:
        """Let an update wait."""
        self.updates[update.attempt_id] = update
        self._add_due(update.attempt_id, due)

    def first_due_key(self) -> str:
        """Return the order key of what is due first."""
        attempt_id = min(self._due_times, key=self._due_times.__getitem__)
        first = self.claims.get(attempt_id) or self.updates[attempt_id]
        return first.order_key

    def batch(self, index: BucketIndex, segment: int) -> WriteBatch:
        """Return what belongs to a segment, due or not."""
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
        """Let a claim wait no longer."""
        claim = self.claims.pop(attempt_id, None)
        if claim is not None:
            self.uncertain.discard(attempt_id)
            self._drop_due(attempt_id)
        return claim

    def drop_update(self, update: RecordUpdate) -> None:
        """Let an update wait no longer, unless another one replaced it."""
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

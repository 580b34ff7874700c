"""Claims and updates that wait for a write."""

from itertools import islice

from rosemaryweir.orders.bucket import Claim, Update
from rosemaryweir.orders.index import BucketIndex

__all__ = ['BATCH', 'Batch', 'Waiting']

#: Claims that one write carries at most.
BATCH = 200

Batch = tuple[tuple[Claim, ...], tuple[Update, ...]]


class Waiting:
    """What waits for a write to one bucket, and since when it is due.

    Attributes
    ----------
    uncertain : set of str
        Attempts whose claim was in a write without an answer: it may hold.
    """

    def __init__(self) -> None:
        self.claims: dict[str, Claim] = {}
        self.updates: dict[str, Update] = {}
        self.uncertain: set[str] = set()
        self._dues: dict[str, float] = {}
        self._soonest: float | None = None

    def __len__(self) -> int:
        """Return the number of claims and updates."""
        return len(self.claims) + len(self.updates)

    @property
    def soonest(self) -> float | None:
        """The time from which a write is due, or None."""
        return self._soonest

    def add_claim(self, claim: Claim, due: float) -> None:
        """Let a claim wait."""
        self.claims[claim.attempt] = claim
        self._add_due(claim.attempt, due)

    def add_update(self, update: Update, due: float) -> None:
        """Let an update wait."""
        self.updates[update.attempt] = update
        self._add_due(update.attempt, due)

    def first_key(self) -> str:
        """Return the order key of what is due first."""
        attempt = min(self._dues, key=self._dues.__getitem__)
        first = self.claims.get(attempt) or self.updates[attempt]
        return first.order_key

    def batch(self, index: BucketIndex, segment: int) -> Batch:
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
        return tuple(islice(claims, BATCH)), tuple(updates)

    def drop_claim(self, attempt: str) -> Claim | None:
        """Let a claim wait no longer."""
        claim = self.claims.pop(attempt, None)
        if claim is not None:
            self.uncertain.discard(attempt)
            self._drop_due(attempt)
        return claim

    def drop_update(self, update: Update) -> None:
        """Let an update wait no longer, unless another one replaced it."""
        if self.updates.get(update.attempt) == update:
            self.updates.pop(update.attempt)
            self._drop_due(update.attempt)

    def _add_due(self, attempt: str, due: float) -> None:
        self._dues[attempt] = due
        if self._soonest is None or due < self._soonest:
            self._soonest = due

    def _drop_due(self, attempt: str) -> None:
        due = self._dues.pop(attempt, None)
        if due is not None and due == self._soonest:
            self._soonest = min(self._dues.values(), default=None)

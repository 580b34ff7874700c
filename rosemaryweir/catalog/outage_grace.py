"""Keep targets in use whose registration vanished during a store outage.

Registrations expire unless the target renews them.  During an outage of the
store they can't be renewed.  An entry that vanishes then, or is missing from
the first list after the outage, is therefore no sign that its target is gone:
the target stays in use for a grace period, and is removed if its entry is
still missing afterwards.
"""

__all__ = ['OutageGrace']

#: Grace period after the store's return, in seconds: live targets have
#: registered again within about this time.
REREGISTRATION_S = 2.0
#: Least time without an answer of the store that counts as an outage, in
#: seconds.
MIN_OUTAGE_S = 0.8


class OutageGrace:
    """Decide whether vanished entries are kept, and until when.

    Examples
    --------
    >>> grace = OutageGrace()
    >>> grace.keep_vanished('a', now=1.0)
    False
    >>> grace.store_failed(now=2.0), grace.store_answered(now=9.0)
    (None, None)
    >>> grace.keep_vanished('b', now=9.1), grace.expired_entries(now=10.0)
    (True, [])
    >>> grace.expired_entries(now=11.1)
    ['b']
    """

    def __init__(self) -> None:
        self._kept: set[str] = set()
        self._failing_since: float | None = None
        self._store_back_at = float('-inf')

    def store_failed(self, now: float) -> None:
        """Record that a call to the store failed."""
        if self._failing_since is None:
            self._failing_since = now

    def store_answered(self, now: float) -> None:
        """Record that the store answered this VM or another one."""
        since = self._failing_since
        self._failing_since = None
        if since is not None and now - since >= MIN_OUTAGE_S:
            self._store_back_at = now

    def keep_vanished(self, name: str, now: float) -> bool:
        """Record that an entry vanished; return whether it is kept."""
        in_outage = self._failing_since is not None
        kept = in_outage or now < self._store_back_at + REREGISTRATION_S
        if kept:
            self._kept.add(name)
        return kept

    def entry_restored(self, name: str) -> None:
        """Record that an entry exists again."""
        self._kept.discard(name)

    def expired_entries(self, now: float) -> list[str]:
        """Remove and return kept entries whose grace period is over."""
        if (
            self._failing_since is not None
            or now < self._store_back_at + REREGISTRATION_S
        ):
            return []
        kept = sorted(self._kept)
        self._kept.clear()
        return kept

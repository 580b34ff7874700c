"""Targets whose registration vanished while the store was away.

Registrations expire by themselves.  During an outage of the store they can't
be renewed, so an entry that vanishes then, or is missing in the first list
after it, says nothing of its target: it is used on for a moment, and taken
as gone when it is still missing after that.
"""

__all__ = ['Lapses']

#: Registrations of live targets are back within about this time after the
#: store's return, in seconds.
BACK_S = 2.0
#: The store counts as away while it answered nothing for so long, s.
AWAY_S = 0.8


class Lapses:
    """When vanished entries are given up.

    Examples
    --------
    >>> lapses = Lapses()
    >>> lapses.vanished('a', now=1.0)
    False
    >>> lapses.failed(now=2.0), lapses.answered(now=9.0)
    (None, None)
    >>> lapses.vanished('b', now=9.1), lapses.due(now=10.0)
    (True, [])
    >>> lapses.due(now=11.1)
    ['b']
    """

    def __init__(self) -> None:
        self._held: set[str] = set()
        self._failing_since: float | None = None
        self._returned = float('-inf')

    def failed(self, now: float) -> None:
        """Take that a call to the store failed."""
        if self._failing_since is None:
            self._failing_since = now

    def answered(self, now: float) -> None:
        """Take that the store answered."""
        since = self._failing_since
        self._failing_since = None
        if since is not None and now - since >= AWAY_S:
            self._returned = now

    def vanished(self, name: str, now: float) -> bool:
        """Take that an entry vanished; return whether it is used on."""
        away = self._failing_since is not None
        held = away or now < self._returned + BACK_S
        if held:
            self._held.add(name)
        return held

    def back(self, name: str) -> None:
        """Take that an entry exists again."""
        self._held.discard(name)

    def due(self, now: float) -> list[str]:
        """Return the entries that are taken as gone from now on."""
        if self._failing_since is not None or now < self._returned + BACK_S:
            return []
        held = sorted(self._held)
        self._held.clear()
        return held

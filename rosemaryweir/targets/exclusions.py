"""Targets that are leaving and get no new work.

Any one sign excludes a target: the platform's list, a ``draining`` reply or
health, or its closing of every connection in use.  A sign may be wrong or
late, so no milder sign takes it back: only a newer incarnation of the target
or a newer configuration does.
"""

from typing import NamedTuple

__all__ = ['Exclusion', 'Exclusions', 'closed_all_connections']

#: Connections that must have closed, and within how many seconds.
MIN_CLOSES = 2
CLOSES_WINDOW_S = 1.0
#: A connection idle for longer may just have timed out, in s.
RECENT_USE_S = 5.0


class Exclusion(NamedTuple):
    """Why a target is excluded, and as of what."""

    reason: str
    incarnation: int
    generation: int


class Exclusions:
    """The targets excluded.

    Examples
    --------
    >>> exclusions = Exclusions()
    >>> exclusions.add('t1', 'draining', incarnation=3, generation=7)
    True
    >>> exclusions.lift('t1', incarnation=3, generation=7)
    False
    >>> exclusions.lift('t1', incarnation=4, generation=7)
    True
    """

    def __init__(self) -> None:
        self._known: dict[str, Exclusion] = {}

    def __contains__(self, target: str) -> bool:
        """Return whether a target is excluded."""
        return target in self._known

    def __bool__(self) -> bool:
        """Return whether any target is excluded."""
        return bool(self._known)

    def names(self) -> list[str]:
        """Return the targets excluded."""
        return list(self._known)

    def reason(self, target: str) -> str:
        """Return why a target is excluded; empty when it isn't."""
        known = self._known.get(target)
        return '' if known is None else known.reason

    def add(
        self,
        target: str,
        reason: str,
        incarnation: int,
        generation: int,
    ) -> bool:
        """Exclude a target; return whether it wasn't already."""
        known = self._known.get(target)
        if known is not None and known.incarnation >= incarnation:
            return False
        self._known[target] = Exclusion(reason, incarnation, generation)
        return known is None

    def lift(self, target: str, incarnation: int, generation: int) -> bool:
        """Take a target back if it or the configuration is newer."""
        known = self._known.get(target)
        if known is None:
            return False
        newer = incarnation > known.incarnation or generation > known.generation
        if newer:
            self._known.pop(target)
        return newer


def closed_all_connections(
    closes: list[float], open_left: int, now: float
) -> bool:
    """Return whether a target closes its connections for good.

    Parameters
    ----------
    closes : list of float
        When it closed connections in use.
    open_left : int
        Connections that still stand.
    now : float
        The present time.

    Examples
    --------
    >>> closed_all_connections([9.8, 9.9], 0, 10.0)
    True
    >>> closed_all_connections([1.0, 9.9], 0, 10.0)
    False
    """
    recent = sum(now - when <= CLOSES_WINDOW_S for when in closes)
    return recent >= MIN_CLOSES and not open_left

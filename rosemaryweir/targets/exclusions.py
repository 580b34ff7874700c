"""Exclusion of targets that are leaving from new work.

Any one sign excludes a target: the platform's list, a reply or a health
report with the status ``draining``, or that it closes every connection in
use.  As a sign may be late, a later sign to the contrary does not readmit the
target: only a newer incarnation of it or a newer configuration does.
"""

from typing import NamedTuple

__all__ = ['Exclusion', 'Exclusions', 'closed_all_connections']

#: Connections in use that a target must close to be excluded, and the time
#: within which, in s.
MIN_CLOSES = 2
CLOSES_WINDOW_S = 1.0
#: A connection idle for longer than this (s) may have reached the idle
#: time-out of the target, so that its closing is no sign of leaving.
RECENT_USE_S = 5.0


class Exclusion(NamedTuple):
    """Reason of an exclusion, and the state of the target it was based on."""

    reason: str
    incarnation: int
    generation: int


class Exclusions:
    """Registry of the excluded targets.

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
        """Return the names of the excluded targets."""
        return list(self._known)

    def reason(self, target: str) -> str:
        """Return why a target is excluded, or an empty string."""
        known = self._known.get(target)
        return '' if known is None else known.reason

    def add(
        self,
        target: str,
        reason: str,
        incarnation: int,
        generation: int,
    ) -> bool:
        """Exclude a target; return whether it was not excluded before."""
        known = self._known.get(target)
        if known is not None and known.incarnation >= incarnation:
            return False
        self._known[target] = Exclusion(reason, incarnation, generation)
        return known is None

    def lift(self, target: str, incarnation: int, generation: int) -> bool:
        """Readmit a target if its incarnation or the configuration is newer."""
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
    """Return whether a target has closed all its connections at once.

    Parameters
    ----------
    closes : list of float
        Times at which it closed connections in use.
    open_left : int
        Number of connections that are still open.
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

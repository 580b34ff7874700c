"""Decides when a VM tells others at once of targets that are in trouble."""

from collections.abc import Mapping
from math import exp
from typing import NamedTuple

__all__ = ['ALERT_CHECK_INTERVAL_S', 'AlertPolicy']

#: Interval in which a VM looks for targets to tell of, in seconds.
#: What it is told, it passes on at once.
ALERT_CHECK_INTERVAL_S = 0.1
#: What was told of a target counts for less with this time constant, in
#: seconds, as it does with those who were told.
TOLD_DECAY_S = 1.5
#: A target is told of again when it is worse by this factor than what counts.
REPEAT_FACTOR = 2.0
#: Time after which what was told is forgotten, in seconds.
FORGET_AFTER_S = 6.0


class _Told(NamedTuple):
    slowness: float
    at: float

    def remaining(self, now: float) -> float:
        """Return what still counts of it."""
        return self.slowness * exp((self.at - now) / TOLD_DECAY_S)


class AlertPolicy:
    """Chooses the targets of which a VM tells others before its heartbeat.

    A target that falls silent, fails or resets is found by the VMs that lose a
    request there. In a large fleet each VM has few requests, so that most of
    them learn it only by losing one of their own; heartbeats take seconds to
    reach all. A VM that is told tells others in turn, each target once.

    Examples
    --------
    >>> policy = AlertPolicy()
    >>> policy.take({'a': 12.0}, now=1.0)
    {'a': 12.0}
    >>> policy.take({'a': 11.5, 'b': 8.0}, now=1.2)
    {'b': 8.0}
    """

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}

    def take(
        self, slow_targets: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Return the targets to tell of now, and their slowness.

        Parameters
        ----------
        slow_targets : mapping of str to float
            All targets that a heartbeat would report now.
        now : float
            Present time.
        """
        if not slow_targets:
            return {}
        self._told = {
            name: told
            for name, told in self._told.items()
            if now - told.at < FORGET_AFTER_S
        }
        found = {
            name: slowness
            for name, slowness in slow_targets.items()
            if name not in self._told
            or slowness >= REPEAT_FACTOR * self._told[name].remaining(now)
        }
        self._told.update(
            (name, _Told(slowness, now)) for name, slowness in found.items()
        )
        return found

"""What targets ask for in their replies: no requests for a time, or none again.

Load pattern: a full or failing target that turns requests away and asks for
rest, and a target that leaves while its registration still says ready.  Many
may ask at the same moment, and some ask again before a rest is over.
"""

from typing import NamedTuple

__all__ = ['NoticeBoard', 'TargetNotices']

#: Longest rest that a target is given, in seconds: a larger number is taken
#: for an error of the target.
MAX_REST_S = 3600.0
#: Incarnations whose notices are kept after their registration has vanished.
MAX_REMEMBERED = 4096


class TargetNotices:
    """What one incarnation of a target has asked for.

    Attributes
    ----------
    leaving : bool
        Whether it gets no requests any more.
    asked : bool
        Whether it has asked for anything that still counts.

    Examples
    --------
    >>> notices = TargetNotices()
    >>> notices.ask_for_rest(4.0, now=10.0)
    >>> notices.ask_for_rest(1.0, now=11.0)
    >>> notices.rests(now=13.9), notices.rests(now=14.0)
    (True, False)
    """

    def __init__(self) -> None:
        self.leaving = False
        self.asked = False
        self._rest_until = float('-inf')
        self._on_trial = False

    @property
    def rest_until(self) -> float:
        """Time when its rest ends."""
        return self._rest_until

    def leave(self) -> None:
        """Get no requests any more."""
        self.leaving = True
        self.asked = True

    def ask_for_rest(self, seconds: float, now: float) -> None:
        """Rest for a time; a shorter one doesn't end a rest earlier."""
        if seconds > 0:
            until = now + min(seconds, MAX_REST_S)
            self._rest_until = max(self._rest_until, until)
            self._on_trial = True
            self.asked = True

    def rests(self, now: float) -> bool:
        """Return whether it gets no requests now."""
        return now < self._rest_until

    def record_work(self, now: float) -> None:
        """End the trial after a rest, since it has run a request."""
        if not self.rests(now):
            self._on_trial = False
            self.asked = self.leaving

    def admits(self, in_flight: int, now: float) -> bool:
        """Return whether it may get another request now.

        After a rest one request at a time tries it, until it runs one.

        Parameters
        ----------
        in_flight : int
            Requests that it has from this VM.
        now : float
            Present time.
        """
        if self.leaving or self.rests(now):
            return False
        return not (self._on_trial and in_flight)


class Incarnation(NamedTuple):
    """A start of a target: its name and the time of the start in ms."""

    name: str
    started_ms: int


class NoticeBoard:
    """The notices of all targets, also while their registrations are away.

    Another incarnation starts without any.
    """

    def __init__(self) -> None:
        self._notices: dict[Incarnation, TargetNotices] = {}

    def of(self, name: str, started_ms: int) -> TargetNotices:
        """Return the notices of an incarnation."""
        key = Incarnation(name, started_ms)
        known = self._notices.pop(key, None) or TargetNotices()
        self._notices[key] = known
        if len(self._notices) > MAX_REMEMBERED:
            self._notices.pop(next(iter(self._notices)))
        return known

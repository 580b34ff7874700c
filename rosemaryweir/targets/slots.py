"""Slots of a target, held by the attempts that it may be running."""

from typing import NamedTuple

__all__ = ['DEADLINE_MARGIN_S', 'Slots']

#: Time past its deadline for which a target may run an attempt, in s: the
#: deadline reaches the target late by the travel time of the request.
DEADLINE_MARGIN_S = 0.1


class SlotHold(NamedTuple):
    """Times at which an attempt was sent and at which it must be over."""

    sent_at: float
    until: float


class Slots:
    """Attempts that hold a slot of one target.

    An attempt holds its slot until the target has answered it.  If its
    connection closes before that, the target may still be running it, so it
    holds the slot until its deadline has passed at the target too.

    Examples
    --------
    >>> slots = Slots()
    >>> slots.start('a', now=0.0, deadline=1.0)
    >>> slots.hold_until_deadline('a')
    >>> slots.held(0.5), slots.held(2.0)
    (1, 0)
    """

    __slots__ = ('_lost', '_running')

    def __init__(self) -> None:
        self._running: dict[str, SlotHold] = {}
        self._lost: dict[str, SlotHold] = {}

    def __contains__(self, attempt_id: str) -> bool:
        """Return whether an attempt waits for its answer."""
        return attempt_id in self._running

    @property
    def running(self) -> int:
        """Number of attempts that wait for an answer on their connection."""
        return len(self._running)

    def start(self, attempt_id: str, now: float, deadline: float) -> None:
        """Give a slot to an attempt."""
        self._running[attempt_id] = SlotHold(now, deadline + DEADLINE_MARGIN_S)

    def release(self, attempt_id: str) -> None:
        """Free the slot of an attempt that the target has answered."""
        self._running.pop(attempt_id, None)

    def hold_until_deadline(self, attempt_id: str) -> None:
        """Keep the slot of an attempt whose connection has closed."""
        hold = self._running.pop(attempt_id, None)
        if hold is not None:
            self._lost[attempt_id] = hold

    def release_sent_before(self, last_seen: float) -> None:
        """Free the slots of attempts that the previous incarnation ran.

        Parameters
        ----------
        last_seen : float
            When the previous incarnation last answered.  Attempts sent later
            may have reached the new one and keep their slots.
        """
        self._lost = {
            attempt_id: hold
            for attempt_id, hold in self._lost.items()
            if hold.sent_at > last_seen
        }

    def held(self, now: float) -> int:
        """Return the number of slots held."""
        if self._lost:
            self._expire(now)
        return len(self._running) + len(self._lost)

    def next_free(self) -> float | None:
        """Return when the next attempt without a connection frees its slot."""
        return min((hold.until for hold in self._lost.values()), default=None)

    def _expire(self, now: float) -> None:
        over = [name for name, hold in self._lost.items() if hold.until <= now]
        for name in over:
            self._lost.pop(name)

"""Accounts of what a target may be running."""

from typing import NamedTuple

__all__ = ['DEADLINE_MARGIN_S', 'Slots']

#: A target may run so long past a deadline: the travel of the request, s.
DEADLINE_MARGIN_S = 0.1


class SlotHold(NamedTuple):
    """When an attempt was sent, and until when it may run."""

    sent_at: float
    until: float


class Slots:
    """The attempts that hold a slot of one target.

    An attempt holds its slot until the target answered it.  When its
    connection closed first, the target may still be running it: it holds the
    slot until its deadline has passed there as well.

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
        """Return whether an attempt awaits its answer."""
        return attempt_id in self._running

    @property
    def running(self) -> int:
        """Attempts that await an answer on their connection."""
        return len(self._running)

    def start(self, attempt_id: str, now: float, deadline: float) -> None:
        """Let an attempt take a slot."""
        self._running[attempt_id] = SlotHold(now, deadline + DEADLINE_MARGIN_S)

    def release(self, attempt_id: str) -> None:
        """Free the slot of an attempt that the target answered."""
        self._running.pop(attempt_id, None)

    def hold_until_deadline(self, attempt_id: str) -> None:
        """Keep the slot of an attempt whose answer can't come any more."""
        hold = self._running.pop(attempt_id, None)
        if hold is not None:
            self._lost[attempt_id] = hold

    def release_sent_before(self, last_seen: float) -> None:
        """Free what an earlier incarnation of the target was running.

        Parameters
        ----------
        last_seen : float
            When the earlier incarnation last answered: what was sent later
            may have reached the new one.
        """
        self._lost = {
            attempt_id: hold
            for attempt_id, hold in self._lost.items()
            if hold.sent_at > last_seen
        }

    def held(self, now: float) -> int:
        """Return how many slots are held."""
        if self._lost:
            self._expire(now)
        return len(self._running) + len(self._lost)

    def next_free(self) -> float | None:
        """Return when the next lost attempt frees its slot, if any."""
        return min((hold.until for hold in self._lost.values()), default=None)

    def _expire(self, now: float) -> None:
        over = [name for name, hold in self._lost.items() if hold.until <= now]
        for name in over:
            self._lost.pop(name)

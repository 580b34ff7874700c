"""Which target a piece of a request is sent to."""

from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from rosemaryweir.gateway.target_state import Target

__all__ = ['Choice', 'Placement']

#: Cost of another failure domain, in usual latencies: its way is longer and
#: its bytes are charged for, but a target that takes several times as long,
#: or has more to do, is worth going there for. From 1.2 to 2.5 a calm day of
#: Haeparam sent a fifth less between failure domains, and was served alike.
FAR_COST = 2.5
#: Cost of each attempt of this VM that is in flight on a target.
BUSY_COST = 0.35
#: Cost of a connection that has to be opened first.
OPEN_COST = 0.3
#: Cost of a target all of whose answers are failures.
FAILURE_COST = 12.0
#: Cost of a target that said a moment ago that it is full.
FULL_COST = 3.0
#: Cost of a target that owes an overdue answer, or rests.
STALLED_COST = 100.0
#: Random part, so that VMs don't all choose the same target.
JITTER = 0.1


class Choice(NamedTuple):
    """A target and its cost, in usual latencies."""

    cost: float
    target: Target
    free: bool

    @property
    def sound(self) -> bool:
        """Whether the target is expected to answer soon."""
        return self.cost < STALLED_COST


class Placement:
    """Chooses targets for one VM.

    Parameters
    ----------
    domain : str
        Failure domain of the VM.
    rng : random.Random
        Source of chance.
    """

    def __init__(self, domain: str, rng: Random) -> None:
        self._domain = domain
        self._rng = rng

    def cost(self, target: Target, now: float) -> float:
        """Return the cost expected of a target, in usual latencies."""
        busy = 1 + BUSY_COST * target.in_flight
        cost = target.slowness(now) * busy
        cost += FAILURE_COST * target.failing(now) ** 2
        cost += JITTER * self._rng.random()
        if target.entry.domain != self._domain:
            cost += FAR_COST
        if now < target.full_until:
            cost += FULL_COST
        if now < target.rests_until or target.stalled(now):
            cost += STALLED_COST
        return cost

    def choose(
        self,
        targets: Iterable[Target],
        room: Callable[[Target], int],
        now: float,
    ) -> Choice | None:
        """Return the best target that is free or may be connected to.

        Parameters
        ----------
        targets : iterable of Target
            Candidates.
        room : callable
            Returns how many connections this VM may have to a target.
        now : float
            Present time.
        """
        best: Choice | None = None
        for target in targets:
            free = bool(target.idle)
            if not free and len(target.connections) >= room(target):
                continue
            if now < target.rests_until and target.in_flight == 0:
                continue
            cost = self.cost(target, now)
            if not free:
                cost += OPEN_COST
            if best is None or cost < best.cost:
                best = Choice(cost, target, free)
        return best

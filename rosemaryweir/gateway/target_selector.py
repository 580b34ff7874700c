"""Selection of the target that a sub-request is sent to."""

from collections.abc import Callable, Collection, Iterable
from random import Random
from typing import NamedTuple

from rosemaryweir.gateway.target_state import TargetState

__all__ = ['SelectedTarget', 'TargetSelector']

# Costs are multiples of the usual latency.

#: Cost of a target in another failure domain: the network path is longer and
#: its traffic is charged for, but a target there is preferred to a near one
#: that takes several times as long or is busier. With 2.5 instead of 1.2 a
#: calm day of the Haeparam deployment sent a fifth less between failure
#: domains, with the same service.
OTHER_DOMAIN_COST = 2.5
#: Relative cost of each attempt of this VM in flight on a target.
IN_FLIGHT_COST = 0.35
#: Cost of opening a connection first.
CONNECT_COST = 0.3
#: Cost of a target whose replies are all failures.
FAILURE_COST = 12.0
#: Cost of a target that has just reported to be full.
FULL_COST = 3.0
#: Cost of a target with an overdue reply, or in back-off.
UNRESPONSIVE_COST = 100.0
#: Upper bound of the random part, so that VMs don't all choose the same
#: target.
JITTER_COST = 0.1


class SelectedTarget(NamedTuple):
    """A target and its cost, as a multiple of the usual latency.

    Parameters
    ----------
    cost : float
        The cost.
    target : TargetState
        The target.
    has_idle : bool
        Whether it has an idle connection.
    """

    cost: float
    target: TargetState
    has_idle: bool

    @property
    def responsive(self) -> bool:
        """Whether the target is expected to reply soon."""
        return self.cost < UNRESPONSIVE_COST


class TargetSelector:
    """Selects targets for one VM.

    Parameters
    ----------
    domain : str
        Failure domain of the VM.
    rng : random.Random
        Source of the random part of the cost.
    """

    def __init__(self, domain: str, rng: Random) -> None:
        self._domain = domain
        self._rng = rng

    def cost(self, target: TargetState, now: float) -> float:
        """Return the cost of a target, as a multiple of the usual latency."""
        load = 1 + IN_FLIGHT_COST * target.in_flight
        cost = target.slowness(now) * load
        cost += FAILURE_COST * target.failure_rate(now) ** 2
        cost += JITTER_COST * self._rng.random()
        if target.entry.domain != self._domain:
            cost += OTHER_DOMAIN_COST
        if now < target.full_until:
            cost += FULL_COST
        if now < target.backoff_until or target.has_overdue(now):
            cost += UNRESPONSIVE_COST
        return cost

    def select(
        self,
        targets: Iterable[TargetState],
        max_connections: Callable[[TargetState], int],
        now: float,
        unusable_conns: Collection[int] = (),
    ) -> SelectedTarget | None:
        """Return the cheapest target that is idle or may be connected to.

        Parameters
        ----------
        targets : iterable of TargetState
            Candidates.
        max_connections : callable
            Returns how many connections this VM may have to a target.
        now : float
            Present time.
        unusable_conns : collection of int
            Connections that the sub-request can't be sent on.
        """
        best: SelectedTarget | None = None
        for target in targets:
            if not target.idle and len(target.connections) >= max_connections(
                target
            ):
                continue
            has_idle = _has_idle(target, unusable_conns)
            if now < target.backoff_until and target.in_flight == 0:
                continue
            cost = self.cost(target, now)
            if not has_idle:
                cost += CONNECT_COST
            if best is None or cost < best.cost:
                best = SelectedTarget(cost, target, has_idle)
        return best


def _has_idle(target: TargetState, unusable_conns: Collection[int]) -> bool:
    if not unusable_conns:
        return bool(target.idle)
    return any(conn.number not in unusable_conns for conn in target.idle)

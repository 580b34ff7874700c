"""The registry of faults: what may strike a cluster in virtual time."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from rosemaryweir.testing import Cluster

__all__ = ['End', 'Fault', 'fault', 'registered']

End = Callable[[], None]
Begin = Callable[[Cluster, Random], End]


class Fault(NamedTuple):
    """A fault that lasts a while.

    Parameters
    ----------
    name : str
        What strikes.
    seconds : float
        How long it lasts.
    begin : callable
        ``(cluster, rng) -> end``: start the fault, return what ends it.
    """

    name: str
    seconds: float
    begin: Begin

    def strike(self, cluster: Cluster, rng: Random) -> None:
        """Begin the fault now, and end it after its time."""
        end = self.begin(cluster, rng)
        cluster.scheduler.after(self.seconds, end)


_FAULTS: dict[str, Fault] = {}


def fault(name: str, seconds: float) -> Callable[[Begin], Begin]:
    """Register a fault under a name."""

    def decorate(begin: Begin) -> Begin:
        _FAULTS[name] = Fault(name, seconds, begin)
        return begin

    return decorate


def registered() -> dict[str, Fault]:
    """Return the registered faults by name."""
    return dict(_FAULTS)

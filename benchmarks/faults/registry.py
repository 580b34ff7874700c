"""Registry of the faults that are injected into a cluster."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from rosemaryweir.testing import Cluster

__all__ = ['EndFault', 'Fault', 'fault', 'registered_faults']

EndFault = Callable[[], None]
BeginFault = Callable[[Cluster, Random], EndFault]


class Fault(NamedTuple):
    """A fault of limited duration.

    Parameters
    ----------
    name : str
        Name in reports.
    duration_s : float
        Duration in seconds of virtual time.
    begin : callable
        ``(cluster, rng) -> end``: start the fault and return the
        function that ends it.
    """

    name: str
    duration_s: float
    begin: BeginFault

    def inject(self, cluster: Cluster, rng: Random) -> None:
        """Start the fault now and schedule its end."""
        end = self.begin(cluster, rng)
        cluster.scheduler.after(self.duration_s, end)


_FAULTS: dict[str, Fault] = {}


def fault(name: str, duration_s: float) -> Callable[[BeginFault], BeginFault]:
    """Register a function that starts a fault."""

    def decorate(begin: BeginFault) -> BeginFault:
        _FAULTS[name] = Fault(name, duration_s, begin)
        return begin

    return decorate


def registered_faults() -> dict[str, Fault]:
    """Return the registered faults by name."""
    return dict(_FAULTS)

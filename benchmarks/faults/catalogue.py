"""Every fault: importing this module registers them all."""

from benchmarks.faults import (
    network,
    operators,
    processes,
    storage,
    targets,
)
from benchmarks.faults.registry import Fault, registered

__all__ = ['MODULES', 'faults']

MODULES = (network, operators, processes, storage, targets)


def faults() -> dict[str, Fault]:
    """Return the registered faults by name."""
    return registered()

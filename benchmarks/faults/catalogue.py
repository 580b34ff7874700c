"""Imports every module of faults, which registers the faults."""

from benchmarks.faults import (
    network,
    operators,
    processes,
    storage,
    targets,
)
from benchmarks.faults.registry import Fault, registered_faults

__all__ = ['MODULES', 'faults']

MODULES = (network, operators, processes, storage, targets)


def faults() -> dict[str, Fault]:
    """Return the registered faults by name."""
    return registered_faults()

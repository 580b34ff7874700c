"""Group VMs by processor capacity."""

from collections.abc import Iterable
from itertools import groupby
from typing import Protocol, TypeVar

__all__ = ['HasCapacity', 'group_by_capacity']

#: VMs whose capacities differ by less than this count as equal, in cores.
CAPACITY_STEP_CORES = 0.25


class HasCapacity(Protocol):
    """A VM with a known capacity."""

    @property
    def capacity(self) -> float:
        """Processor cores, in cores of standard speed."""


AnyVm = TypeVar('AnyVm', bound=HasCapacity)


def group_by_capacity(vms: Iterable[AnyVm]) -> list[list[AnyVm]]:
    """Return groups of VMs of similar capacity, the largest first.

    Examples
    --------
    >>> from rosemaryweir.gateway.quota import VmInfo
    >>> vms = [VmInfo('a', 'd', 0.5), VmInfo('b', 'd', 2), VmInfo('c', 'd')]
    >>> [[vm.name for vm in group] for group in group_by_capacity(vms)]
    [['b'], ['c'], ['a']]
    """

    def step(vm: AnyVm) -> int:
        return round(vm.capacity / CAPACITY_STEP_CORES)

    ranked = sorted(vms, key=step, reverse=True)
    return [list(group) for _, group in groupby(ranked, key=step)]

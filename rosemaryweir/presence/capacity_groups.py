"""VMs by the size of their processors."""

from collections.abc import Iterable
from itertools import groupby
from typing import Protocol, TypeVar

__all__ = ['Sized', 'group_by_capacity']

#: VMs whose capacities differ by less than this count as equal, in cores.
CAPACITY_STEP = 0.25


class Sized(Protocol):
    """A VM whose capacity is known."""

    @property
    def capacity(self) -> float:
        """Processor cores that it has."""


AnyVm = TypeVar('AnyVm', bound=Sized)


def group_by_capacity(vms: Iterable[AnyVm]) -> list[list[AnyVm]]:
    """Return VMs of like capacity together, the largest first.

    Examples
    --------
    >>> from rosemaryweir.gateway.quota import VmInfo
    >>> vms = [VmInfo('a', 'd', 0.5), VmInfo('b', 'd', 2), VmInfo('c', 'd')]
    >>> [[vm.name for vm in size] for size in group_by_capacity(vms)]
    [['b'], ['c'], ['a']]
    """

    def step(vm: AnyVm) -> int:
        return round(vm.capacity / CAPACITY_STEP)

    ranked = sorted(vms, key=step, reverse=True)
    return [list(group) for _, group in groupby(ranked, key=step)]

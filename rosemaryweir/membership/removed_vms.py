"""Detects VMs that the platform has removed for good."""

from collections.abc import Collection, Iterable, Mapping

__all__ = ['RemovedVms']

#: How long a VM must be unlisted and silent to count as removed, in seconds.
REMOVAL_DELAY_S = 15.0


class RemovedVms:
    """VMs that are missing from the platform's list, and since when.

    Notes
    -----
    A single list may be late or wrong.  A VM therefore counts as removed only
    after it was missing from every list for `REMOVAL_DELAY_S` and has sent
    nothing for as long.
    """

    def __init__(self) -> None:
        self._missing: dict[str, float] = {}

    def update(
        self,
        names: Iterable[str],
        listed: Collection[str],
        last_received: Mapping[str, float],
        now: float,
    ) -> frozenset[str]:
        """Compare with a new list; return the VMs that were removed.

        Parameters
        ----------
        names : iterable of str
            The VMs to check.
        listed : collection of str
            The VMs that the platform lists.
        last_received : mapping of str to float
            When each VM was last heard from.
        now : float
            Present time.
        """
        self._missing = {
            vm: self._missing.get(vm, now) for vm in names if vm not in listed
        }
        never = float('-inf')
        return frozenset(
            vm
            for vm, since in self._missing.items()
            if now >= max(since, last_received.get(vm, never)) + REMOVAL_DELAY_S
        )

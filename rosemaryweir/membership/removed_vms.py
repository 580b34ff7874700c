"""VMs that are gone for good, as the platform's list shows in the end."""

from collections.abc import Collection, Iterable, Mapping

__all__ = ['RemovedVms']

#: How long the platform must not list a VM, nor anybody hear of it.
REMOVAL_DELAY_S = 15.0


class RemovedVms:
    """Names missing from the platform's list, and since when.

    Notes
    -----
    One list lags or is wrong, so that a VM counts as gone only after every
    list for `REMOVAL_DELAY_S` has left it out and it has been silent as long.
    """

    def __init__(self) -> None:
        self._missing: dict[str, float] = {}

    def take(
        self,
        names: Iterable[str],
        listed: Collection[str],
        heard: Mapping[str, float],
        now: float,
    ) -> frozenset[str]:
        """Take a list; return the names that are gone for good.

        Parameters
        ----------
        names : iterable of str
            The VMs in question.
        listed : collection of str
            The VMs that the platform lists.
        heard : mapping of str to float
            When each VM was heard of.
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
            if now >= max(since, heard.get(vm, never)) + REMOVAL_DELAY_S
        )

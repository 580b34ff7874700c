"""A VM's share of the connections that a target accepts from all."""

__all__ = ['connection_share']

#: Part of a target's limit that is used: a VM that joins needs room before
#: the others have heard of it.
USED = 0.9
#: Connections that are worth keeping to one target.
MOST = 8


def connection_share(limit: int, vms: int) -> int:
    """Return how many connections a VM may have to one target.

    Parameters
    ----------
    limit : int
        Connections that the target accepts from all VMs together.
    vms : int
        VMs that are alive.

    Examples
    --------
    >>> connection_share(30, 6), connection_share(26, 9)
    (4, 2)
    >>> connection_share(72, 79)
    1
    """
    return min(MOST, max(1, int(limit * USED / max(1, vms))))

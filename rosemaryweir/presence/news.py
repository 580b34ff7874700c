"""Spreads what has changed to all VMs, each change a bounded number of times.

A fleet that restarts as a whole has one change for each VM.  If every VM sent
all it knows until nothing new came, the bytes would grow with the square of
the number of VMs for as long as any of them restarts.
"""

from collections.abc import Sequence

__all__ = ['NewsQueue']

#: Heartbeats of each VM that carry a change.  With `LOCAL_FAN_OUT`
#: recipients each, all but a negligible share of the VMs receive it.
REPEATS = 2


class NewsQueue:
    """Names of VMs whose state this VM has yet to pass on.

    Examples
    --------
    >>> news = NewsQueue()
    >>> news.add('vm-1')
    >>> news.add('vm-2')
    >>> [news.take(1) for _ in range(5)]
    [['vm-1'], ['vm-2'], ['vm-1'], ['vm-2'], []]
    """

    def __init__(self) -> None:
        self._repeats_left: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self._repeats_left)

    def add(self, name: str) -> None:
        """Pass on the state of a VM again from now on."""
        self._repeats_left[name] = REPEATS

    def take(self, limit: int) -> Sequence[str]:
        """Return the names for one heartbeat, the least repeated first."""
        # The sort is stable, so that among equals the oldest is the first.
        ranked = sorted(
            self._repeats_left, key=self._repeats_left.__getitem__, reverse=True
        )
        taken = ranked[:limit]
        for name in taken:
            self._repeats_left[name] -= 1
            if not self._repeats_left[name]:
                self._repeats_left.pop(name)
        return taken

"""Limits the bytes of incomplete replies that a process holds in memory."""

from collections.abc import Callable, Hashable

__all__ = ['ReplyBuffers']


class ReplyBuffers:
    """Bytes of incomplete replies, by connection.

    Load pattern: many targets at once send bytes without end. A limit for each
    connection alone then exceeds the memory of a small VM. Above the limit
    the connection that holds most bytes is cut: a sound reply is small and
    ends soon.

    Parameters
    ----------
    limit : int
        Maximum number of bytes held by all connections together.

    Attributes
    ----------
    total : int
        Bytes held now.
    cut_count : int
        Number of connections that were cut.

    Examples
    --------
    >>> buffers = ReplyBuffers(limit=100)
    >>> buffers.hold('a', 60, cut=lambda: print('a is cut'))
    >>> buffers.hold('b', 50, cut=lambda: print('b is cut'))
    a is cut
    >>> buffers.total
    50
    """

    def __init__(self, limit: int) -> None:
        self.total = 0
        self.cut_count = 0
        self._limit = limit
        self._held: dict[Hashable, tuple[int, Callable[[], None]]] = {}

    def hold(self, owner: Hashable, size: int, cut: Callable[[], None]) -> None:
        """Set how many bytes a connection holds; cut some above the limit.

        Parameters
        ----------
        owner : hashable
            The connection.
        size : int
            Bytes of its incomplete reply.
        cut : callable
            Closes the connection and releases its bytes.
        """
        self.release(owner)
        self._held[owner] = (size, cut)
        self.total += size
        while self.total > self._limit:
            largest = max(self._held, key=self._size)
            _, cut_largest = self._held[largest]
            self.release(largest)
            self.cut_count += 1
            cut_largest()

    def release(self, owner: Hashable) -> None:
        """Forget the bytes of a connection."""
        if owner in self._held:
            self.total -= self._size(owner)
            self._held.pop(owner)

    def _size(self, owner: Hashable) -> int:
        return self._held[owner][0]

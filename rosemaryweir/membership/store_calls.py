"""Numbers of store calls, and which of them wait for an answer."""

from typing import NamedTuple

__all__ = ['PendingCall', 'StoreCalls']


class PendingCall(NamedTuple):
    """A call that waits: when it was sent and what it is about."""

    sent: float
    subject: str


class StoreCalls:
    """Calls of one part of a node.

    Parameters
    ----------
    topic : str
        Topic of the part; replies come back by it.

    Examples
    --------
    >>> calls = StoreCalls('config')
    >>> calls.start('head', 1.5)
    'config:1'
    >>> calls.finish('config:1'), calls.finish('config:1')
    (PendingCall(sent=1.5, subject='head'), None)
    """

    def __init__(self, topic: str) -> None:
        self._topic = topic
        self._number = 0
        self._waiting: dict[str, PendingCall] = {}

    def __len__(self) -> int:
        """Return the number of calls that wait."""
        return len(self._waiting)

    def start(self, subject: str, now: float) -> str:
        """Return the identifier of a new call."""
        call = self.new_id()
        self._waiting[call] = PendingCall(now, subject)
        return call

    def new_id(self) -> str:
        """Return an identifier of a call that nobody waits for."""
        self._number += 1
        return f'{self._topic}:{self._number}'

    def finish(self, call: str) -> PendingCall | None:
        """Forget a call; return it if it waited."""
        return self._waiting.pop(call, None)

    def has_pending(self, subject: str) -> bool:
        """Return whether a call about a subject waits."""
        return any(call.subject == subject for call in self._waiting.values())

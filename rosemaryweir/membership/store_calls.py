"""Identifiers of store calls, and the calls that await a reply."""

from typing import NamedTuple

__all__ = ['PendingCall', 'StoreCalls']


class PendingCall(NamedTuple):
    """A call without a reply: when it was sent, and its subject."""

    sent: float
    subject: str


class StoreCalls:
    """Store calls of one part of a node.

    Parameters
    ----------
    topic : str
        Topic of the part; replies are routed to the part by it.

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
        self._pending: dict[str, PendingCall] = {}

    def __len__(self) -> int:
        """Return the number of pending calls."""
        return len(self._pending)

    def start(self, subject: str, now: float) -> str:
        """Register a call and return its identifier."""
        call = self.new_id()
        self._pending[call] = PendingCall(now, subject)
        return call

    def new_id(self) -> str:
        """Return an identifier for a call that is not registered."""
        self._number += 1
        return f'{self._topic}:{self._number}'

    def finish(self, call: str) -> PendingCall | None:
        """Remove a call; return it if it was pending."""
        return self._pending.pop(call, None)

    def has_pending(self, subject: str) -> bool:
        """Return whether a call about a subject is pending."""
        return any(call.subject == subject for call in self._pending.values())

"""Log lines at a bounded rate, written without ever waiting."""

import os
import sys
from collections.abc import Mapping
from typing import Any, Protocol

from rosemaryweir.node.log_events import register_event

__all__ = ['EventSink', 'NonBlockingWriter', 'RateLimitedLog', 'stdout_writer']

DROPPED = register_event(
    890,
    'log.dropped',
    'warning',
    'Log lines were dropped since the last such line: there were more than '
    'the bound, or standard output took no more.',
)
#: Lines a second, and at once: what one processor share bears under load.
LINES_PER_S = 25.0
BURST = 120.0


class EventSink(Protocol):
    """Whatever writes numbered events."""

    def event(self, number: int, fields: Mapping[str, Any]) -> None:
        """Write an event."""


class NonBlockingWriter:
    """A file-like object over a descriptor that doesn't block.

    Attributes
    ----------
    dropped : int
        Writes that found no room.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor

    def write(self, text: str) -> int:
        """Write a line, or drop it when the reader is behind."""
        try:
            os.write(self._descriptor, text.encode())
        except BlockingIOError:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written at once."""


def stdout_writer() -> NonBlockingWriter:
    """Return a writer to standard output, set not to block."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return NonBlockingWriter(descriptor)


class RateLimitedLog:
    """Passes on events while there are tokens, and counts the others.

    Parameters
    ----------
    sink : EventSink
        Takes the events.
    """

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._tokens = BURST
        self._filled = 0.0
        self._dropped = 0

    def event(
        self,
        number: int,
        fields: Mapping[str, Any],
        now: float,
        always: bool = False,
    ) -> None:
        """Write an event, if the bound admits it.

        Parameters
        ----------
        number : int
            Its number in the catalogue.
        fields : mapping
            What decided, and the outcome.
        now : float
            Present time.
        always : bool
            Whether it goes past the bound: start, stop, reload.
        """
        gained = (now - self._filled) * LINES_PER_S
        self._tokens = min(BURST, self._tokens + gained)
        self._filled = now
        if self._tokens < 1 and not always:
            self._dropped += 1
            return
        self._tokens -= 1
        if self._dropped:
            self._sink.event(DROPPED, {'lines': self._dropped})
            self._dropped = 0
        self._sink.event(number, fields)

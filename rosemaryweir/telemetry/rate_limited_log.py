"""Writes log events at a limited rate and without blocking."""

import os
import sys
from collections.abc import Mapping
from typing import Any, Protocol

from rosemaryweir.telemetry.log_events import register_event

__all__ = ['EventSink', 'NonBlockingWriter', 'RateLimitedLog', 'stdout_writer']

DROPPED = register_event(
    890,
    'log.dropped',
    'warning',
    'Log lines have been dropped since the last event of this kind: they '
    'exceeded the rate limit, or standard output accepted no more.',
)
#: Sustained rate of log lines, in lines per second.  Together with the burst it
#: is what the share of a CPU that a process gets can sustain under load.
LINES_PER_S = 25.0
#: Maximum number of lines in a burst.
BURST_LINES = 120.0


class EventSink(Protocol):
    """Destination of numbered log events."""

    def event(self, number: int, fields: Mapping[str, Any]) -> None:
        """Write an event."""


class NonBlockingWriter:
    """A file-like object that writes to a non-blocking descriptor.

    Attributes
    ----------
    dropped : int
        Number of writes dropped because the descriptor accepted no data.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor

    def write(self, text: str) -> int:
        """Write a line, or drop it if the descriptor accepts no data."""
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            # Full, or its reader has gone: the process goes on without.
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines aren't buffered."""


def stdout_writer() -> NonBlockingWriter:
    """Make standard output non-blocking and return a writer to it."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return NonBlockingWriter(descriptor)


class RateLimitedLog:
    """Limits the rate of log events with a token bucket.

    The number of dropped events is logged before the next one that is written.

    Parameters
    ----------
    sink : EventSink
        Receives the events within the limit.
    """

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._tokens = BURST_LINES
        self._refilled_at = 0.0
        self._dropped = 0

    def event(
        self,
        number: int,
        fields: Mapping[str, Any],
        now: float,
        always: bool = False,
    ) -> None:
        """Write an event, if the rate limit allows it.

        Parameters
        ----------
        number : int
            Number of the event in the catalogue.
        fields : mapping
            Values that led to the event, and its outcome.
        now : float
            Current time, in seconds.
        always : bool
            Whether the limit doesn't apply, as for start, stop and reload.
        """
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 and not always:
            self._dropped += 1
            return
        self._tokens -= 1
        if self._dropped:
            self._sink.event(DROPPED, {'lines': self._dropped})
            self._dropped = 0
        self._sink.event(number, fields)

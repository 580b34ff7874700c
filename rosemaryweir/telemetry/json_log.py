"""Writes numbered log events as JSON lines with msgspec.

The lines have the fields of those that `rosemaryweir.daemons.logs` writes with
structlog, which takes a tenth of the VM program's start to import.
"""

from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any, Protocol

import msgspec

from rosemaryweir.telemetry.log_events import log_event_kind

__all__ = ['JsonLog']


class TextStream(Protocol):
    """A stream that accepts text."""

    def write(self, text: str) -> int:
        """Write text."""


class JsonLog:
    """Log events of one process as JSON lines.

    Parameters
    ----------
    process : str
        Name of the process, which is part of each line.
    stream : TextStream
        Receives the lines.
    wall : callable
        Returns the wall-clock time, in seconds since the epoch.

    Examples
    --------
    >>> import sys
    >>> JsonLog('a', sys.stdout, lambda: 0.5).event(0, {})
    ... # doctest: +ELLIPSIS
    {"process":"a","number":0,"fields":{},...:"1970-01-01T00:00:00.500000Z"}
    """

    def __init__(
        self, process: str, stream: TextStream, wall: Callable[[], float]
    ) -> None:
        self._process = process
        self._stream = stream
        self._wall = wall
        self._encoder = msgspec.json.Encoder(enc_hook=repr)

    def event(self, number: int, fields: Mapping[str, Any]) -> None:
        """Write a log event by its number."""
        kind = log_event_kind(number)
        line = {
            'process': self._process,
            'number': number,
            'fields': fields,
            'event': kind.name if kind else 'unregistered',
            'level': kind.level if kind else 'error',
            'timestamp': datetime.fromtimestamp(self._wall(), UTC),
        }
        self._stream.write(f'{self._encoder.encode(line).decode()}\n')

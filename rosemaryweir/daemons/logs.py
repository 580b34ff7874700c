"""Output of numbered log events as JSON lines with structlog."""

import logging
import sys
from collections.abc import Mapping
from typing import Any, Protocol, cast

import structlog

from rosemaryweir.node.action import LogEvent
from rosemaryweir.node.state import NodeUid
from rosemaryweir.telemetry.log_events import log_event_kind

__all__ = ['EventLog', 'configure_logs']

DEFAULT_LEVEL = 'info'


class _Logger(Protocol):
    """The methods of a structlog logger that are used here."""

    def log(self, level: int, event: str, **fields: Any) -> None:
        """Log one event."""


def configure_logs(
    level: str = DEFAULT_LEVEL,
    stream: Any = None,
) -> None:
    """Write log events of a minimum level to a stream.

    Parameters
    ----------
    level : str
        Minimum level.
    stream : file-like, optional
        Output stream; standard error by default.
    """
    least = _LEVELS[level]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(default=repr),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(least),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
    )


class EventLog:
    """Writes the log events of one process.

    Parameters
    ----------
    uid : NodeUid
        Identity of the process, which is part of each line.
    """

    def __init__(self, uid: NodeUid) -> None:
        logger = structlog.get_logger(process=uid.name)
        self._logger = cast(_Logger, logger)

    def write(self, action: LogEvent) -> None:
        """Write the log event of an action."""
        self.event(action.number, action.fields)

    def event(self, number: int, fields: Mapping[str, Any]) -> None:
        """Write a log event by its number."""
        kind = log_event_kind(number)
        level = _LEVELS[kind.level] if kind else logging.ERROR
        name = kind.name if kind else 'unregistered'
        self._logger.log(level, name, number=number, fields=dict(fields))


_LEVELS: Mapping[str, int] = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}

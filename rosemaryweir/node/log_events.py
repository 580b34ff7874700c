"""The catalogue of numbered log events.

Each subpackage registers its events beside the code that logs them; the page
``docs/EVENTS.md`` is made from the registry.  Numbers: 100 node, 200 query,
300 targets, 400 orders, 500 config, 600 membership, 700 daemons, 800 gateway
and VMs on the platform.
"""

from typing import NamedTuple

__all__ = [
    'LogEventKind',
    'log_event_kind',
    'log_event_kinds',
    'register_event',
]


class LogEventKind(NamedTuple):
    """A kind of log event.

    Parameters
    ----------
    number : int
        Stable number; never given to another meaning.
    name : str
        Dotted name, such as ``target.ejected``.
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    text : str
        What it means and what to do, for the operators' page.
    """

    number: int
    name: str
    level: str
    text: str


_KINDS: dict[int, LogEventKind] = {}


def register_event(number: int, name: str, level: str, text: str) -> int:
    """Register a kind of event and return its number.

    Raises
    ------
    ValueError
        If the number already has another meaning.
    """
    kind = LogEventKind(number, name, level, text)
    if _KINDS.setdefault(number, kind) != kind:
        raise ValueError(f'event {number} is registered twice')
    return number


def log_event_kind(number: int) -> LogEventKind | None:
    """Return the kind of a number."""
    return _KINDS.get(number)


def log_event_kinds() -> list[LogEventKind]:
    """Return every registered kind, by number."""
    return sorted(_KINDS.values())

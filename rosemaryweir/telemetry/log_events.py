"""Registry of the kinds of log events.

Each package registers its kinds beside the code that logs them, and
``docs/EVENTS.md`` is generated from the registry.  Numbers start at 100 for
node, 200 for query, 300 for targets, 400 for orders, 500 for config, 600 for
membership, 700 for daemons, and 800 for gateway and VMs on the platform.
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
        Stable number; never reused for another kind.
    name : str
        Dotted name, such as ``target.ejected``.
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    text : str
        Meaning and remedy, for the operators' page.
    """

    number: int
    name: str
    level: str
    text: str


_KINDS: dict[int, LogEventKind] = {}


def register_event(number: int, name: str, level: str, text: str) -> int:
    """Register a kind of log event and return its number.

    Raises
    ------
    ValueError
        If the number is registered for another kind.
    """
    kind = LogEventKind(number, name, level, text)
    if _KINDS.setdefault(number, kind) != kind:
        raise ValueError(
            f'log event {number} is already registered for another kind'
        )
    return number


def log_event_kind(number: int) -> LogEventKind | None:
    """Return the kind with a number, or None."""
    return _KINDS.get(number)


def log_event_kinds() -> list[LogEventKind]:
    """Return all registered kinds, ordered by number."""
    return sorted(_KINDS.values())

"""The catalogue of numbered log events.

Each subpackage registers its events beside the code that logs them; the page
``docs/EVENTS.md`` is made from the registry.  Numbers: 100 node, 200 query,
300 targets, 400 orders, 500 config, 600 membership, 700 daemons, 800 gateway
and VMs on the platform.
"""

from typing import NamedTuple

__all__ = ['EventKind', 'catalogue', 'event_kind', 'register_event']


class EventKind(NamedTuple):
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


_KINDS: dict[int, EventKind] = {}


def register_event(number: int, name: str, level: str, text: str) -> int:
    """Register a kind of event and return its number.

    Raises
    ------
    ValueError
        If the number already has another meaning.
    """
    kind = EventKind(number, name, level, text)
    if _KINDS.setdefault(number, kind) != kind:
        raise ValueError(f'event {number} is registered twice')
    return number


def event_kind(number: int) -> EventKind | None:
    """Return the kind of a number."""
    return _KINDS.get(number)


def catalogue() -> list[EventKind]:
    """Return every registered kind, by number."""
    return sorted(_KINDS.values())

"""Base class and registry of the parts that a node is composed of.

A part declares the events it handles with the decorator `handles`, and the
roles whose nodes contain it with the decorator `part_of`::

    @part_of('entry')
    class Directory(Part):
        @handles(CallerRequest, 'directory')
        def answer(self, event, now): ...
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from random import Random
from typing import Any, ClassVar, TypeVar

from rosemaryweir.node.action import Action
from rosemaryweir.node.event import Event
from rosemaryweir.node.state import NodeState

__all__ = ['Part', 'arrange_parts', 'handles', 'part_of', 'parts_of']

Handler = Callable[[Any, Any, float], Iterable[Action]]
HandlerKey = tuple[type, str | None]
PartType = TypeVar('PartType', bound=type['Part'])

_ROLES: dict[str, list[type['Part']]] = {}


def handles(
    event_type: type[Event],
    topic: str | None = None,
) -> Callable[[Handler], Handler]:
    """Mark a method as the handler of a type of event.

    Parameters
    ----------
    event_type : type
        One of the types of `rosemaryweir.node.event`.
    topic : str, optional
        Restricts the handler to this topic; by default it gets all topics.
    """

    def decorate(function: Handler) -> Handler:
        keys: list[HandlerKey] = getattr(function, 'handled_events', [])
        function.handled_events = [  # type: ignore[attr-defined]
            *keys,
            (event_type, topic),
        ]
        return function

    return decorate


class Part:
    """A component that handles events and returns actions, without I/O.

    Parameters
    ----------
    state : NodeState
        State shared by the parts of a node.
    rng : random.Random
        Random number generator; a part uses no other.

    Notes
    -----
    A part does no I/O and reads no clock.  Handlers are called with
    ``(event, now)`` and return or yield actions.
    """

    handlers: ClassVar[dict[HandlerKey, str]] = {}

    def __init__(self, state: NodeState, rng: Random) -> None:
        self.state = state
        self.rng = rng

    def __init_subclass__(cls) -> None:
        """Collect the handlers of the class."""
        cls.handlers = dict(cls.handlers)
        for name, function in cls.__dict__.items():
            for key in getattr(function, 'handled_events', ()):
                cls.handlers[key] = name

    def next_wake(self) -> float | None:
        """Return the time at which `wake` must run, or None."""
        return None

    def wake(self, now: float) -> Iterable[Action]:
        """Run the timers due at `now`; return the actions."""
        return ()

    def busy(self, now: float) -> bool:
        """Return whether a graceful shutdown must wait for this part."""
        return False

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the section of this part on the status page."""
        return {}


def part_of(*roles: str) -> Callable[[PartType], PartType]:
    """Register a part for the nodes of the given roles.

    Roles are ``entry``, ``leaf`` and ``agent``.
    """

    def decorate(part_type: PartType) -> PartType:
        for role in roles:
            _ROLES.setdefault(role, []).append(part_type)
        return part_type

    return decorate


def parts_of(role: str) -> tuple[type[Part], ...]:
    """Return the types of the parts of a role, in order."""
    return tuple(_ROLES.get(role, ()))


def arrange_parts(modules: Sequence[str]) -> None:
    """Sort the parts of every role by the order of their modules.

    Parts get events in this order, regardless of the order of imports.
    """
    ranks = {module: rank for rank, module in enumerate(modules)}
    for role, parts in _ROLES.items():
        _ROLES[role] = sorted(parts, key=partial(_rank, ranks))


def _rank(ranks: Mapping[str, int], part_type: type[Part]) -> int:
    return ranks[part_type.__module__]

"""The registry of steps at which a fault strikes.

A step names something that the fakes see; the fault strikes when it is seen
next.  Queries and orders are always under way; a step of a note or of a
shutdown begins one.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

__all__ = ['Step', 'steps']

LEAVER = 'vm-002'

#: A world; typed loosely as it is defined on top of the steps.
World = Any
Begin = Callable[[World], None]


class Step(NamedTuple):
    """A step of a query, an order, a note or a shutdown."""

    name: str
    tap: str
    begin: Begin


def _nothing(world: World) -> None:
    """Begin nothing: traffic is under way."""


def _note(world: World) -> None:
    world.submit({'changed': {'classes': {'street': {'deadline_ms': 450}}}})


def _shutdown(world: World) -> None:
    world.seen.see('shutdown')
    world.shut_down(LEAVER)


def _shutdown_later(world: World) -> None:
    _shutdown(world)
    cluster = world.cluster
    cluster.scheduler.after(2.0, world.seen.see, 'shutdown later')


_STEPS: dict[str, Step] = {}


def register_step(name: str, tap: str, begin: Begin = _nothing) -> None:
    """Register a step under a name."""
    _STEPS[name] = Step(name, tap, begin)


def steps() -> dict[str, Step]:
    """Return the registered steps by name."""
    return dict(_STEPS)


register_step('query asked', 'ask query')
register_step('query scattered', 'message sub_query')
register_step('query runs', 'run query')
register_step('query partials return', 'message partials')
register_step('query answered', 'answer query')
register_step('order claimed', 'put orders')
register_step('order sent', 'message order_send')
register_step('order runs', 'run order')
register_step('order result returns', 'message order_result')
register_step('note asked', 'ask note', _note)
register_step('note written', 'put config', _note)
register_step('note passed on', 'message configured', _note)
register_step('shutdown asked', 'shutdown', _shutdown)
register_step('shutdown releases targets', 'message released', _shutdown)
register_step('shutdown written to view', 'put views', _shutdown)
register_step('shutdown drains', 'shutdown later', _shutdown_later)

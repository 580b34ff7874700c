"""Registry of the steps at which faults are injected.

A step names a trigger that the fakes see; the faults are injected when the
trigger is seen next.  Queries and orders run all the time; a step of a note
or of a shutdown starts one.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

__all__ = ['Step', 'steps']

SHUTDOWN_VM = 'vm-002'

#: A `FaultScenario`, whose module imports this one.
Scenario = Any
BeginStep = Callable[[Scenario], None]


class Step(NamedTuple):
    """A step in the course of a query, an order, a note or a shutdown."""

    name: str
    trigger: str
    begin: BeginStep


def _no_action(scenario: Scenario) -> None:
    """Do nothing: queries and orders run all the time."""


def _submit_note(scenario: Scenario) -> None:
    scenario.submit({'changed': {'classes': {'street': {'deadline_ms': 450}}}})


def _begin_shutdown(scenario: Scenario) -> None:
    scenario.observer.notify('shutdown')
    scenario.shut_down(SHUTDOWN_VM)


def _begin_shutdown_late(scenario: Scenario) -> None:
    _begin_shutdown(scenario)
    cluster = scenario.cluster
    cluster.scheduler.after(2.0, scenario.observer.notify, 'shutdown later')


_STEPS: dict[str, Step] = {}


def register_step(
    name: str, trigger: str, begin: BeginStep = _no_action
) -> None:
    """Register a step under a name."""
    _STEPS[name] = Step(name, trigger, begin)


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
register_step('note asked', 'ask note', _submit_note)
register_step('note written', 'put config', _submit_note)
register_step('note passed on', 'message configured', _submit_note)
register_step('shutdown asked', 'shutdown', _begin_shutdown)
register_step('shutdown releases targets', 'message released', _begin_shutdown)
register_step('shutdown written to view', 'put views', _begin_shutdown)
register_step('shutdown drains', 'shutdown later', _begin_shutdown_late)

"""Compose the parts of a role into a node and dispatch events to them.

A daemon, a test or a benchmark drives a `Node`: it passes events and the
present time, and carries out the actions returned.
"""

from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Any

from rosemaryweir.node.action import (
    Action,
    Exit,
    LogEvent,
    Metric,
    ReplyCaller,
)
from rosemaryweir.node.event import CallerRequest, Event, ShutdownAsked, Wake
from rosemaryweir.node.part import Part, parts_of
from rosemaryweir.node.state import NodeState, NodeUid
from rosemaryweir.schema.generated.settings import Settings
from rosemaryweir.telemetry.histogram import HistogramSet
from rosemaryweir.telemetry.log_events import register_event

__all__ = ['Node']

PART_FAILED = register_event(
    100,
    'node.part_failed',
    'error',
    'A part raised an exception: its request failed, the node goes on. A bug.',
)
EVENT_UNHANDLED = register_event(
    101,
    'node.event_unclaimed',
    'debug',
    'No part handles this type and topic of event; it was dropped.',
)

HTTP_OK = 200
HTTP_INTERNAL_ERROR = 500
STATUS_TOPIC = 'status'
LATENCY_TOPIC = 'latency'
TIME_METRIC = 'time'

BoundHandler = Callable[[Any, float], Iterable[Action]]


class Node:
    """One process of the system without its I/O.

    Parameters
    ----------
    state : NodeState
        State shared by the parts.
    parts : iterable of Part
        The parts, in the order in which they get events.

    Notes
    -----
    An event that no part handles is logged and dropped.  An exception in a
    part fails that request and is logged; the node continues, and the other
    parts still handle the event.

    See Also
    --------
    rosemaryweir.node.part : how parts declare the events they handle.
    """

    def __init__(self, state: NodeState, parts: Iterable[Part]) -> None:
        self.state = state
        self.parts = tuple(parts)
        self.histograms = HistogramSet()
        self._exited = False
        self._handlers: dict[tuple[type, str | None], list[BoundHandler]] = {}
        for part in self.parts:
            self._register(part)
        self._pages: dict[str, Callable[[float], dict[str, Any]]] = {
            STATUS_TOPIC: self.status,
            LATENCY_TOPIC: self.latency,
        }

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        role: str,
        incarnation: int,
        rng: Random,
    ) -> 'Node':
        """Create the node of a role from the settings of its VM.

        Parameters
        ----------
        settings : Settings
            Validated settings.
        role : str
            ``entry``, ``leaf`` or ``agent``.
        incarnation : int
            Wall-clock time of the start, in ms.
        rng : random.Random
            Random number generator of all parts.
        """
        state = NodeState(NodeUid(settings['vm'], role, incarnation), settings)
        return cls(state, (part(state, rng) for part in parts_of(role)))

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event; return the actions to carry out, in order."""
        actions = list(self._dispatch(event, now))
        self._record_times(actions)
        if self.state.leaving and not self._exited and not self.busy(now):
            self._exited = True
            actions.append(Exit())
        return actions

    def busy(self, now: float) -> bool:
        """Return whether a graceful shutdown must wait for a part."""
        return any(part.busy(now) for part in self.parts)

    def status(self, now: float) -> dict[str, Any]:
        """Return the status page."""
        state = self.state
        return {
            'vm': state.uid.vm,
            'role': state.uid.role,
            'incarnation': state.uid.incarnation,
            'generation': state.config['generation'],
            'views': dict(state.view_versions()),
            'serving': state.may_start(now) and not state.leaving,
            'leaving': state.leaving,
            'reason': state.lease.reason,
            'latency_ms': self.histograms.summaries(),
            'parts': {
                type(part).__name__: dict(part.status(now))
                for part in self.parts
            },
        }

    def latency(self, now: float) -> dict[str, Any]:
        """Return the bins of all latency histograms, by name and labels."""
        return {
            'vm': self.state.uid.vm,
            'role': self.state.uid.role,
            'histograms': self.histograms.bins(),
        }

    def next_wake(self) -> float | None:
        """Return the time of the next timer, or None."""
        wakes = (part.next_wake() for part in self.parts)
        return min((wake for wake in wakes if wake is not None), default=None)

    def part(self, part_type: type[Part]) -> Any:
        """Return the part of a type; raise ``LookupError`` if there is none."""
        for part in self.parts:
            if isinstance(part, part_type):
                return part
        raise LookupError(part_type.__name__)

    def _dispatch(self, event: Event, now: float) -> Iterable[Action]:
        if isinstance(event, Wake):
            return self._wake(now)
        if isinstance(event, CallerRequest) and event.topic in self._pages:
            page = self._pages[event.topic](now)
            return (ReplyCaller(event.req, HTTP_OK, page),)
        if isinstance(event, ShutdownAsked):
            self.state.leaving = True
        return self._call_handlers(event, now)

    def _call_handlers(self, event: Event, now: float) -> list[Action]:
        handlers = [
            *self._handlers.get((type(event), event.topic), ()),
            *self._handlers.get((type(event), None), ()),
        ]
        if not handlers and not isinstance(event, ShutdownAsked):
            return [LogEvent(EVENT_UNHANDLED, {'event': type(event).__name__})]
        return [
            action
            for handler in handlers
            for action in _call_safely(handler, event, now)
        ]

    def _record_times(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Metric) and action.kind == TIME_METRIC:
                self.histograms.record(action.name, action.amount, action.tags)

    def _register(self, part: Part) -> None:
        for key, name in part.handlers.items():
            self._handlers.setdefault(key, []).append(getattr(part, name))

    def _wake(self, now: float) -> Iterator[Action]:
        for part in self.parts:
            due = part.next_wake()
            if due is not None and due <= now:
                yield from _call_safely(_wake_handler(part), None, now)


def _wake_handler(part: Part) -> BoundHandler:
    return lambda _, now: part.wake(now)


def _call_safely(
    handler: BoundHandler,
    event: Event | None,
    now: float,
) -> list[Action]:
    actions: list[Action] = []
    try:
        actions.extend(handler(event, now))
    except Exception as exc:  # noqa: BLE001
        actions.append(
            LogEvent(
                PART_FAILED,
                {'event': type(event).__name__, 'error': repr(exc)},
            ),
        )
        if isinstance(event, CallerRequest):
            actions.append(_internal_error(event.req))
    return actions


def _internal_error(req: int) -> ReplyCaller:
    body = {
        'reason': 'internal',
        'ran': 'unknown',
        'detail': 'internal error while handling the request',
    }
    return ReplyCaller(req, HTTP_INTERNAL_ERROR, body)

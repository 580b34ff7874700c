"""The composed node: one process of the system without its I/O.

`Node` composes the parts of a role and dispatches events to them.  A daemon,
a test or a bench drives it: it gives events and the present time, and carries
out the actions that come back.
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
from rosemaryweir.node.log_events import register_event
from rosemaryweir.node.part import Part, parts_of
from rosemaryweir.node.state import NodeState, NodeUid
from rosemaryweir.schema.generated.settings import Settings
from rosemaryweir.telemetry.histogram import HistogramSet

__all__ = ['Node']

PART_FAILED = register_event(
    100,
    'node.part_failed',
    'error',
    'A decider raised: the one request failed, the node goes on. A defect.',
)
EVENT_UNCLAIMED = register_event(
    101,
    'node.event_unclaimed',
    'debug',
    'An event that answers nothing known; it was dropped.',
)

HTTP_OK = 200
HTTP_INTERNAL_ERROR = 500
STATUS_TOPIC = 'status'
LATENCY_TOPIC = 'latency'
TIMING = 'time'

BoundHandler = Callable[[Any, float], Iterable[Action]]


class Node:
    """A process of the system, without its I/O.

    Parameters
    ----------
    state : NodeState
        What the parts share.
    parts : iterable of Part
        The deciders, in the order in which they get events.

    Notes
    -----
    An event that no part takes is counted and dropped.  An exception in a
    part fails the one request and is logged; it ends neither the node nor
    what other parts do with the event.

    See Also
    --------
    rosemaryweir.node.part : how parts declare what they take.
    """

    def __init__(self, state: NodeState, parts: Iterable[Part]) -> None:
        self.state = state
        self.parts = tuple(parts)
        self.histograms = HistogramSet()
        self._exited = False
        self._table: dict[tuple[type, str | None], list[BoundHandler]] = {}
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
        """Compose the node of a role from the settings of its VM.

        Parameters
        ----------
        settings : Settings
            Checked settings.
        role : str
            ``entry``, ``leaf`` or ``agent``.
        incarnation : int
            Wall-clock time of the start, in ms.
        rng : random.Random
            The source of chance of all parts.
        """
        state = NodeState(NodeUid(settings['vm'], role, incarnation), settings)
        return cls(state, (part(state, rng) for part in parts_of(role)))

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event; return the actions that it causes, in order."""
        actions = list(self._dispatch(event, now))
        self._measure(actions)
        if self.state.leaving and not self._exited and not self.busy(now):
            self._exited = True
            actions.append(Exit())
        return actions

    def busy(self, now: float) -> bool:
        """Return whether a graceful shutdown must still wait."""
        return any(part.busy(now) for part in self.parts)

    def status(self, now: float) -> dict[str, Any]:
        """Return what the status page shows, by part."""
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
        """Return the bins of every latency histogram, by name and labels."""
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
        """Return the part of a type; raise ``LookupError`` without one."""
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
        return self._offer(event, now)

    def _offer(self, event: Event, now: float) -> list[Action]:
        handlers = [
            *self._table.get((type(event), event.topic), ()),
            *self._table.get((type(event), None), ()),
        ]
        if not handlers and not isinstance(event, ShutdownAsked):
            return [LogEvent(EVENT_UNCLAIMED, {'event': type(event).__name__})]
        return [
            action
            for handler in handlers
            for action in _guard(handler, event, now)
        ]

    def _measure(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Metric) and action.form == TIMING:
                self.histograms.record(action.name, action.amount, action.tags)

    def _register(self, part: Part) -> None:
        for key, name in part.handlers.items():
            self._table.setdefault(key, []).append(getattr(part, name))

    def _wake(self, now: float) -> Iterator[Action]:
        for part in self.parts:
            due = part.next_wake()
            if due is not None and due <= now:
                yield from _guard(_waker(part), None, now)


def _waker(part: Part) -> BoundHandler:
    return lambda _, now: part.wake(now)


def _guard(
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
        'detail': 'the request failed inside the tier',
    }
    return ReplyCaller(req, HTTP_INTERNAL_ERROR, body)

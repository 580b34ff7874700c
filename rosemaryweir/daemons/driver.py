"""Driver of a node: delivers events and executes actions.

The driver makes no decisions.  It passes each event to the node together with
the time, executes the returned actions in order, and maintains the single
timer that the node requests.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from rosemaryweir.daemons.logs import EventLog
from rosemaryweir.daemons.metrics import Metrics
from rosemaryweir.node.action import (
    Action,
    Exit,
    LogEvent,
    Metric,
    ReplyCaller,
    SendPeer,
    StopListening,
)
from rosemaryweir.node.event import Event, Wake
from rosemaryweir.node.node import Node
from rosemaryweir.node.ports import (
    STORE_CALLS,
    TARGET_CALLS,
    Clock,
    PeerPort,
    StorePort,
    TargetPort,
)
from rosemaryweir.telemetry.log_events import register_event

__all__ = ['Driver']

ACTION_FAILED = register_event(
    701,
    'daemon.action_failed',
    'error',
    'The driver failed to execute an action. This is a software defect.',
)
EVENT_FAILED = register_event(
    704,
    'daemon.event_failed',
    'error',
    'The node raised an exception on an event, and the event was dropped. '
    'This is a software defect.',
)
#: Limits the use of the loop by a node whose timer stays in the past.
MIN_WAKE_INTERVAL_SECONDS = 0.001
#: Delay of the next wake if the node fails to return its time; without a
#: timer the process would stop working.
RETRY_WAKE_SECONDS = 0.1

ActionHandler = Callable[[Any], None]


class Driver:
    """Runs one node on the asyncio loop.

    Parameters
    ----------
    node : Node
        Node to run.
    clock : Clock
        Source of the time; its monotonic time base must be that of the loop.
    log : EventLog
        Destination of log events.
    metrics : Metrics
        Destination of measurements.

    Attributes
    ----------
    finished : asyncio.Future of int
        Exit code; set when the node requests the end of the process.
    """

    def __init__(
        self,
        node: Node,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.node = node
        self.finished: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )
        self._clock = clock
        self._log = log
        self._events: deque[Event] = deque()
        self._dispatching = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float('inf')
        self._handlers: dict[type[Action], ActionHandler] = {
            Exit: self._exit,
            LogEvent: log.write,
            Metric: metrics.record,
        }

    def connect(
        self,
        reply: Callable[[ReplyCaller], None],
        peer: PeerPort,
        store: StorePort,
        target: TargetPort,
        stop_listening: ActionHandler,
    ) -> None:
        """Register the ports that execute actions."""
        handlers: Mapping[type[Action], ActionHandler] = {
            ReplyCaller: reply,
            SendPeer: peer.send,
            StopListening: stop_listening,
            **dict.fromkeys(STORE_CALLS, store.call),
            **dict.fromkeys(TARGET_CALLS, target.call),
        }
        self._handlers.update(handlers)

    def start(self) -> None:
        """Wake the node for the first time, which starts its timers."""
        self.post(Wake())

    def post(self, event: Event) -> None:
        """Pass an event to the node, after the events that are queued."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        while self._events:
            self._handle(self._events.popleft())
        self._dispatching = False
        self._set_timer()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle(self, event: Event) -> None:
        try:
            actions = self.node.handle(event, self._clock.monotonic())
        except Exception as exc:  # noqa: BLE001
            fields = {'event': type(event).__name__, 'error': repr(exc)}
            self._log.event(EVENT_FAILED, fields)
            return
        for action in actions:
            self._execute(action)

    def _execute(self, action: Action) -> None:
        try:
            self._handlers[type(action)](action)
        except Exception as exc:  # noqa: BLE001
            fields = {'action': type(action).__name__, 'error': repr(exc)}
            self._log.event(ACTION_FAILED, fields)

    def _next_wake(self) -> float | None:
        try:
            return self.node.next_wake()
        except Exception as exc:  # noqa: BLE001
            self._log.event(EVENT_FAILED, {'event': 'wake', 'error': repr(exc)})
        return self._clock.monotonic() + RETRY_WAKE_SECONDS

    def _set_timer(self) -> None:
        due = self._next_wake()
        if due == self._timer_at and self._timer is not None:
            return
        self.close()
        if due is None or self.finished.done():
            return
        self._timer_at = due
        earliest = self._clock.monotonic() + MIN_WAKE_INTERVAL_SECONDS
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(max(due, earliest), self._wake)

    def _wake(self) -> None:
        self._timer = None
        self.post(Wake())

    def _exit(self, action: Exit) -> None:
        if not self.finished.done():
            self.finished.set_result(action.code)

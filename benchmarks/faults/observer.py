"""Records what the fakes of a cluster see, without the state of the nodes.

These are requests at targets, messages between processes and store calls.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

from rosemaryweir.node.action import SendTarget, StorePut
from rosemaryweir.node.event import Event, PeerMessage, TargetReply
from rosemaryweir.testing import Cluster, FakeTarget, Process

__all__ = [
    'ClusterObserver',
    'ConnectionId',
    'ConnectionReuse',
    'ObservedGeneration',
    'ReceivedWork',
]

#: Messages that carry the generation which their sender works with.
WORK_MESSAGES = ('sub_query', 'order_send')
#: Cold signs of a restarted target, whose new incarnation shows it: more
#: than any check allows.
RESTART_SIGNS = 1000


class ReceivedWork(NamedTuple):
    """Work that reached a target.

    ``overloaded`` is set if the work made a cold target collapse.
    ``cold_signs`` counts its replies since it turned cold, or is
    `RESTART_SIGNS` after a restart.  ``draining_since`` is infinite if the
    target does not drain.
    """

    when: float
    target: str
    work: str
    started: bool
    overloaded: bool
    cold_signs: int
    draining_since: float


class ConnectionId(NamedTuple):
    """Identifies a connection of a process to a target."""

    process: str
    incarnation: int
    number: int


class ConnectionReuse(NamedTuple):
    """Work that was sent on a connection after a stray reply on it."""

    conn: ConnectionId
    when: float
    stray_at: float


class ObservedGeneration(NamedTuple):
    """The generation of a process, as one of its messages carried it."""

    when: float
    sender: str
    incarnation: int
    generation: int


class ClusterObserver:
    """Wraps the fakes of a cluster and records their events.

    Attributes
    ----------
    received : list of ReceivedWork
        Work that reached targets.
    observed_generations : list of ObservedGeneration
        Generations carried by messages, in the order of arrival.
    sends : dict of str to list of float
        Times at which an order was sent to a leaf, by order key.
    query_runs : dict of str to list of float
        Times at which targets started a query, by its text.
    reuses : list of ConnectionReuse
        Work on connections after a stray reply.
    """

    def __init__(self) -> None:
        self.received: list[ReceivedWork] = []
        self.observed_generations: list[ObservedGeneration] = []
        self.sends: dict[str, list[float]] = {}
        self.query_runs: dict[str, list[float]] = defaultdict(list)
        self.reuses: list[ConnectionReuse] = []
        self._open_attempts: dict[ConnectionId, str] = {}
        self._stray_times: dict[ConnectionId, float] = {}
        self._callbacks: dict[str, list[Callable[[], None]]] = defaultdict(list)
        self._silently_cold: dict[str, int] = {}
        self._started_incarnations: dict[str, int] = {}
        self._drain_times: dict[str, float] = {}
        self._paused_messages: dict[int, PeerMessage] = {}
        self._cluster: Cluster | None = None

    def on_next(self, trigger: str, callback: Callable[[], None]) -> None:
        """Call back once, when the trigger is seen next."""
        self._callbacks[trigger].append(callback)

    def notify(self, trigger: str) -> None:
        """Schedule the callbacks of a trigger that was seen."""
        callbacks = self._callbacks.pop(trigger, ())
        if self._cluster is not None:
            for callback in callbacks:
                self._cluster.scheduler.after(0, callback)

    def size_of(self, message: Any) -> int:
        """Record a sent message; the `size_of` hook of `Cluster`."""
        self.notify(f'message {message["kind"]}')
        if message['kind'] == 'order_send' and self._cluster is not None:
            sent = self.sends.setdefault(message['order_key'], [])
            sent.append(self._cluster.now)
        return 0

    def watch(self, cluster: Cluster) -> None:
        """Wrap the store, the network and the targets of a cluster."""
        self._cluster = cluster
        self._watch_store(cluster)
        self._watch_messages(cluster)
        for target in cluster.targets.values():
            self._watch_target(cluster, target)
            self._watch_cold(target)

    def _watch_store(self, cluster: Cluster) -> None:
        call = cluster.store.call

        def seen(client: str, action: Any, deliver: Any) -> None:
            if isinstance(action, StorePut):
                self.notify(f'put {action.key.partition("/")[0]}')
            call(client, action, deliver)

        cluster.store.call = seen  # type: ignore[method-assign]

    def _watch_messages(self, cluster: Cluster) -> None:
        deliver = cluster.deliver

        def seen(process: Process, event: Event) -> None:
            if isinstance(event, PeerMessage) and not self._was_delayed(event):
                self._record_generation(cluster.now, event)
                if process.paused:
                    self._paused_messages[id(event)] = event
            # Events for a paused process are delivered again when it resumes.
            if isinstance(event, TargetReply) and not process.paused:
                self._record_reply(cluster, process.name, event)
            deliver(process, event)

        cluster.deliver = seen  # type: ignore[method-assign]
        cluster.link.deliver = seen

    def _was_delayed(self, event: PeerMessage) -> bool:
        """Return whether a message was held back for a paused process."""
        return self._paused_messages.pop(id(event), None) is not None

    def _record_generation(self, now: float, event: PeerMessage) -> None:
        if event.topic in WORK_MESSAGES:
            generation = int(event.message['generation'])
            self.observed_generations.append(
                ObservedGeneration(
                    now, event.sender, event.incarnation, generation
                ),
            )

    def _record_reply(
        self,
        cluster: Cluster,
        name: str,
        event: TargetReply,
    ) -> None:
        """Record a stray reply: one that is not for the open attempt."""
        conn = _connection(cluster, name, event.conn)
        if self._open_attempts.get(conn) == event.attempt:
            self._open_attempts.pop(conn)
        else:
            self._stray_times.setdefault(conn, cluster.now)

    def _record_work(
        self,
        cluster: Cluster,
        conn: ConnectionId,
        action: SendTarget,
    ) -> None:
        self._open_attempts[conn] = action.attempt
        stray_at = self._stray_times.get(conn)
        if stray_at is not None:
            self.reuses.append(ConnectionReuse(conn, cluster.now, stray_at))

    def _watch_target(self, cluster: Cluster, target: FakeTarget) -> None:
        receive = target.receive

        def seen(
            conn: tuple[str, int],
            client: str,
            action: SendTarget,
            remaining: float,
        ) -> None:
            runs_before, collapses = len(target.runs), target.collapses
            cold_signs = self._cold_signs(target)
            draining_since = self._draining_since(cluster.now, target)
            self._record_work(cluster, _connection(cluster, *conn), action)
            receive(conn, client, action, remaining)
            self.received.append(
                ReceivedWork(
                    cluster.now,
                    target.name,
                    action.work,
                    len(target.runs) > runs_before,
                    target.collapses > collapses,
                    cold_signs,
                    draining_since,
                ),
            )
            if len(target.runs) > runs_before:
                self.notify(f'run {action.work}')
                if action.work == 'query':
                    self.query_runs[action.body['text']].append(cluster.now)

        target.receive = seen  # type: ignore[method-assign]

    def _cold_signs(self, target: FakeTarget) -> int:
        """Return how many signs the tier has had that a target is cold."""
        silently_cold = (
            self._silently_cold.get(target.name) == target.incarnation
        )
        return target.served if silently_cold else RESTART_SIGNS

    def _watch_cold(self, target: FakeTarget) -> None:
        """Record whether a target turns cold without or with a restart."""
        make_cold = target.make_cold

        def seen() -> None:
            if target.incarnation == self._started_incarnations.get(
                target.name, 1
            ):
                self._silently_cold[target.name] = target.incarnation
            self._started_incarnations[target.name] = target.incarnation
            make_cold()

        target.make_cold = seen  # type: ignore[method-assign]

    def _draining_since(self, now: float, target: FakeTarget) -> float:
        if not target.draining:
            self._drain_times.pop(target.name, None)
            return float('inf')
        return self._drain_times.setdefault(target.name, now)


def _connection(cluster: Cluster, name: str, number: int) -> ConnectionId:
    uid = cluster.processes[name].node.state.uid
    return ConnectionId(name, uid.incarnation, number)

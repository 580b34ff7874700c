"""What the fakes see: targets' work, messages, the store's calls.

Nothing here reads the state of a node.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

from rosemaryweir.node.action import SendTarget, StorePut
from rosemaryweir.node.event import Event, PeerMessage, TargetReply
from rosemaryweir.testing import Cluster, FakeTarget, Process

__all__ = ['Connection', 'Frame', 'Received', 'Reuse', 'Sightings']

#: Messages that say which generation their sender works with.
WORK = ('sub_query', 'order_send')
#: Signs of a target that came up anew.
MANY_SIGNS = 1000


class Received(NamedTuple):
    """Work that reached a target.

    ``overload`` tells that it was more than the cold target bore, ``signs``
    how often it had answered since it turned cold (many if a restart showed
    it), ``drained`` since when it drains; infinite if it does not.
    """

    when: float
    target: str
    work: str
    began: bool
    overload: bool
    signs: int
    drained: float


class Connection(NamedTuple):
    """A connection of one process to a target."""

    process: str
    incarnation: int
    number: int


class Reuse(NamedTuple):
    """Work that came on a connection after a stray reply on it."""

    conn: Connection
    when: float
    strayed: float


class Frame(NamedTuple):
    """A message that told the generation of its sender."""

    when: float
    sender: str
    incarnation: int
    generation: int


class Sightings:
    """Taps at the fakes of a cluster.

    Attributes
    ----------
    received : list of Received
        Work that reached targets.
    frames : list of Frame
        Messages with a generation.
    texts : dict of str to list of float
        When targets began to run a query, by its text.
    reuses : list of Reuse
        Work on connections whose replies could not be trusted any more.
    """

    def __init__(self) -> None:
        self.received: list[Received] = []
        self.frames: list[Frame] = []
        self.sends: dict[str, list[float]] = {}
        self.texts: dict[str, list[float]] = defaultdict(list)
        self.reuses: list[Reuse] = []
        self._open: dict[Connection, str] = {}
        self._strayed: dict[Connection, float] = {}
        self._triggers: dict[str, list[Callable[[], None]]] = defaultdict(list)
        self._chilled: dict[str, int] = {}
        self._started: dict[str, int] = {}
        self._drained: dict[str, float] = {}
        self._waiting: dict[int, PeerMessage] = {}
        self._cluster: Cluster | None = None

    def once(self, tap: str, call: Callable[[], None]) -> None:
        """Run a call when something is seen next."""
        self._triggers[tap].append(call)

    def see(self, tap: str) -> None:
        """Note that something was seen."""
        calls = self._triggers.pop(tap, ())
        if self._cluster is not None:
            for call in calls:
                self._cluster.scheduler.after(0, call)

    def size_of(self, message: Any) -> int:
        """See a message that leaves; a hook of `Cluster`."""
        self.see(f'message {message["kind"]}')
        if message['kind'] == 'order_send' and self._cluster is not None:
            sent = self.sends.setdefault(message['order_key'], [])
            sent.append(self._cluster.now)
        return 0

    def watch(self, cluster: Cluster) -> None:
        """Put the taps in place."""
        self._cluster = cluster
        self._watch_store(cluster)
        self._watch_messages(cluster)
        for target in cluster.targets.values():
            self._watch_target(cluster, target)
            self._watch_chill(target)

    def _watch_store(self, cluster: Cluster) -> None:
        call = cluster.store.call

        def seen(client: str, action: Any, deliver: Any) -> None:
            if isinstance(action, StorePut):
                self.see(f'put {action.key.partition("/")[0]}')
            call(client, action, deliver)

        cluster.store.call = seen  # type: ignore[method-assign]

    def _watch_messages(self, cluster: Cluster) -> None:
        deliver = cluster.deliver

        def seen(process: Process, event: Event) -> None:
            if isinstance(event, PeerMessage) and not self._again(event):
                self._note_frame(cluster.now, event)
                if process.paused:
                    self._waiting[id(event)] = event
            # What waits for a paused process is delivered once more.
            if isinstance(event, TargetReply) and not process.paused:
                self._note_reply(cluster, process.name, event)
            deliver(process, event)

        cluster.deliver = seen  # type: ignore[method-assign]
        cluster.link.deliver = seen

    def _again(self, event: PeerMessage) -> bool:
        """Return whether a message waited for a paused process till now."""
        return self._waiting.pop(id(event), None) is not None

    def _note_frame(self, now: float, event: PeerMessage) -> None:
        if event.topic in WORK:
            generation = int(event.message['generation'])
            self.frames.append(
                Frame(now, event.sender, event.incarnation, generation),
            )

    def _note_reply(
        self,
        cluster: Cluster,
        name: str,
        event: TargetReply,
    ) -> None:
        """Tell a stray reply: another one is open on its connection."""
        conn = _connection(cluster, name, event.conn)
        if self._open.get(conn) == event.attempt:
            self._open.pop(conn)
        else:
            self._strayed.setdefault(conn, cluster.now)

    def _note_work(
        self,
        cluster: Cluster,
        conn: Connection,
        action: SendTarget,
    ) -> None:
        self._open[conn] = action.attempt
        strayed = self._strayed.get(conn)
        if strayed is not None:
            self.reuses.append(Reuse(conn, cluster.now, strayed))

    def _watch_target(self, cluster: Cluster, target: FakeTarget) -> None:
        receive = target.receive

        def seen(
            conn: tuple[str, int],
            client: str,
            action: SendTarget,
            remaining: float,
        ) -> None:
            began, collapses = len(target.runs), target.collapses
            signs = self._signs(target)
            drained = self._draining_since(cluster.now, target)
            self._note_work(cluster, _connection(cluster, *conn), action)
            receive(conn, client, action, remaining)
            self.received.append(
                Received(
                    cluster.now,
                    target.name,
                    action.work,
                    len(target.runs) > began,
                    target.collapses > collapses,
                    signs,
                    drained,
                ),
            )
            if len(target.runs) > began:
                self.see(f'run {action.work}')
                if action.work == 'query':
                    self.texts[action.body['text']].append(cluster.now)

        target.receive = seen  # type: ignore[method-assign]

    def _signs(self, target: FakeTarget) -> int:
        """Return how many signs there are that a target is cold."""
        hidden = self._chilled.get(target.name) == target.incarnation
        return target.served if hidden else MANY_SIGNS

    def _watch_chill(self, target: FakeTarget) -> None:
        """Tell a target that turned cold from one that came up anew."""
        make_cold = target.make_cold

        def seen() -> None:
            if target.incarnation == self._started.get(target.name, 1):
                self._chilled[target.name] = target.incarnation
            self._started[target.name] = target.incarnation
            make_cold()

        target.make_cold = seen  # type: ignore[method-assign]

    def _draining_since(self, now: float, target: FakeTarget) -> float:
        if not target.draining:
            self._drained.pop(target.name, None)
            return float('inf')
        return self._drained.setdefault(target.name, now)


def _connection(cluster: Cluster, name: str, number: int) -> Connection:
    uid = cluster.processes[name].node.state.uid
    return Connection(name, uid.incarnation, number)

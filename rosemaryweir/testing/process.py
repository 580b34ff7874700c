"""Defines simulated processes and callers' requests, and static nodes."""

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any, NamedTuple

from rosemaryweir.node.action import LogEvent
from rosemaryweir.node.event import Event
from rosemaryweir.node.node import Node
from rosemaryweir.node.part import parts_of
from rosemaryweir.node.state import Lease, NodeState, NodeUid
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.schema.generated.control import Member, View
from rosemaryweir.schema.generated.settings import Settings

__all__ = ['Ask', 'Logged', 'Process', 'static_node', 'static_view']


class Ask:
    """A caller's request and its result.

    Attributes
    ----------
    status : int
        HTTP status; 0 before the answer, or if the connection was lost.
    asked : float
        Virtual time at which the caller sent the request.
    answered : float
        Virtual time at which the caller got the answer; 0 before it.
    cut : bool
        Whether the connection was lost before the answer.
    refused : bool
        Whether the connection was lost because no process accepted it.
    on_answer : callable, optional
        Called with the request when the answer arrives or the connection is
        refused.
    """

    def __init__(self, vm: str, topic: str, body: Any, asked: float) -> None:
        self.vm = vm
        self.topic = topic
        self.body = body
        self.asked = asked
        self.status = 0
        self.answer: Any = None
        self.answered = 0.0
        self.cut = False
        self.refused = False
        self.on_answer: Callable[[Ask], None] | None = None


class Logged(NamedTuple):
    """A log event with its virtual time and the name of its process."""

    when: float
    process: str
    event: LogEvent


class Process:
    """A simulated process: a node, its clock and its connections.

    Attributes
    ----------
    offset : float
        Its monotonic clock minus virtual time, in seconds.
    alive, paused, listens : bool
        Whether it has not ended; queues events; accepts requests.
    backlog : list of Event
        Events that arrived while it was paused.
    wake_at : float, optional
        Virtual time of its scheduled wake.
    asks : dict of int to Ask
        Open requests by number.
    conns : dict of int to str
        Target of each connection by its number.
    """

    def __init__(self, node: Node, settings: Settings, offset: float) -> None:
        self.node = node
        self.settings = settings
        self.offset = offset
        self.name = node.state.uid.name
        self.alive = True
        self.paused = False
        self.listens = True
        self.backlog: list[Event] = []
        self.wake_at: float | None = None
        self.asks: dict[int, Ask] = {}
        self.conns: dict[int, str] = {}
        self.exit_code: int | None = None


def static_view(domain: str, settings: Iterable[Settings]) -> View:
    """Return a view in which every VM of a failure domain is alive."""
    members = [
        Member(
            vm=each['vm'],
            domain=each['domain'],
            region=each['region'],
            incarnation=1,
            state='alive',
            load=0.0,
            **each['addresses'],
        )
        for each in settings
        if each['domain'] == domain
    ]
    return View(domain=domain, version=1, members=members)


def static_node(
    uid: NodeUid,
    settings: Mapping[str, Settings],
    config: Config,
    rng: Random,
) -> Node:
    """Return a node without membership parts, with fixed configuration.

    Parameters
    ----------
    uid : NodeUid
        VM, role and incarnation of the process.
    settings : mapping of str to Settings
        Settings of all VMs by name; the views show all of them alive.
    config : Config
        Configuration in force.
    rng : random.Random
        Random number generator.
    """
    state = NodeState(uid, settings[uid.vm])
    state.config = config
    state.lease = Lease(float('inf'), '')
    for domain in config['domains']:
        state.take_view(static_view(domain, settings.values()))
    parts = [
        part(state, rng)
        for part in parts_of(uid.role)
        if not part.__module__.startswith('rosemaryweir.membership')
    ]
    return Node(state, parts)

"""A process in virtual time, callers' requests, and static views."""

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
    """A caller's request and what became of it.

    Attributes
    ----------
    status : int
        HTTP status; 0 while there is none (or the connection was cut).
    answered : float
        Virtual time of the answer at the caller; 0 while there is none.
    cut : bool
        Whether the process ended with the request open.
    refused : bool
        Whether it was cut because nobody took the connection.
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
    """A log event of a process."""

    when: float
    process: str
    event: LogEvent


class Process:
    """One process: a node, its clock offset, and whether it runs."""

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
    """Return the view in which every VM of a failure domain is alive."""
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
    """Return a node without control: what it would be told is in force.

    Parameters
    ----------
    uid : NodeUid
        Which process it is.
    settings : mapping of str to Settings
        Of every VM, by name; all of them are alive in the views.
    config : Config
        The configuration in force.
    rng : random.Random
        Source of chance.
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

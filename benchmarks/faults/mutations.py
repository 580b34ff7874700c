"""Mutations: ways to break the node that the matrix must find.

Each breaks one promise on purpose, in one place; a test runs the cell named
with it and expects a violation of that promise.
"""

import contextlib
from collections.abc import Callable, Iterator
from itertools import chain
from typing import Any, NamedTuple

from rosemaryweir.config import note_service
from rosemaryweir.config.head import NoteWriter
from rosemaryweir.membership import directory_choice
from rosemaryweir.membership.agent_client import AgentClient
from rosemaryweir.membership.directory import Directory
from rosemaryweir.node.action import ReplyCaller
from rosemaryweir.node.event import TargetReply
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import Lease, NodeState
from rosemaryweir.orders import order_completion, order_processor, segment
from rosemaryweir.orders.answer import Denial, answer_order
from rosemaryweir.query.merge import Merge, MergedAnswer
from rosemaryweir.query.request import refuse
from rosemaryweir.query.service import QueryService
from rosemaryweir.schema.generated.control import Member
from rosemaryweir.schema.generated.http import Row
from rosemaryweir.targets.dispatcher import Dispatcher
from rosemaryweir.targets.exclusions import Exclusions
from rosemaryweir.targets.leaf_outbox import LeafOutbox
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.warmth import Warmth

__all__ = ['Mutation', 'applied', 'mutations']


class Mutation(NamedTuple):
    """A defect, the promise that it breaks, and a cell that must show it."""

    name: str
    promise: str
    step: str
    fault: str
    owner: Any
    attribute: str
    broken: Any


_MUTATIONS: dict[str, Mutation] = {}


def mutation(
    name: str,
    promise: str,
    cell: tuple[str, str],
    owner: Any,
    attribute: str,
) -> Callable[[Any], Any]:
    """Register a stand-in for an attribute."""

    def decorate(broken: Any) -> Any:
        step, fault = cell
        stand_in = broken() if isinstance(broken, type) else broken
        _MUTATIONS[name] = Mutation(
            name,
            promise,
            step,
            fault,
            owner,
            attribute,
            stand_in,
        )
        return broken

    return decorate


def mutations() -> dict[str, Mutation]:
    """Return the registered mutations by name."""
    return dict(_MUTATIONS)


@contextlib.contextmanager
def applied(mutant: Mutation) -> Iterator[None]:
    """Break the node for a while."""
    with contextlib.ExitStack() as stack:
        usual = vars(mutant.owner)[mutant.attribute]
        stack.callback(setattr, mutant.owner, mutant.attribute, usual)
        setattr(mutant.owner, mutant.attribute, mutant.broken)
        yield


@mutation(
    'merge across versions',
    'P1',
    ('query runs', 'index change in flight'),
    Merge,
    'answer',
)
def merge_versions(self: Merge, version: int) -> MergedAnswer:
    """Answer with the rows of every version."""
    found = dict(chain.from_iterable(map(dict.items, self._versions.values())))
    rows = {
        shard: Row(shard=shard, key=each[0][0], text=each[0][1])
        for shard, each in found.items()
        if each
    }
    merged = _answer(self, version)
    missing = [shard for shard in self.shards if shard not in rows]
    coverage = merged.coverage
    coverage['missing'] = missing
    coverage['covered'] = len(rows)
    return merged._replace(rows=list(rows.values()))


_answer = Merge.answer


@mutation(
    'claim full coverage',
    'P2',
    ('query runs', 'failure domain lost and returning'),
    Merge,
    'answer',
)
def claim_coverage(self: Merge, version: int) -> MergedAnswer:
    """Say that no shard is missing."""
    merged = _answer(self, version)
    merged.coverage['covered'] = merged.coverage['total']
    merged.coverage['missing'] = []
    return merged


@mutation(
    'ignore the cold limit',
    'P3',
    ('query runs', 'failure domain lost and returning'),
    Warmth,
    'allowed',
)
class FullSlots:
    """Allow every slot at any time."""

    def __get__(self, warmth: Warmth, owner: type) -> int:
        """Return every slot."""
        return warmth.limits.slots


@mutation(
    'ignore that a domain is out',
    'P4',
    ('query runs', 'failure domain withdrawn'),
    NodeState,
    'domain_open',
)
def always_open(self: NodeState, domain: str) -> bool:
    """Take every failure domain for open."""
    return True


@mutation(
    'answer with the reply of another order',
    'P5',
    ('order runs', 'straggler'),
    order_completion,
    'answer_order',
)
def other_reply(req: int, order_key: str, *rest: Any) -> ReplyCaller:
    """Answer every order alike."""
    return answer_order(req, order_key, rest[0], 'ran another', rest[2])


@mutation(
    'take any reply on a connection',
    'P5',
    ('query runs', 'reply crossed'),
    Dispatcher,
    'handle_reply',
)
def take_any(
    self: Dispatcher,
    target_state: LeafTargetState,
    reply: TargetReply,
    now: float,
) -> bool:
    """Take a reply without a look at the attempt that it echoes."""
    conn = target_state.pool.conns.get(reply.conn)
    if conn is not None and conn.current_attempt is not None:
        reply = reply._replace(attempt=conn.current_attempt.attempt_id)
    return _take(self, target_state, reply, now)


@mutation(
    'keep a connection after a stray reply',
    'P5',
    ('query runs', 'reply crossed'),
    Dispatcher,
    'handle_reply',
)
def keep_connection(
    self: Dispatcher,
    target_state: LeafTargetState,
    reply: TargetReply,
    now: float,
) -> bool:
    """Drop a stray reply and nothing else."""
    conn = target_state.pool.conns.get(reply.conn)
    current = None if conn is None else conn.current_attempt
    if current is None or current.attempt_id != reply.attempt:
        return False
    return _take(self, target_state, reply, now)


_take = Dispatcher.handle_reply


@mutation(
    'deny a query with a shard missing',
    'P6',
    ('query runs', 'repartition in flight'),
    QueryService,
    '_reply',
)
def deny_query(self: QueryService, query: Any) -> ReplyCaller:
    """Say that nothing ran unless all shards answered."""
    reply = _reply(self, query)
    if reply.body.get('outcome') == 'complete':
        return reply
    return refuse(reply.req, 'no_capacity', 'shards are missing')


_reply = QueryService._reply


@mutation(
    'deny a note that was accepted',
    'P6',
    ('note written', 'store reply lost after write'),
    note_service,
    'outcome_response',
)
def deny_note(req: int, writer: NoteWriter, outcome: Any) -> ReplyCaller:
    """Refuse whatever became of a note."""
    return refuse(req, 'conflict', 'refused')


@mutation(
    'say not_run when no answer came',
    'P6',
    ('order runs', 'messages lost'),
    order_processor.OrderProcessor,
    '_time_out_sent',
)
def deny_falsely(
    self: order_processor.OrderProcessor, order: Any, now: float
) -> Iterator[Any]:
    """Refuse an order that has left."""
    denial = Denial('deadline', 'not_run', '')
    yield from self.completion.release(order, denial, now)


@mutation(
    'send again after the first byte',
    'P7',
    ('order runs', 'messages lost'),
    order_processor.OrderProcessor,
    '_time_out_sent',
)
def send_again(
    self: order_processor.OrderProcessor, order: Any, now: float
) -> Iterator[Any]:
    """Offer an order to another target when no answer came."""
    order.deadline = now + 1.0
    order.late_deadline = now + 1.0
    self.open_orders.set_timer(order)
    yield from self.sender.resend(order, 'no answer', now)


@mutation(
    'take over the claims of others',
    'P7',
    ('order runs', 'messages lost'),
    segment,
    '_may_claim',
)
def always_free(found: Any, claim: Any, now: float) -> bool:
    """Let every claim win."""
    return found is None or found['attempt'] != claim.attempt_id


@mutation(
    'ignore that a target leaves',
    'P8',
    ('query runs', 'target leaving'),
    Exclusions,
    '__contains__',
)
def never_excluded(self: Exclusions, target: str) -> bool:
    """Exclude no target."""
    return False


@mutation(
    'exit with requests open',
    'P9',
    ('shutdown asked', 'straggler'),
    Node,
    'busy',
)
def never_busy(self: Node, now: float) -> bool:
    """Wait for nothing at shutdown."""
    return False


@mutation(
    'answer members of the present views only',
    'P9',
    ('shutdown asked', ''),
    LeafOutbox,
    'update_members',
)
def forget_leavers(self: LeafOutbox) -> None:
    """Know no address of a VM that is out of its view."""
    self._members = {each['vm']: each for each in self.state.members()}


@mutation(
    'exit while the directory may name this VM',
    'P9',
    ('shutdown asked', ''),
    Directory,
    'busy',
)
def never_named(self: Directory, now: float) -> bool:
    """Wait for no answer of the directory to expire."""
    return False


@mutation(
    'name a VM that is leaving',
    'P9',
    ('shutdown asked', 'store down'),
    directory_choice,
    'usable',
)
def always_usable(member: Member, heard: Any, now: float) -> bool:
    """Name every VM that was heard of."""
    return heard is not None


@mutation(
    'serve an older generation',
    'P10',
    ('note asked', 'straggler'),
    AgentClient,
    '_renew',
)
def serve_first(self: AgentClient) -> Iterator[Any]:
    """Go back to the first configuration, whatever is granted."""
    known = vars(self).setdefault('first', self.state.config)
    if known['generation'] == 0:
        vars(self)['first'] = self.state.config
    self.state.config = vars(self)['first']
    self.state.lease = Lease(self._granted.until, self._granted.reason)
    return iter(())

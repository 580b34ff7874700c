"""Mutations: deliberate defects of the node that the matrix must detect.

Each mutation replaces one attribute so that one promise breaks.  A test runs
the cell that the mutation names and expects a violation of that promise.
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

__all__ = ['Mutation', 'apply_mutation', 'mutations']


class Mutation(NamedTuple):
    """A defect, the promise that it breaks and the cell that detects it."""

    name: str
    promise: str
    step: str
    fault: str
    owner: Any
    attribute: str
    replacement: Any


_MUTATIONS: dict[str, Mutation] = {}


def mutation(
    name: str,
    promise: str,
    cell: tuple[str, str],
    owner: Any,
    attribute: str,
) -> Callable[[Any], Any]:
    """Register the replacement of an attribute.

    A class is instantiated, so that it can replace a property.
    """

    def decorate(defect: Any) -> Any:
        step, fault = cell
        replacement = defect() if isinstance(defect, type) else defect
        _MUTATIONS[name] = Mutation(
            name,
            promise,
            step,
            fault,
            owner,
            attribute,
            replacement,
        )
        return defect

    return decorate


def mutations() -> dict[str, Mutation]:
    """Return the registered mutations by name."""
    return dict(_MUTATIONS)


@contextlib.contextmanager
def apply_mutation(mutant: Mutation) -> Iterator[None]:
    """Apply a mutation while the context is open."""
    with contextlib.ExitStack() as stack:
        original = vars(mutant.owner)[mutant.attribute]
        stack.callback(setattr, mutant.owner, mutant.attribute, original)
        setattr(mutant.owner, mutant.attribute, mutant.replacement)
        yield


@mutation(
    'merge across versions',
    'P1',
    ('query runs', 'index change in flight'),
    Merge,
    'answer',
)
def merge_versions(self: Merge, version: int) -> MergedAnswer:
    """Answer with rows of all index versions."""
    found = dict(chain.from_iterable(map(dict.items, self._versions.values())))
    rows = {
        shard: Row(shard=shard, key=each[0][0], text=each[0][1])
        for shard, each in found.items()
        if each
    }
    merged = _original_answer(self, version)
    missing = [shard for shard in self.shards if shard not in rows]
    coverage = merged.coverage
    coverage['missing'] = missing
    coverage['covered'] = len(rows)
    return merged._replace(rows=list(rows.values()))


_original_answer = Merge.answer


@mutation(
    'claim full coverage',
    'P2',
    ('query runs', 'failure domain lost and returning'),
    Merge,
    'answer',
)
def claim_coverage(self: Merge, version: int) -> MergedAnswer:
    """Report every shard as covered."""
    merged = _original_answer(self, version)
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
    """Property that allows all slots, cold or warm."""

    def __get__(self, warmth: Warmth, owner: type) -> int:
        """Return the slots of a warm target."""
        return warmth.limits.slots


@mutation(
    'ignore that a domain is out',
    'P4',
    ('query runs', 'failure domain withdrawn'),
    NodeState,
    'domain_open',
)
def always_open(self: NodeState, domain: str) -> bool:
    """Treat every failure domain as open."""
    return True


@mutation(
    'answer with the reply of another order',
    'P5',
    ('order runs', 'straggler'),
    order_completion,
    'answer_order',
)
def other_reply(req: int, order_key: str, *rest: Any) -> ReplyCaller:
    """Answer every order with the same reply."""
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
    """Accept a reply without checking the attempt that it echoes."""
    conn = target_state.pool.conns.get(reply.conn)
    if conn is not None and conn.current_attempt is not None:
        reply = reply._replace(attempt=conn.current_attempt.attempt_id)
    return _original_handle_reply(self, target_state, reply, now)


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
    """Drop a stray reply but keep its connection open."""
    conn = target_state.pool.conns.get(reply.conn)
    current = None if conn is None else conn.current_attempt
    if current is None or current.attempt_id != reply.attempt:
        return False
    return _original_handle_reply(self, target_state, reply, now)


_original_handle_reply = Dispatcher.handle_reply


@mutation(
    'deny a query with a shard missing',
    'P6',
    ('query runs', 'repartition in flight'),
    QueryService,
    '_reply',
)
def deny_query(self: QueryService, query: Any) -> ReplyCaller:
    """Answer `not_run` unless all shards answered."""
    reply = _original_reply(self, query)
    if reply.body.get('outcome') == 'complete':
        return reply
    return refuse(reply.req, 'no_capacity', 'shards are missing')


_original_reply = QueryService._reply


@mutation(
    'deny a note that was accepted',
    'P6',
    ('note written', 'store reply lost after write'),
    note_service,
    'outcome_response',
)
def deny_note(req: int, writer: NoteWriter, outcome: Any) -> ReplyCaller:
    """Refuse a note whatever its outcome."""
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
    """Answer `not_run` for an order that was sent to a leaf."""
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
    """Send an unanswered order to another target."""
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
    """Let a claim replace the claim of any other attempt."""
    return found is None or found['attempt'] != claim.attempt_id


@mutation(
    'ignore that a target leaves',
    'P8',
    ('query runs', 'target leaving'),
    Exclusions,
    '__contains__',
)
def never_excluded(self: Exclusions, target: str) -> bool:
    """Treat no target as excluded."""
    return False


@mutation(
    'exit with requests open',
    'P9',
    ('shutdown asked', 'straggler'),
    Node,
    'busy',
)
def never_busy(self: Node, now: float) -> bool:
    """Report no work that delays the exit."""
    return False


@mutation(
    'answer members of the present views only',
    'P9',
    ('shutdown asked', ''),
    LeafOutbox,
    'update_members',
)
def forget_leavers(self: LeafOutbox) -> None:
    """Drop the addresses of VMs that have left their view."""
    self._members = {each['vm']: each for each in self.state.members()}


@mutation(
    'exit while the directory may name this VM',
    'P9',
    ('shutdown asked', ''),
    Directory,
    'busy',
)
def never_named(self: Directory, now: float) -> bool:
    """Exit without waiting until directory answers expire."""
    return False


@mutation(
    'name a VM that is leaving',
    'P9',
    ('shutdown asked', 'store down'),
    directory_choice,
    'usable',
)
def always_usable(member: Member, heard: Any, now: float) -> bool:
    """List every VM that sent a pulse, draining or not."""
    return heard is not None


@mutation(
    'serve an older generation',
    'P10',
    ('note asked', 'straggler'),
    AgentClient,
    '_renew',
)
def serve_first(self: AgentClient) -> Iterator[Any]:
    """Return to the first configuration, whichever one is granted."""
    known = vars(self).setdefault('first', self.state.config)
    if known['generation'] == 0:
        vars(self)['first'] = self.state.config
    self.state.config = vars(self)['first']
    self.state.lease = Lease(self._granted.until, self._granted.reason)
    return iter(())

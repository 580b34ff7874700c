"""Harness that runs a leaf with one service and two targets."""

from random import Random

from rosemaryweir.node.action import (
    CloseConnection,
    OpenConnection,
    SendPeer,
    SendTarget,
)
from rosemaryweir.node.event import (
    ConnectionClosed,
    ConnectionOpened,
    PeerMessage,
    TargetReply,
    Wake,
)
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import Lease, NodeState, NodeUid
from rosemaryweir.targets.service import TargetService

SLOTS, COLD_SLOTS, CONNECTIONS, WARM_AFTER = 3, 1, 10, 4
STARTED_AT = 100.0
READY_AT = STARTED_AT + 3.0


def service(
    work='query', slots=SLOTS, cold=COLD_SLOTS, connections=CONNECTIONS
):
    return {
        'work': work,
        'slots': slots,
        'connections': connections,
        'connect_ms': 1.0,
        'cold_slots': cold,
        'warm_after': WARM_AFTER,
        'layout': 1,
        'shards': {'s': {'targets': ['t', 'u']}},
    }


def config(generation=1, state='in', **changes):
    return {
        'generation': generation,
        'note': 'n',
        'format': 1,
        'services': {'q': service(**changes)},
        'targets': {
            name: {'address': f'127.0.0.1:{port}', 'domain': 'd'}
            for port, name in enumerate(('t', 'u'), 1000)
        },
        'domains': {'d': {'region': 'r', 'state': state}},
        'classes': {},
        'tenants': {},
    }


def member(vm, state='alive'):
    roles = ('entry_http', 'entry_peer', 'leaf_peer', 'agent_peer')
    return {
        'vm': vm,
        'domain': 'd',
        'state': state,
        **{role: f'{vm}/{role}' for role in roles},
    }


def view(version=1, vms=('vm1',)):
    members = [member(vm) for vm in vms]
    return {'domain': 'd', 'version': version, 'members': members}


class LeafHarness:
    """Passes events to a leaf and records its actions by kind.

    Connections open only when a test asks for it.
    """

    def __init__(self, vms=('vm1',)):
        state = NodeState(NodeUid('vm1', 'leaf', 1), {'vm': 'vm1'})
        state.config = config()
        state.lease = Lease(float('inf'), '')
        state.take_view(view(vms=vms))
        self.state = state
        self.part = TargetService(state, Random(1))
        self.node = Node(state, [self.part])
        self.now = STARTED_AT
        self.openings = []
        self.sends = []
        self.closings = []
        self.messages = []
        self.other_actions = []
        self.query_count = 0
        self.handle(Wake())
        self.advance_to(READY_AT)

    def handle(self, event):
        actions = self.node.handle(event, self.now)
        for action in actions:
            if isinstance(action, OpenConnection):
                self.openings.append(action)
            elif isinstance(action, SendTarget):
                self.sends.append(action)
            elif isinstance(action, CloseConnection):
                self.closings.append(action)
            elif isinstance(action, SendPeer):
                self.messages.append(action.message)
            else:
                self.other_actions.append(action)
        return actions

    def advance_to(self, when):
        """Advance the time and run every timer when it is due."""
        while (wake := self.node.next_wake()) is not None and wake <= when:
            self.now = max(self.now, wake)
            self.handle(Wake())
        self.now = when

    def send_query(self, target='t', attempt='', remaining_ms=500.0):
        self.query_count += 1
        attempt = attempt or f'a{self.query_count}'
        pieces = [{'attempt': attempt, 'shard': 's', 'target': target}]
        message = {
            'kind': 'sub_query',
            'query': attempt,
            'service': 'q',
            'layout': 1,
            'version': 1,
            'text': 'x',
            'remaining_ms': remaining_ms,
            'pieces': pieces,
        }
        self.handle(PeerMessage('vm1/entry', 1, message))
        return attempt

    def send_order(self, attempt, target='t', remaining_ms=500.0):
        message = {
            'kind': 'order_send',
            'order_key': f'key-{attempt}',
            'attempt': attempt,
            'service': 'q',
            'target': target,
            'body': 'x',
            'remaining_ms': remaining_ms,
        }
        self.handle(PeerMessage('vm1/entry', 1, message))

    def cancel_query(self, attempt):
        message = {
            'kind': 'cancel_query',
            'query': attempt,
            'attempts': [attempt],
        }
        self.handle(PeerMessage('vm1/entry', 1, message))

    def open_connections(self):
        while self.openings:
            action = self.openings.pop(0)
            self.handle(ConnectionOpened(action.conn, action.target))
            self.advance_to(self.now + 0.003)

    def reply(self, send, status='ok', incarnation=1, **changes):
        target = self.target_of(send.conn)
        fields = {'attempt': send.attempt, 'layout': 1, 'version': 1}
        fields.update(changes)
        event = TargetReply(
            send.conn,
            target,
            status=status,
            incarnation=incarnation,
            **fields,
        )
        self.handle(event)

    def target_of(self, conn):
        for target_state in self.part.registry.target_states.values():
            if conn in target_state.pool.conns:
                return target_state.name
        return 't'

    def close_connection(self, conn, reason='reset', idle=True):
        target = self.target_of(conn)
        self.handle(ConnectionClosed(conn, target, reason, idle))

    def warm_up(self, target='t', replies=30, took=0.01):
        for _ in range(replies):
            self.send_query(target)
            self.open_connections()
            self.advance_to(self.now + took)
            self.reply(self.sends[-1])
        self.advance_to(self.now + 0.01)

    def outcomes(self):
        """Return the outcomes of attempts reported so far."""
        self.advance_to(self.now + 0.002)
        return {
            piece['attempt']: (piece['outcome'], piece['ran'])
            for message in self.messages
            if message['kind'] == 'partials'
            for piece in message['pieces']
        }

    def order_results(self):
        """Return the results of orders reported so far."""
        return [
            (message['attempt'], message['outcome'])
            for message in self.messages
            if message['kind'] == 'order_result'
        ]

    def target_state(self, target='t'):
        return self.part.registry.target_states[target]

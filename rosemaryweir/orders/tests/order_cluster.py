"""Entries with a simulated store and leaves, whose replies a test chooses."""

from random import Random
from typing import NamedTuple

from rosemaryweir.node.action import (
    ReplyCaller,
    SendPeer,
    StoreGet,
    StoreList,
    StorePut,
)
from rosemaryweir.node.event import (
    CallerRequest,
    PeerMessage,
    StoreFailed,
    StoreObject,
    StoreReply,
    Wake,
)
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import Lease, NodeState, NodeUid
from rosemaryweir.orders.segment import decode_segment
from rosemaryweir.orders.service import OrderService
from rosemaryweir.testing import (
    DEPLOYMENTS,
    config_of,
    static_view,
    vm_settings,
)

DEPLOYMENT = DEPLOYMENTS['halvorsen']
CONFIG = config_of(DEPLOYMENT)
SETTINGS = vm_settings(DEPLOYMENT, 3)
SERVICE = 'print-orders'
START_WALL_TIME = 1_800_000_000.0


class PlacedOrder(NamedTuple):
    vm: str
    order_key: str
    body: str
    retry: bool


class PendingAction(NamedTuple):
    """A store call or a sent order that the test has not answered yet."""

    entry: str
    action: object


class OrderCluster:
    """Entries, a store and leaves in virtual time, with their history."""

    def __init__(self, vms=3, seed=1):
        self.now = 0.0
        self.rng = Random(seed)
        self.objects = {}
        self.versions = 0
        self.skew = {}
        self.store_calls = []
        self.sends = []
        self.order_runs = []
        self.placed_orders = {}
        self.answers = {}
        self.outcomes = {}
        self.nodes = {}
        for settings in SETTINGS[:vms]:
            self.start(settings['vm'])

    def start(self, vm):
        """Start an entry as a new incarnation."""
        settings = next(each for each in SETTINGS if each['vm'] == vm)
        incarnation = len(self.placed_orders) + int(self.now * 1000) + 1
        state = NodeState(NodeUid(vm, 'entry', incarnation), settings)
        state.config = CONFIG
        state.lease = Lease(float('inf'), '')
        for domain in CONFIG['domains']:
            state.take_view(static_view(domain, SETTINGS))
        rng = Random(self.rng.getrandbits(32))
        self.nodes[vm] = Node(state, [OrderService(state, rng)])

    def stop(self, vm):
        """Stop an entry; its messages remain in flight."""
        self.nodes.pop(vm, None)
        for req, ask in self.placed_orders.items():
            if ask.vm == vm:
                self.answers.setdefault(req, None)

    def ask(self, vm, order_key='k1', body='b', deadline_ms=1000):
        """Place an order and return the number of the request."""
        req = len(self.placed_orders) + 1
        earlier = [each.order_key for each in self.placed_orders.values()]
        ask = PlacedOrder(vm, order_key, body, order_key in earlier)
        self.placed_orders[req] = ask
        content = {
            'service': SERVICE,
            'order_key': order_key,
            'body': body,
            'deadline_ms': deadline_ms,
            'retry': ask.retry,
        }
        wall = START_WALL_TIME + self.now + self.skew.get(vm, 0)
        event = CallerRequest(req, 'order', content, wall)
        self.send_event(vm, event)
        return req

    def send_event(self, vm, event):
        """Deliver an event to an entry if it is running."""
        if vm in self.nodes:
            for action in self.nodes[vm].handle(event, self.now):
                self._take(vm, action)

    def advance_time(self, seconds):
        """Advance the time; timers run when they are due."""
        until = self.now + seconds
        while True:
            wakes = [
                (wake, vm)
                for vm, node in self.nodes.items()
                if (wake := node.next_wake()) is not None and wake <= until
            ]
            if not wakes:
                break
            wake, vm = min(wakes)
            self.now = max(self.now, wake) + 1e-6
            self.send_event(vm, Wake())
        self.now = max(until, self.now)

    def answer_store(self, index=0, fault=''):
        """Answer a pending store call.

        ``fault`` is ``unavailable``, ``lost`` (the call is not applied),
        ``reply lost`` (it is applied), or empty.
        """
        entry, action = self.store_calls.pop(index)
        if fault == 'unavailable':
            self.send_event(entry, StoreFailed(action.call, 'unavailable'))
        elif fault == 'lost':
            self.send_event(entry, StoreFailed(action.call, 'unknown'))
        else:
            reply = self._apply(action)
            lost = StoreFailed(action.call, 'unknown')
            self.send_event(entry, lost if fault else reply)

    def answer_send(self, index=0, outcome='done', deliver=True):
        """Answer a pending send as its leaf."""
        entry, action = self.sends.pop(index)
        message = action.message
        if outcome in {'done', 'failed', 'lost after'}:
            assert self._may_still_run(message['order_key'])
            self.order_runs.append(message['order_key'])
        if outcome in {'lost', 'lost after'} or not deliver:
            return
        result = {
            'kind': 'order_result',
            'order_key': message['order_key'],
            'attempt': message['attempt'],
            'outcome': outcome,
            'reason': '',
            'reply': f'{outcome} {message["order_key"]}',
        }
        self.send_event(entry, PeerMessage(action.to, 1, result))

    def settle(self, seconds=30.0, step=0.05, fault='', outcome='done'):
        """Answer everything in the same way for a time."""
        for _ in range(int(seconds / step)):
            while self.store_calls or self.sends:
                if self.store_calls:
                    self.answer_store(fault=fault)
                else:
                    self.answer_send(outcome=outcome)
            self.advance_time(step)

    def records(self):
        """Return all records in the store by order key."""
        return {
            order_key: record
            for found in self.objects.values()
            for order_key, record in decode_segment(found.content)[
                'records'
            ].items()
        }

    def result_of(self, req):
        """Return the outcome and ``recorded``, or the reason and ``ran``."""
        answer = self.answers[req].body
        if 'outcome' in answer:
            return answer['outcome'], answer['recorded']
        return answer['reason'], answer['ran']

    def _take(self, vm, action):
        if isinstance(action, (StoreGet, StoreList, StorePut)):
            self.store_calls.append(PendingAction(vm, action))
        elif isinstance(action, SendPeer):
            self.sends.append(PendingAction(vm, action))
        elif isinstance(action, ReplyCaller):
            assert self.answers.get(action.req) is None
            self.answers[action.req] = action

    def _apply(self, action):
        if isinstance(action, StoreList):
            found = tuple(
                self.objects[key]
                for key in sorted(self.objects)
                if key.startswith(action.prefix)
            )
            return StoreReply(action.call, 'ok', found)
        found = self.objects.get(action.key, StoreObject(action.key, 0, b''))
        if isinstance(action, StoreGet):
            missing = found.version == 0
            return StoreReply(
                action.call,
                'missing' if missing else 'ok',
                () if missing else (found,),
            )
        if found.version != action.expected:
            return StoreReply(action.call, 'conflict', (found,))
        self.versions += 1
        written = StoreObject(action.key, self.versions, action.content)
        self.objects[action.key] = written
        self._check_history()
        return StoreReply(action.call, 'ok', (written,))

    def _may_still_run(self, order_key):
        """Return whether some request of the key was not told `not_run`."""
        asked = [
            self.answers.get(req)
            for req, ask in self.placed_orders.items()
            if ask.order_key == order_key
        ]
        return any(
            answer is None or answer.body.get('ran') != 'not_run'
            for answer in asked
        )

    def _check_history(self):
        for order_key, record in self.records().items():
            if record['state'] in {'done', 'failed', 'unknown'}:
                outcome = (record['state'], record['reply'])
                known = self.outcomes.setdefault(order_key, outcome)
                assert known == outcome, 'a recorded outcome changed'

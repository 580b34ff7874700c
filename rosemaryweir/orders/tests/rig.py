"""Entries over a store and leaves whose every answer a test decides."""

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

HALVORSEN = DEPLOYMENTS['halvorsen']
CONFIG = config_of(HALVORSEN)
SETTINGS = vm_settings(HALVORSEN, 3)
SERVICE = 'print-orders'
EPOCH = 1_800_000_000.0


class Ask(NamedTuple):
    vm: str
    order_key: str
    body: str
    retry: bool


class Call(NamedTuple):
    """A store call or a message that waits for the test to deal with it."""

    entry: str
    action: object


class Rig:
    """Entries, a store, leaves that run orders, and what all of them saw."""

    def __init__(self, vms=3, seed=1):
        self.now = 0.0
        self.rng = Random(seed)
        self.objects = {}
        self.versions = 0
        self.skew = {}
        self.calls = []
        self.sends = []
        self.runs = []
        self.asks = {}
        self.answers = {}
        self.outcomes = {}
        self.nodes = {}
        for settings in SETTINGS[:vms]:
            self.start(settings['vm'])

    def start(self, vm):
        """Start an entry, as a new incarnation."""
        settings = next(each for each in SETTINGS if each['vm'] == vm)
        incarnation = len(self.asks) + int(self.now * 1000) + 1
        state = NodeState(NodeUid(vm, 'entry', incarnation), settings)
        state.config = CONFIG
        state.lease = Lease(float('inf'), '')
        for domain in CONFIG['domains']:
            state.take_view(static_view(domain, SETTINGS))
        rng = Random(self.rng.getrandbits(32))
        self.nodes[vm] = Node(state, [OrderService(state, rng)])

    def kill(self, vm):
        """End an entry; what it sent is still under way."""
        self.nodes.pop(vm, None)
        for req, ask in self.asks.items():
            if ask.vm == vm:
                self.answers.setdefault(req, None)

    def ask(self, vm, order_key='k1', body='b', deadline_ms=1000):
        """Place an order; return its number."""
        req = len(self.asks) + 1
        earlier = [each.order_key for each in self.asks.values()]
        ask = Ask(vm, order_key, body, order_key in earlier)
        self.asks[req] = ask
        content = {
            'service': SERVICE,
            'order_key': order_key,
            'body': body,
            'deadline_ms': deadline_ms,
            'retry': ask.retry,
        }
        wall = EPOCH + self.now + self.skew.get(vm, 0)
        event = CallerRequest(req, 'order', content, wall)
        self.give(vm, event)
        return req

    def give(self, vm, event):
        """Give an event to an entry, if it runs."""
        if vm in self.nodes:
            for action in self.nodes[vm].handle(event, self.now):
                self._take(vm, action)

    def pass_time(self, seconds):
        """Let time pass; timers run as they come due."""
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
            self.give(vm, Wake())
        self.now = max(until, self.now)

    def answer_store(self, index=0, fault=''):
        """Deal with a waiting store call.

        ``fault`` is ``unavailable``, ``lost`` (the call), ``reply lost``, or
        empty.
        """
        entry, action = self.calls.pop(index)
        if fault == 'unavailable':
            self.give(entry, StoreFailed(action.call, 'unavailable'))
        elif fault == 'lost':
            self.give(entry, StoreFailed(action.call, 'unknown'))
        else:
            reply = self._apply(action)
            lost = StoreFailed(action.call, 'unknown')
            self.give(entry, lost if fault else reply)

    def answer_send(self, index=0, outcome='done', deliver=True):
        """Deal with a waiting send, as its leaf."""
        entry, action = self.sends.pop(index)
        message = action.message
        if outcome in {'done', 'failed', 'lost after'}:
            assert self._may_still_run(message['order_key'])
            self.runs.append(message['order_key'])
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
        self.give(entry, PeerMessage(action.to, 1, result))

    def settle(self, seconds=30.0, step=0.05, fault='', outcome='done'):
        """Let everything that waits go one way for a time."""
        for _ in range(int(seconds / step)):
            while self.calls or self.sends:
                if self.calls:
                    self.answer_store(fault=fault)
                else:
                    self.answer_send(outcome=outcome)
            self.pass_time(step)

    def records(self):
        """Return every record in the store, by order key."""
        return {
            order_key: record
            for found in self.objects.values()
            for order_key, record in decode_segment(found.content)[
                'records'
            ].items()
        }

    def said(self, req):
        """Return the outcome or the reason, and ``ran`` or ``recorded``."""
        answer = self.answers[req].body
        if 'outcome' in answer:
            return answer['outcome'], answer['recorded']
        return answer['reason'], answer['ran']

    def _take(self, vm, action):
        if isinstance(action, (StoreGet, StoreList, StorePut)):
            self.calls.append(Call(vm, action))
        elif isinstance(action, SendPeer):
            self.sends.append(Call(vm, action))
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
        """Return whether a request of the key was not told `not_run`."""
        asked = [
            self.answers.get(req)
            for req, ask in self.asks.items()
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

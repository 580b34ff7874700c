"""Stateful test of orders with faults at every step.

Three entries receive orders and retries with a few keys.  Store calls and
sends are answered in any order, with any fault, or never.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from rosemaryweir.node.event import CallerGone
from rosemaryweir.node.state import Lease
from rosemaryweir.orders.tests.order_cluster import OrderCluster

VMS = ('vm-000', 'vm-001', 'vm-002')
KEYS = ('k1', 'k2', 'k3')
BODIES = ('b', 'b', 'b', 'other')
STORE_FAULTS = ('', '', '', 'unavailable', 'lost', 'reply lost')
OUTCOMES = ('done', 'failed', 'refused', 'unknown', 'lost', 'lost after')


class Orders(RuleBasedStateMachine):
    """Rules are the steps of orders and the faults."""

    def __init__(self):
        super().__init__()
        self.cluster = OrderCluster()
        self.checked = set()

    @rule(
        vm=st.sampled_from(VMS),
        key=st.sampled_from(KEYS),
        body=st.sampled_from(BODIES),
        deadline=st.sampled_from((50, 500, 5000)),
    )
    def place(self, vm, key, body, deadline):
        if vm in self.cluster.nodes:
            self.cluster.ask(vm, key, body, deadline)

    @precondition(lambda self: self.cluster.store_calls)
    @rule(index=st.integers(0, 5), fault=st.sampled_from(STORE_FAULTS))
    def store(self, index, fault):
        self.cluster.answer_store(index % len(self.cluster.store_calls), fault)

    @precondition(lambda self: self.cluster.store_calls)
    @rule(index=st.integers(0, 5))
    def store_applies_without_reply(self, index):
        call = self.cluster.store_calls.pop(
            index % len(self.cluster.store_calls)
        )
        self.cluster._apply(call.action)

    @precondition(lambda self: self.cluster.sends)
    @rule(index=st.integers(0, 5), outcome=st.sampled_from(OUTCOMES))
    def leaf(self, index, outcome):
        self.cluster.answer_send(index % len(self.cluster.sends), outcome)

    @precondition(lambda self: self.cluster.placed_orders)
    @rule(index=st.integers(0, 20))
    def caller_hangs_up(self, index):
        req = 1 + index % len(self.cluster.placed_orders)
        self.cluster.send_event(
            self.cluster.placed_orders[req].vm, CallerGone(req)
        )
        self.cluster.answers.setdefault(req, None)

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.6, 2.5, 12.0)))
    def time_passes(self, seconds):
        self.cluster.advance_time(seconds)

    @rule(
        seconds=st.sampled_from((0.5, 3.0, 8.0)),
        fault=st.sampled_from(STORE_FAULTS),
        outcome=st.sampled_from(OUTCOMES),
    )
    def everything_is_answered_alike(self, seconds, fault, outcome):
        self.cluster.settle(seconds, 0.25, fault, outcome)

    @rule(seconds=st.sampled_from((0.1, 3.0, 20.0)))
    def everyone_is_paused(self, seconds):
        self.cluster.now += seconds

    @rule(vm=st.sampled_from(VMS))
    def entry_dies(self, vm):
        self.cluster.stop(vm)

    @rule(vm=st.sampled_from(VMS))
    def entry_starts(self, vm):
        if vm not in self.cluster.nodes:
            self.cluster.now += 0.01
            self.cluster.start(vm)

    @rule(vm=st.sampled_from(VMS), until=st.sampled_from((0.0, 1e9)))
    def lease(self, vm, until):
        if vm in self.cluster.nodes:
            self.cluster.nodes[vm].state.lease = Lease(until, '')

    @invariant()
    def no_key_runs_twice(self):
        assert len(self.cluster.order_runs) == len(set(self.cluster.order_runs))

    @invariant()
    def not_run_is_true(self):
        for req, answer in self.cluster.answers.items():
            if req in self.checked or answer is None:
                continue
            self.checked.add(req)
            ask = self.cluster.placed_orders[req]
            told = answer.body.get('ran') == 'not_run'
            if told and answer.body['reason'] != 'mismatch':
                assert ask.order_key not in self.cluster.order_runs

    def teardown(self):
        """Without further faults all orders settle with true outcomes."""
        for node in self.cluster.nodes.values():
            node.state.lease = Lease(1e9, '')
        self.cluster.settle(30, 0.1)
        self.no_key_runs_twice()
        for vm, node in self.cluster.nodes.items():
            assert not node.busy(self.cluster.now), vm
        alive = {node.state.uid for node in self.cluster.nodes.values()}
        prefixes = tuple(f'{uid.vm}.{uid.incarnation}.' for uid in alive)
        for record in self.cluster.records().values():
            held = record['attempt'].startswith(prefixes)
            assert not (held and record['state'] == 'claimed')
        assert len(self.cluster.answers) == len(self.cluster.placed_orders)
        told = {
            self.cluster.placed_orders[req].order_key
            for req, answer in self.cluster.answers.items()
            if answer is not None and answer.body.get('outcome') == 'done'
        }
        assert told <= set(self.cluster.order_runs)


Orders.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestOrders = Orders.TestCase

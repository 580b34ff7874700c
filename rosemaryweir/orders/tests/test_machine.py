"""Orders under any interleaving of faults, at every step.

Three entries, a few keys, retries at any entry; every store call and every
send is answered in any order, with any fault, or never.
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
from rosemaryweir.orders.tests.rig import Rig

VMS = ('vm-000', 'vm-001', 'vm-002')
KEYS = ('k1', 'k2', 'k3')
BODIES = ('b', 'b', 'b', 'other')
STORE_FAULTS = ('', '', '', 'unavailable', 'lost', 'reply lost')
OUTCOMES = ('done', 'failed', 'refused', 'unknown', 'lost', 'lost after')


class Orders(RuleBasedStateMachine):
    """Every rule is a step of an order or a fault."""

    def __init__(self):
        super().__init__()
        self.rig = Rig()
        self.judged = set()

    @rule(
        vm=st.sampled_from(VMS),
        key=st.sampled_from(KEYS),
        body=st.sampled_from(BODIES),
        deadline=st.sampled_from((50, 500, 5000)),
    )
    def place(self, vm, key, body, deadline):
        if vm in self.rig.nodes:
            self.rig.ask(vm, key, body, deadline)

    @precondition(lambda self: self.rig.calls)
    @rule(pick=st.integers(0, 5), fault=st.sampled_from(STORE_FAULTS))
    def store(self, pick, fault):
        self.rig.answer_store(pick % len(self.rig.calls), fault)

    @precondition(lambda self: self.rig.calls)
    @rule(pick=st.integers(0, 5))
    def store_applies_without_a_word(self, pick):
        call = self.rig.calls.pop(pick % len(self.rig.calls))
        self.rig._apply(call.action)

    @precondition(lambda self: self.rig.sends)
    @rule(pick=st.integers(0, 5), outcome=st.sampled_from(OUTCOMES))
    def leaf(self, pick, outcome):
        self.rig.answer_send(pick % len(self.rig.sends), outcome)

    @precondition(lambda self: self.rig.asks)
    @rule(pick=st.integers(0, 20))
    def caller_hangs_up(self, pick):
        req = 1 + pick % len(self.rig.asks)
        self.rig.give(self.rig.asks[req].vm, CallerGone(req))
        self.rig.answers.setdefault(req, None)

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.6, 2.5, 12.0)))
    def time_passes(self, seconds):
        self.rig.pass_time(seconds)

    @rule(
        seconds=st.sampled_from((0.5, 3.0, 8.0)),
        fault=st.sampled_from(STORE_FAULTS),
        outcome=st.sampled_from(OUTCOMES),
    )
    def spell(self, seconds, fault, outcome):
        self.rig.settle(seconds, 0.25, fault, outcome)

    @rule(seconds=st.sampled_from((0.1, 3.0, 20.0)))
    def everyone_is_paused(self, seconds):
        self.rig.now += seconds

    @rule(vm=st.sampled_from(VMS))
    def entry_dies(self, vm):
        self.rig.kill(vm)

    @rule(vm=st.sampled_from(VMS))
    def entry_starts(self, vm):
        if vm not in self.rig.nodes:
            self.rig.now += 0.01
            self.rig.start(vm)

    @rule(vm=st.sampled_from(VMS), until=st.sampled_from((0.0, 1e9)))
    def lease(self, vm, until):
        if vm in self.rig.nodes:
            self.rig.nodes[vm].state.lease = Lease(until, '')

    @invariant()
    def no_key_runs_twice(self):
        assert len(self.rig.runs) == len(set(self.rig.runs))

    @invariant()
    def not_run_is_true(self):
        for req, answer in self.rig.answers.items():
            if req in self.judged or answer is None:
                continue
            self.judged.add(req)
            ask = self.rig.asks[req]
            told = answer.body.get('ran') == 'not_run'
            if told and answer.body['reason'] != 'mismatch':
                assert ask.order_key not in self.rig.runs

    def teardown(self):
        """Without further faults everything settles, and truthfully."""
        for node in self.rig.nodes.values():
            node.state.lease = Lease(1e9, '')
        self.rig.settle(30, 0.1)
        self.no_key_runs_twice()
        for vm, node in self.rig.nodes.items():
            assert not node.busy(self.rig.now), vm
        alive = {node.state.uid for node in self.rig.nodes.values()}
        prefixes = tuple(f'{uid.vm}.{uid.incarnation}.' for uid in alive)
        for record in self.rig.records().values():
            held = record['attempt'].startswith(prefixes)
            assert not (held and record['state'] == 'claimed')
        assert len(self.rig.answers) == len(self.rig.asks)
        told = {
            self.rig.asks[req].order_key
            for req, answer in self.rig.answers.items()
            if answer is not None and answer.body.get('outcome') == 'done'
        }
        assert told <= set(self.rig.runs)


Orders.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestOrders = Orders.TestCase

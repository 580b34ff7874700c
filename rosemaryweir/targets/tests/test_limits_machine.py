"""State machine: limits of a target hold under any sequence of faults."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rosemaryweir.node.event import ConnectionFailed, ConnectionOpened
from rosemaryweir.node.state import Lease
from rosemaryweir.targets.slots import DEADLINE_MARGIN_S
from rosemaryweir.targets.target_attempt import OVERRUN_S
from rosemaryweir.targets.tests.leaf_harness import (
    WARM_AFTER,
    LeafHarness,
    config,
)

#: Time that a request travels, in s; its deadline is that much later at the
#: target.
TRAVEL_S = 0.001


class LimitsMachine(RuleBasedStateMachine):
    """Leaf and target; a target runs what it got though connections close."""

    def __init__(self):
        super().__init__()
        self.leaf = LeafHarness()
        self.running = {}
        self.unanswered_orders = {}
        self.order_sent_at = {}
        self.last_incarnation = 0
        self.last_reply = 0.0
        self.connected = set()
        self.sends_seen = 0
        self.queries = []
        self.incarnation = 1
        self.served_count = 0
        self.slots = 3
        self.over_config = set()
        self.apply_sends()

    @initialize(warm=st.booleans())
    def warm_up(self, warm):
        for _ in range(30 if warm else 0):
            self.burst(1)
            self.pass_time(0.01)
            self.answer(0, 'ok')

    def apply_sends(self):
        """Apply new sends and closings to the target and check its limits."""
        leaf = self.leaf
        for send in leaf.sends[self.sends_seen :]:
            assert leaf.state.may_start(leaf.now)
            assert send.conn in self.connected
            busy = [each.conn for each in self.running.values()]
            assert send.conn not in busy
            assert send.attempt not in self.running
            self.running[send.attempt] = send
            if send.work == 'order':
                self.unanswered_orders[send.attempt] = send
                self.order_sent_at[send.attempt] = leaf.now
            limit = self.slots if self.served_count >= WARM_AFTER else 1
            assert len(self.running) <= limit
        self.sends_seen = len(leaf.sends)
        for action in leaf.closings:
            self.connected.discard(action.conn)
        self.expire()

    def expire(self):
        for attempt, send in tuple(self.running.items()):
            if send.deadline + TRAVEL_S <= self.leaf.now:
                del self.running[attempt]

    @rule(wait=st.sampled_from([0.001, 0.01, 0.01, 0.05, 0.3, 2.5]))
    def pass_time(self, wait):
        end = self.leaf.now + wait
        while self.leaf.now < end:
            wake = self.leaf.node.next_wake()
            self.leaf.advance_to(min(end, max(wake, self.leaf.now)))
            self.apply_sends()

    @rule(remaining=st.sampled_from([20.0, 200.0, 1000.0, 5000.0]))
    def ask(self, remaining):
        self.queries.append(self.leaf.send_query(remaining_ms=remaining))
        self.apply_sends()

    @rule(count=st.integers(1, 5))
    def burst(self, count):
        """Send several queries while all connections can be opened."""
        for _ in range(count):
            self.ask(1000.0)
            for _ in range(4):
                if self.leaf.openings:
                    self.connect(1)
                    self.pass_time(0.003)

    @rule(remaining=st.sampled_from([0.0, 200.0, 1000.0]))
    def order(self, remaining):
        self.leaf.send_order(f'o{len(self.queries)}', remaining_ms=remaining)
        self.apply_sends()

    @precondition(lambda self: self.leaf.openings)
    @rule(succeeds=st.integers(0, 3))
    def connect(self, succeeds):
        action = self.leaf.openings.pop(0)
        if succeeds:
            self.connected.add(action.conn)
            self.leaf.handle(ConnectionOpened(action.conn, 't'))
        else:
            self.leaf.handle(ConnectionFailed(action.conn, 't', 'refused'))
        self.apply_sends()

    @precondition(lambda self: self.running)
    @rule(
        index=st.integers(0, 5),
        status=st.sampled_from(['ok', 'ok', 'ok', 'ok', 'shed', 'cancelled']),
    )
    def answer(self, index, status):
        sends = tuple(self.running.values())
        send = sends[index % len(sends)]
        del self.running[send.attempt]
        self.served_count += status == 'ok'
        if send.conn in self.connected:
            self.count_reply(send)
            self.leaf.reply(send, status, self.incarnation)
        self.apply_sends()

    def count_reply(self, send):
        """Drop the orders whose slots a reply to a send frees.

        A first reply of a newer incarnation shows that orders are over that
        were sent before the last reply of the older one.
        """
        if self.incarnation > self.last_incarnation > 0:
            for attempt, order in tuple(self.unanswered_orders.items()):
                lost = order.conn not in self.connected
                if lost and self.order_sent_at[attempt] <= self.last_reply:
                    del self.unanswered_orders[attempt]
        self.unanswered_orders.pop(send.attempt, None)
        self.last_incarnation = self.incarnation
        self.last_reply = self.leaf.now

    @precondition(lambda self: self.connected)
    @rule(index=st.integers(0, 9), attempt=st.sampled_from(['', 'other']))
    def stray_reply(self, index, attempt):
        conn = sorted(self.connected)[index % len(self.connected)]
        for send in self.leaf.sends[-1:]:
            stray = send._replace(conn=conn, attempt=attempt)
            self.leaf.reply(stray, 'ok', self.incarnation)
        self.apply_sends()

    @precondition(lambda self: self.connected)
    @rule(index=st.integers(0, 9))
    def close_connection(self, index):
        conn = sorted(self.connected)[index % len(self.connected)]
        self.connected.discard(conn)
        self.leaf.close_connection(conn, idle=False)
        self.apply_sends()

    @precondition(lambda self: self.queries)
    @rule(index=st.integers(0, 99))
    def cancel(self, index):
        self.leaf.cancel_query(self.queries[index % len(self.queries)])
        self.apply_sends()

    @rule()
    def restart(self):
        self.running.clear()
        self.served_count = 0
        self.incarnation += 1
        for conn in sorted(self.connected):
            self.connected.discard(conn)
            self.leaf.close_connection(conn, idle=False)
        self.apply_sends()

    @rule(expires=st.booleans())
    def change_lease(self, expires):
        until = self.leaf.now if expires else float('inf')
        self.leaf.state.lease = Lease(until, '')
        self.apply_sends()

    @rule(state=st.sampled_from(['in', 'in', 'in', 'out']))
    def reconfigure(self, state):
        generation = self.leaf.state.config['generation'] + 1
        self.leaf.state.take_config(config(generation, state))
        self.apply_sends()

    @invariant()
    def connections_within_budget(self):
        assert len(self.connected) + len(self.leaf.openings) <= 10

    @invariant()
    def at_most_one_result_each(self):
        results = Counter(
            piece['attempt']
            for message in self.leaf.messages
            if message['kind'] == 'partials'
            for piece in message['pieces']
        )
        assert not [each for each, count in results.items() if count > 1]
        assert set(results) <= set(self.queries)

    @invariant()
    def no_part_failed(self):
        event_numbers = [
            getattr(each, 'number', 0) for each in self.leaf.other_actions
        ]
        assert 100 not in event_numbers

    def held_by_orders(self):
        """Return how many slots orders without a reply hold, by the rules.

        The target may go on with an order for some time past its deadline.
        """
        now = self.leaf.now
        return sum(
            send.deadline + OVERRUN_S['order'] + DEADLINE_MARGIN_S > now
            for send in self.unanswered_orders.values()
        )

    def teardown(self):
        """Check results and slots once all deadlines have passed.

        Orders without a reply hold their slots at first, then nothing does.
        """
        for _ in range(60):
            self.pass_time(0.05)
        leaf = self.leaf
        assert set(leaf.outcomes()) == set(self.queries)
        assert not leaf.part.dispatcher.attempts
        for seconds, expected in (
            (0.0, self.held_by_orders),
            (10.2, lambda: 0),
        ):
            self.pass_time(seconds)
            for target_state in leaf.part.registry.target_states.values():
                assert target_state.slots.held(leaf.now) == expected()


LimitsMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestLimits = LimitsMachine.TestCase

"""Tests of admission: exact counts, fair tenants and early refusals."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from rosemaryweir.query.admission import AdmissionRequest, QueryAdmission
from rosemaryweir.query.limit import MIN_LIMIT, ConcurrencyLimit


def make_request(
    req,
    tenant='a',
    weight=1,
    deadline=1.0,
    max_queue_length=8,
    priority=0,
):
    return AdmissionRequest(
        req,
        tenant,
        weight,
        max_queue_length,
        priority,
        deadline,
        None,
    )


class AdmissionMachine(RuleBasedStateMachine):
    """Requests, answers, disconnects and time-outs in any order."""

    @initialize(capacity=st.integers(2, 5))
    def begin(self, capacity):
        self.admission = QueryAdmission()
        self.admission.limit.max_in_flight = float(capacity)
        self.now = 0.0
        self.req = 0
        self.waiting = {}
        self.running = set()

    @rule(
        tenant=st.sampled_from('abc'),
        weight=st.integers(1, 3),
        left=st.floats(0.01, 2),
        priority=st.integers(0, 2),
    )
    def ask(self, tenant, weight, left, priority):
        self.req += 1
        request = make_request(
            self.req,
            tenant,
            weight,
            self.now + left,
            4,
            priority,
        )
        if self.admission.submit(request, self.now):
            self.waiting[self.req] = request
        self.start()

    @rule(latency=st.floats(0.001, 1), refused=st.booleans())
    def end(self, latency, refused):
        if self.running:
            self.running.pop()
            self.admission.limit.finish(
                latency,
                latency,
                0.5,
                refused,
                self.now,
            )
            self.start()

    @rule(req=st.integers(0, 40))
    def hang_up(self, req):
        known = self.waiting.pop(req, None)
        assert self.admission.cancel(req) == (known is not None)
        if known is None and req in self.running:
            self.running.remove(req)
            self.admission.limit.abandon()
            self.start()

    @rule(seconds=st.floats(0, 1))
    def pass_time(self, seconds):
        self.now += seconds
        for late in self.admission.pop_overdue(self.now):
            assert self.waiting.pop(late.req) is late

    def start(self):
        for request in self.admission.pop_startable():
            assert self.waiting.pop(request.req) is request
            self.running.add(request.req)

    @invariant()
    def counts_are_exact(self):
        limit = self.admission.limit
        assert limit.in_flight == len(self.running) >= 0
        assert len(self.admission.queue) == len(self.waiting)
        assert {each.req for each in self.admission.queue.entries()} == set(
            self.waiting,
        )
        assert limit.max_in_flight >= MIN_LIMIT
        for tenant in 'abc':
            assert self.admission.queue.tenant_length(tenant) <= 4
        assert not self.waiting or not limit.has_capacity()


AdmissionMachine.TestCase.settings = settings(
    max_examples=80,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
TestAdmission = AdmissionMachine.TestCase


def full_admission(capacity=1):
    admission = QueryAdmission()
    admission.limit.max_in_flight = float(capacity)
    assert admission.submit(make_request(1), 0.0)
    assert [each.req for each in admission.pop_startable()] == [1]
    return admission


def test_tenants_are_served_by_weight():
    admission = full_admission()
    for req in range(10, 70):
        tenant, weight = ('a', 3) if req % 2 else ('b', 1)
        assert admission.submit(
            make_request(req, tenant, weight, 99.0, 99), 0.0
        )
    admission.limit.max_in_flight = 41.0
    served = [each.tenant for each in admission.pop_startable()]
    assert len(served) == 40
    assert 28 <= served.count('a') <= 31


def test_request_whose_expected_wait_is_too_long_is_refused():
    admission = full_admission()
    admission.limit.mean_latency = 0.2
    assert not admission.submit(make_request(2, deadline=0.5), 0.0)
    assert admission.submit(make_request(3, deadline=0.9), 0.0)


def test_higher_priority_goes_first():
    admission = full_admission()
    admission.submit(make_request(2, deadline=9.0), 0.0)
    admission.submit(make_request(3, deadline=9.0, priority=1), 0.0)
    admission.limit.abandon()
    assert [each.req for each in admission.pop_startable()] == [3]


def test_limit_decreases_at_most_once_per_mean_latency():
    limit = ConcurrencyLimit()
    for _ in range(5):
        limit.start()
    first = limit.max_in_flight
    for _ in range(5):
        limit.finish(0.4, 0.4, 0.5, refused=False, now=10.0)
    assert limit.max_in_flight == first * 0.9

"""Admission: accounts stay exact, tenants fair, refusals early."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from rosemaryweir.query.admission import Admission, Applicant
from rosemaryweir.query.limit import LEAST, ConcurrencyLimit


def applicant(req, tenant='a', weight=1, answer=1.0, queue=8, priority=0):
    return Applicant(req, tenant, weight, queue, priority, answer, None)


class AdmissionMachine(RuleBasedStateMachine):
    """Requests, answers, hang-ups and time-outs in any order."""

    @initialize(most=st.integers(2, 5))
    def begin(self, most):
        self.admission = Admission()
        self.admission.limit.max_in_flight = float(most)
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
        item = applicant(
            self.req,
            tenant,
            weight,
            self.now + left,
            4,
            priority,
        )
        if self.admission.apply(item, self.now):
            self.waiting[self.req] = item
        self.start()

    @rule(bulk=st.floats(0.001, 1), refused=st.booleans())
    def end(self, bulk, refused):
        if self.running:
            self.running.pop()
            self.admission.limit.end(bulk, bulk, 0.5, refused, self.now)
            self.start()

    @rule(pick=st.integers(0, 40))
    def hang_up(self, pick):
        known = self.waiting.pop(pick, None)
        assert self.admission.gone(pick) == (known is not None)
        if known is None and pick in self.running:
            self.running.remove(pick)
            self.admission.limit.drop()
            self.start()

    @rule(seconds=st.floats(0, 1))
    def pass_time(self, seconds):
        self.now += seconds
        for late in self.admission.overdue(self.now):
            assert self.waiting.pop(late.req) is late

    def start(self):
        for item in self.admission.started():
            assert self.waiting.pop(item.req) is item
            self.running.add(item.req)

    @invariant()
    def accounts_are_exact(self):
        limit = self.admission.limit
        assert limit.in_flight == len(self.running) >= 0
        assert len(self.admission.queue) == len(self.waiting)
        assert {each.req for each in self.admission.queue.items()} == set(
            self.waiting,
        )
        assert limit.max_in_flight >= LEAST
        for tenant in 'abc':
            assert self.admission.queue.waiting(tenant) <= 4
        assert not self.waiting or not limit.open()


AdmissionMachine.TestCase.settings = settings(
    max_examples=80,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
TestAdmission = AdmissionMachine.TestCase


def full_admission(most=1):
    admission = Admission()
    admission.limit.max_in_flight = float(most)
    assert admission.apply(applicant(1), 0.0)
    assert [each.req for each in admission.started()] == [1]
    return admission


def test_weights_share_the_service():
    admission = full_admission()
    for req in range(10, 70):
        tenant, weight = ('a', 3) if req % 2 else ('b', 1)
        assert admission.apply(applicant(req, tenant, weight, 99.0, 99), 0.0)
    admission.limit.max_in_flight = 41.0
    served = [each.tenant for each in admission.started()]
    assert len(served) == 40
    assert 28 <= served.count('a') <= 31


def test_request_that_cannot_wait_long_enough_is_refused_at_once():
    admission = full_admission()
    admission.limit.latency = 0.2
    assert not admission.apply(applicant(2, answer=0.5), 0.0)
    assert admission.apply(applicant(3, answer=0.9), 0.0)


def test_urgent_class_goes_first():
    admission = full_admission()
    admission.apply(applicant(2, answer=9.0), 0.0)
    admission.apply(applicant(3, answer=9.0, priority=1), 0.0)
    admission.limit.drop()
    assert [each.req for each in admission.started()] == [3]


def test_limit_falls_at_most_once_for_each_latency():
    limit = ConcurrencyLimit()
    for _ in range(5):
        limit.start()
    first = limit.max_in_flight
    for _ in range(5):
        limit.end(0.4, 0.4, 0.5, refused=False, now=10.0)
    assert limit.max_in_flight == first * 0.9

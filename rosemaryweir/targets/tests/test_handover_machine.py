"""State machine: never two leaves at one target, whatever the views do.

Leases follow the rule of the agents: once the takeover time of a view is
known, no leaf with an older view gets its lease renewed, and that time lies
after the end of every lease given to such a leaf.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rosemaryweir.targets.handover import Handover
from rosemaryweir.targets.ownership import owner
from rosemaryweir.targets.target_attempt import MAX_ATTEMPT_S

VMS = ('vm1', 'vm2', 'vm3')
TARGETS = ('t1', 't2', 't3')
LEASE = 1.0
REPEATED_FOR = 0.75
vms = st.sampled_from(VMS)
targets = st.sampled_from(TARGETS)


def view_of(version, alive):
    members = [{'vm': vm, 'state': 'alive'} for vm in alive]
    return {'domain': 'd', 'version': version, 'members': members}


class Model:
    """One leaf: its handover, its lease, its work at the targets."""

    def __init__(self, vm, now):
        self.handover = Handover(vm, now)
        self.lease = 0.0

    @property
    def version(self):
        view = self.handover.views.get('d')
        return view['version'] if view else 0


class Succession(RuleBasedStateMachine):
    @initialize()
    def begin(self):
        self.now = 100.0
        self.views = [view_of(1, VMS)]
        self.takeover = {1: 100.0}
        self.leaves = {vm: Model(vm, self.now) for vm in VMS}
        self.floor = dict.fromkeys(VMS, 1)
        self.work = []
        self.messages = []
        self.sends = 0

    @rule(wait=st.sampled_from([0.01, 0.3, 1.0, 2.5]))
    def pass_time(self, wait):
        self.now += wait
        self.work = [each for each in self.work if each[2] > self.now]

    @rule(alive=st.sets(vms, min_size=1))
    def new_view(self, alive):
        self.views.append(view_of(len(self.views) + 1, sorted(alive)))

    @rule(vm=vms, skip=st.integers(0, 3))
    def adopt(self, vm, skip):
        leaf = self.leaves[vm]
        low = max(leaf.version + 1, self.floor[vm])
        if low > len(self.views):
            return
        view = self.views[min(low + skip, len(self.views)) - 1]
        leaf.handover.observe_lease(leaf.lease, self.now)
        leaf.handover.adopt_view(view, TARGETS, self.now)
        self.floor[vm] = view['version']

    @rule(vm=vms)
    def renew(self, vm):
        leaf = self.leaves[vm]
        newest_settled = max(self.takeover)
        if not leaf.version or leaf.version < newest_settled:
            return
        leaf.lease = self.now + LEASE
        leaf.handover.observe_lease(leaf.lease, self.now)

    @rule()
    def settle(self):
        version = len(self.views)
        leases = [
            leaf.lease
            for leaf in self.leaves.values()
            if leaf.version < version
        ]
        self.takeover.setdefault(version, max([self.now, *leases]))

    @rule(vm=vms)
    def tell_takeover(self, vm):
        leaf = self.leaves[vm]
        at = self.takeover.get(leaf.version)
        if at is not None:
            view = self.views[leaf.version - 1]
            leaf.handover.set_takeover_wait(
                view, max(0.0, at - self.now), self.now
            )

    @rule(
        vm=vms, name=targets, runs=st.sampled_from([0.01, 0.5, MAX_ATTEMPT_S])
    )
    def send(self, vm, name, runs):
        leaf = self.leaves[vm]
        if self.now >= leaf.lease or not leaf.handover.ready(name, self.now):
            return
        others = [
            each for each in self.work if each[1] == name and each[0] != vm
        ]
        assert not others, (vm, name, others)
        self.work.append((vm, name, self.now + runs))
        self.sends += 1

    @rule(vm=vms, repeats=st.integers(1, 2))
    def release(self, vm, repeats):
        leaf = self.leaves[vm]
        for target, release in tuple(leaf.handover.pending_releases.items()):
            if any(each[:2] == (vm, target) for each in self.work):
                continue
            del leaf.handover.pending_releases[target]
            assert release.to == owner(target, self.views[release.view - 1])
            self.messages.append((self.now, release))

    @precondition(lambda self: self.messages)
    @rule(index=st.integers(0, 20))
    def deliver(self, index):
        """Deliver a release: late, twice, or never."""
        sent, release = self.messages[index % len(self.messages)]
        leaf = self.leaves[release.to]
        if sent + REPEATED_FOR >= leaf.handover.born:
            leaf.handover.record_release(
                'd', release.view, [release.target], self.now
            )

    @rule(vm=vms)
    def restart(self, vm):
        """Start a process anew; what the old one sent runs on."""
        self.leaves[vm] = Model(vm, self.now)

    @rule(vm=vms)
    def catch_up(self, vm):
        """Let one leaf come into its own, as it does in a quiet fleet."""
        for _ in range(4):
            self.adopt(vm, 3)
            self.settle()
            self.tell_takeover(vm)
            self.renew(vm)
            self.pass_time(0.9)
        for target in TARGETS:
            self.renew(vm)
            self.send(vm, target, 0.5)

    @rule(sender=vms, heir=vms, fresh=st.booleans())
    def hand_on(self, sender, heir, fresh):
        """Let a view move all to one leaf; deliver new releases or old."""
        if sender == heir:
            return
        self.renew(sender)
        old = len(self.messages)
        self.new_view({heir})
        self.adopt(sender, 3)
        self.adopt(heir, 3)
        self.renew(heir)
        self.release(sender, 1)
        for index in range(len(self.messages) if fresh else old):
            self.deliver(index)
        for target in TARGETS:
            self.send(heir, target, 0.5)

    @rule(holder=vms, heir=vms)
    def take_over(self, holder, heir):
        """Let a leaf work until its lease lapses while another succeeds."""
        self.catch_up(holder)
        for target in TARGETS:
            self.renew(holder)
            self.send(holder, target, MAX_ATTEMPT_S)
        self.new_view({heir})
        self.adopt(heir, 3)
        self.settle()
        self.pass_time(1.0)
        self.tell_takeover(heir)
        self.renew(heir)
        for target in TARGETS:
            self.send(heir, target, 0.5)

    @invariant()
    def giving_is_not_ready(self):
        for leaf in self.leaves.values():
            for target in leaf.handover.pending_releases:
                assert not leaf.handover.ready(target, self.now)


Succession.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestSuccession = Succession.TestCase

"""State machine: no two leaves use one target, whatever views come.

Leases follow the rule of the agents: once the takeover time of a view is set,
leases of leaves with an older view are not renewed, and the takeover time is
after the end of every lease granted to such a leaf.
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
LEASE_S = 1.0
#: Time for which a release is repeated, in s.
REPEAT_TIME_S = 0.75
vms = st.sampled_from(VMS)
targets = st.sampled_from(TARGETS)


def view_of(version, alive):
    members = [{'vm': vm, 'state': 'alive'} for vm in alive]
    return {'domain': 'd', 'version': version, 'members': members}


class LeafModel:
    """One leaf: its handover and its lease."""

    def __init__(self, vm, now):
        self.handover = Handover(vm, now)
        self.lease = 0.0

    @property
    def version(self):
        view = self.handover.views.get('d')
        return view['version'] if view else 0


class HandoverMachine(RuleBasedStateMachine):
    @initialize()
    def begin(self):
        self.now = 100.0
        self.views = [view_of(1, VMS)]
        self.takeover = {1: 100.0}
        self.leaves = {vm: LeafModel(vm, self.now) for vm in VMS}
        self.newest_adopted = dict.fromkeys(VMS, 1)
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
        low = max(leaf.version + 1, self.newest_adopted[vm])
        if low > len(self.views):
            return
        view = self.views[min(low + skip, len(self.views)) - 1]
        leaf.handover.observe_lease(leaf.lease, self.now)
        leaf.handover.adopt_view(view, TARGETS, self.now)
        self.newest_adopted[vm] = view['version']

    @rule(vm=vms)
    def renew(self, vm):
        leaf = self.leaves[vm]
        newest_with_takeover = max(self.takeover)
        if not leaf.version or leaf.version < newest_with_takeover:
            return
        leaf.lease = self.now + LEASE_S
        leaf.handover.observe_lease(leaf.lease, self.now)

    @rule()
    def set_takeover(self):
        version = len(self.views)
        leases = [
            leaf.lease
            for leaf in self.leaves.values()
            if leaf.version < version
        ]
        self.takeover.setdefault(version, max([self.now, *leases]))

    @rule(vm=vms)
    def report_takeover(self, vm):
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
        """Deliver a release, possibly late or more than once."""
        sent, release = self.messages[index % len(self.messages)]
        leaf = self.leaves[release.to]
        if sent + REPEAT_TIME_S >= leaf.handover.born:
            leaf.handover.record_release(
                'd', release.view, [release.target], self.now
            )

    @rule(vm=vms)
    def restart(self, vm):
        """Restart a leaf; what its old process has sent goes on."""
        self.leaves[vm] = LeafModel(vm, self.now)

    @rule(vm=vms)
    def catch_up(self, vm):
        """Let one leaf adopt the newest view and use all its targets."""
        for _ in range(4):
            self.adopt(vm, 3)
            self.set_takeover()
            self.report_takeover(vm)
            self.renew(vm)
            self.pass_time(0.9)
        for target in TARGETS:
            self.renew(vm)
            self.send(vm, target, 0.5)

    @rule(sender=vms, new_owner=vms, fresh=st.booleans())
    def hand_over(self, sender, new_owner, fresh):
        """Move all targets to one leaf; deliver new or only old releases."""
        if sender == new_owner:
            return
        self.renew(sender)
        old = len(self.messages)
        self.new_view({new_owner})
        self.adopt(sender, 3)
        self.adopt(new_owner, 3)
        self.renew(new_owner)
        self.release(sender, 1)
        for index in range(len(self.messages) if fresh else old):
            self.deliver(index)
        for target in TARGETS:
            self.send(new_owner, target, 0.5)

    @rule(holder=vms, new_owner=vms)
    def take_over(self, holder, new_owner):
        """Let a leaf work until its lease expires while another takes over."""
        self.catch_up(holder)
        for target in TARGETS:
            self.renew(holder)
            self.send(holder, target, MAX_ATTEMPT_S)
        self.new_view({new_owner})
        self.adopt(new_owner, 3)
        self.set_takeover()
        self.pass_time(1.0)
        self.report_takeover(new_owner)
        self.renew(new_owner)
        for target in TARGETS:
            self.send(new_owner, target, 0.5)

    @invariant()
    def pending_release_is_not_ready(self):
        for leaf in self.leaves.values():
            for target in leaf.handover.pending_releases:
                assert not leaf.handover.ready(target, self.now)


HandoverMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestHandover = HandoverMachine.TestCase

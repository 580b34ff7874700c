"""Two owners of a key are never valid at once, whatever fails."""

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from rosemaryweir.membership.tests.lease_checker import KEYS, LeaseChecker
from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import HALVORSEN, config_of, vm_settings

VMS = 9
PLACES = st.integers(0, VMS - 1)


class LeaseMachine(RuleBasedStateMachine):
    """Random pauses, partitions, store outages, losses and restarts."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.settings = vm_settings(HALVORSEN, VMS)
        self.cluster = Cluster(self.settings, config_of(HALVORSEN), seed)
        self.checker = LeaseChecker(self.cluster)
        self.paused = []
        self.checker.run(4, step=0.5)

    @rule(place=PLACES, whole=st.booleans())
    def pause(self, place, whole):
        vm = self.settings[place]['vm']
        roles = ('entry', 'leaf', 'agent') if whole else ('leaf',)
        names = [f'{vm}/{role}' for role in roles]
        self.cluster.pause(*names)
        self.paused.extend(names)
        self.checker.run(1)

    @rule()
    def resume(self):
        self.cluster.resume(*self.paused)
        self.paused = []
        self.checker.run(0.5, step=0.01)

    @rule(one=PLACES, other=PLACES)
    def cut_vms(self, one, other):
        pair = {self.settings[one]['vm'], self.settings[other]['vm']}
        self.cluster.cuts.add(frozenset(pair))
        self.checker.run(1)

    @rule(one=st.integers(0, 2), other=st.integers(0, 2))
    def cut_domains(self, one, other):
        pair = {HALVORSEN.domains[one], HALVORSEN.domains[other]}
        self.cluster.cuts.add(frozenset(pair))
        self.checker.run(2)

    @rule()
    def heal(self):
        self.cluster.cuts.clear()
        self.cluster.store.cut.clear()
        self.checker.run(1)

    @rule(place=PLACES)
    def isolate_while_another_joins(self, place):
        isolate_and_join(self.cluster, self.settings[place])
        self.checker.run(4, step=0.02)

    @rule(places=st.sets(PLACES, max_size=6))
    def cut_from_store(self, places):
        vms = {self.settings[place]['vm'] for place in places}
        self.cluster.store.cut = vms
        self.checker.run(1)

    @rule(down=st.booleans())
    def store_outage(self, down):
        self.cluster.store.set_down(down)
        self.checker.run(1)

    @rule(place=PLACES)
    def restart(self, place):
        vm = self.settings[place]['vm']
        self.cluster.kill_vm(vm)
        self.checker.run(1)
        self.cluster.start_vm(self.settings[place])
        self.checker.run(0.5)

    @rule(place=PLACES)
    def lose(self, place):
        self.cluster.kill_vm(self.settings[place]['vm'])
        self.checker.run(2)

    @rule(seconds=st.sampled_from([1, 3, 6]))
    def wait(self, seconds):
        self.checker.run(seconds)


LeaseMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=12,
    stateful_step_count=12,
    deadline=None,
)
test_lease_machine = LeaseMachine.TestCase


def isolate_and_join(cluster, settings):
    """Isolate a VM, then start another VM in its failure domain."""
    cluster.store.cut.add(settings['vm'])
    for vm in cluster.settings:
        cluster.cuts.add(frozenset((settings['vm'], vm)))
    number = len(cluster.settings)
    spare = vm_settings(HALVORSEN, number + 3)[number:]
    joining = next(
        each for each in spare if each['domain'] == settings['domain']
    )
    name = f'new-{number}'
    cluster.cuts.add(frozenset((settings['vm'], name)))
    cluster.start_vm({**joining, 'vm': name})


def start_cluster(seed=1):
    cluster = Cluster(
        vm_settings(HALVORSEN, VMS),
        config_of(HALVORSEN),
        seed,
    )
    checker = LeaseChecker(cluster)
    checker.run(5, step=0.5)
    return cluster, checker


def test_every_target_has_an_owner_also_after_a_vm_is_lost():
    cluster, checker = start_cluster()
    assert len(checker.lease_holders()) == len(KEYS) * 3
    cluster.kill_vm('vm-003')
    checker.run(8)
    assert len(checker.lease_holders()) == len(KEYS) * 3


@pytest.mark.parametrize('seed', range(6))
def test_isolated_owner_loses_its_lease_before_a_joiner_takes_over(seed):
    cluster, checker = start_cluster(seed)
    isolate_and_join(cluster, cluster.settings[f'vm-{seed:03}'])
    checker.run(10, step=0.01)
    assert len(checker.lease_holders()) == len(KEYS) * 3


def test_store_outage_leaves_all_owners_valid():
    cluster, checker = start_cluster()
    before = checker.lease_holders()
    cluster.store.set_down(True)
    checker.run(20, step=0.2)
    assert checker.lease_holders() == before


def test_targets_of_a_vm_lost_in_an_outage_move_after_the_outage():
    cluster, checker = start_cluster()
    cluster.store.set_down(True)
    checker.run(3)
    before = checker.lease_holders()
    cluster.kill_vm('vm-003')
    checker.run(10, step=0.2)
    during = checker.lease_holders()
    assert all(before[place] == vms for place, vms in during.items())
    cluster.store.set_down(False)
    checker.run(10, step=0.2)
    assert len(checker.lease_holders()) == len(KEYS) * 3


def test_lost_domain_is_taken_over_by_delegates():
    cluster, checker = start_cluster()
    for vm in ('vm-000', 'vm-003', 'vm-006'):
        cluster.kill_vm(vm)
    checker.run(16, step=0.2)
    assert len(checker.lease_holders()) == len(KEYS) * 3


def test_owners_survive_replacement_of_most_vms_at_once():
    cluster, checker = start_cluster()
    lost = [f'vm-{number:03}' for number in range(6)]
    for vm in lost:
        cluster.kill_vm(vm)
    cluster.store.live = tuple(set(cluster.store.live) - set(lost))
    fresh = vm_settings(HALVORSEN, VMS + 6)[VMS:]
    for each in fresh:
        cluster.start_vm(each)
    cluster.store.live += tuple(each['vm'] for each in fresh)
    checker.run(40, step=0.2)
    assert len(checker.lease_holders()) == len(KEYS) * 3


def test_vm_isolated_from_peers_and_store_is_fenced():
    cluster, checker = start_cluster()
    cluster.store.cut = {'vm-004'}
    for vm in cluster.settings:
        cluster.cuts.add(frozenset({'vm-004', vm}))
    checker.run(4)
    leaf = cluster.processes['vm-004/leaf']
    assert leaf.node.state.lease.reason == 'fenced'
    assert not leaf.node.state.may_start(cluster.now + leaf.offset)


def test_vm_that_starts_alone_in_an_outage_gets_no_lease():
    each = vm_settings(HALVORSEN, 1)[0]
    cluster = Cluster([each], config_of(HALVORSEN))
    cluster.store.set_down(True)
    cluster.run(10)
    entry = cluster.processes['vm-000/entry'].node
    assert not entry.state.lease.until


def test_vm_that_restarts_in_an_outage_gets_a_lease_from_its_peers():
    cluster, checker = start_cluster()
    cluster.store.set_down(True)
    checker.run(3)
    cluster.kill_vm('vm-005')
    checker.run(1)
    cluster.start_vm(cluster.settings['vm-005'])
    checker.run(10, step=0.2)
    leaf = cluster.processes['vm-005/leaf']
    assert leaf.node.state.may_start(cluster.now + leaf.offset)

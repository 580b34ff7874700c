"""Notes sent to the agents of a deployment while the store fails."""

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import (
    HALVORSEN,
    config_of,
    note_of,
    vm_settings,
)

VMS = 9
DOMAIN = HALVORSEN.domains[0]


def start_cluster(seed=1):
    cluster = Cluster(
        vm_settings(HALVORSEN, VMS),
        config_of(HALVORSEN),
        seed,
    )
    cluster.run(4)
    assert submit(cluster, note_of(HALVORSEN)).status == 200
    cluster.run(1)
    return cluster


def withdrawal(base=1, name='n-out'):
    return {
        'note': name,
        'format': 1,
        'base': base,
        'changed': {'domains': {DOMAIN: {'state': 'out'}}},
    }


def submit(cluster, note, vm='vm-004', wait=12.0):
    ask = cluster.ask(vm, 'note', note, role='agent')
    end = cluster.now + wait
    while not ask.answered and cluster.now < end:
        cluster.run(0.02)
    return ask


def worker_processes(cluster):
    return [
        process
        for process in cluster.processes.values()
        if process.alive and not process.name.endswith('/agent')
    ]


def may_start_work(cluster, process, domain):
    state = process.node.state
    starts = state.may_start(cluster.now + process.offset)
    return starts and state.domain_open(domain)


def test_accepted_note_is_in_force_everywhere():
    cluster = start_cluster()
    assert submit(cluster, withdrawal()).answer['state'] == 'accepted'
    cluster.run(1)
    states = [process.node.state for process in cluster.processes.values()]
    assert {state.config['generation'] for state in states} == {2}
    assert {state.config['domains'][DOMAIN]['state'] for state in states} == {
        'out',
    }


def test_no_note_is_accepted_in_an_outage():
    cluster = start_cluster()
    cluster.store.set_down(True)
    ask = submit(cluster, withdrawal())
    assert (ask.status, ask.answer['reason']) == (503, 'store_down')
    assert ask.answer['ran'] == 'not_run'
    cluster.run(5)
    assert all(
        may_start_work(cluster, each, DOMAIN)
        for each in worker_processes(cluster)
    )


def test_of_two_concurrent_notes_one_is_refused_with_the_reason():
    cluster = start_cluster()
    asks = [
        cluster.ask(vm, 'note', withdrawal(name=vm), role='agent')
        for vm in ('vm-001', 'vm-002')
    ]
    cluster.run(2)
    assert sorted(ask.status for ask in asks) == [200, 409]
    winner, loser = sorted(asks, key=lambda ask: ask.status)
    assert winner.body['note'] in loser.answer['detail']


def test_note_is_accepted_after_lost_replies():
    cluster = start_cluster()
    cluster.store.lose_replies = 1.0
    ask = cluster.ask('vm-004', 'note', withdrawal(), role='agent')
    cluster.run(3)
    cluster.store.lose_replies = 0.0
    cluster.run(4)
    assert ask.answer['state'] == 'accepted'
    heads = [
        write
        for write in cluster.store.history
        if write.obj.key == 'config/head'
    ]
    assert len(heads) == 2


@pytest.mark.parametrize('isolated', [True, False])
def test_accepted_withdrawal_holds_if_the_store_then_fails(
    isolated,
):
    cluster = start_cluster()
    ask = cluster.ask('vm-004', 'note', withdrawal(), role='agent')
    while len([w for w in cluster.store.history if 'head' in w.obj.key]) < 2:
        cluster.run(0.001)
    cluster.store.set_down(True)
    if isolated:
        for vm in cluster.settings:
            cluster.cuts.add(frozenset(('vm-004', vm)))
    cluster.run(0.1)
    assert ask.status == 200
    cluster.run(2.9)
    for _ in range(20):
        assert not any(
            may_start_work(cluster, w, DOMAIN)
            for w in worker_processes(cluster)
        )
        cluster.run(0.5)


def test_suspension_ends_if_the_note_was_not_written():
    cluster = start_cluster()
    cluster.store.lose_writes = 1.0
    cluster.ask('vm-004', 'note', withdrawal(), role='agent')
    cluster.run(0.5)
    cluster.kill_vm('vm-004')
    cluster.run(2.5)
    cluster.store.lose_writes = 0.0
    cluster.run(6)
    alive = [each for each in worker_processes(cluster)]
    assert all(may_start_work(cluster, each, DOMAIN) for each in alive)


class DistributionMachine(RuleBasedStateMachine):
    """No process goes back a generation or works below the granted one."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.cluster = start_cluster(seed)
        self.last_generations = {}
        self.notes = 0

    @rule(place=st.integers(0, VMS - 1), out=st.booleans())
    def send_note(self, place, out):
        vm = f'vm-{place:03}'
        agent = self.cluster.processes[f'{vm}/agent']
        self.notes += 1
        note = withdrawal(
            agent.node.state.config['generation'],
            f'n-{self.notes}',
        )
        note['changed']['domains'][DOMAIN]['state'] = 'out' if out else 'in'
        self.cluster.ask(vm, 'note', note, role='agent')
        self.advance(0.5)

    @rule(down=st.booleans())
    def store_outage(self, down):
        self.cluster.store.set_down(down)
        self.advance(1)

    @rule(latency=st.sampled_from([0.004, 0.5, 3.0]), stalled=st.booleans())
    def slow_store(self, latency, stalled):
        self.cluster.store.latency = latency
        self.cluster.store.stalled = stalled
        self.advance(1)

    @rule(place=st.integers(0, VMS - 1))
    def restart(self, place):
        vm = f'vm-{place:03}'
        self.cluster.kill_vm(vm)
        self.cluster.start_vm(self.cluster.settings[vm])
        self.advance(1)

    @rule(one=st.integers(0, 2), other=st.integers(0, 2))
    def cut(self, one, other):
        pair = (HALVORSEN.domains[one], HALVORSEN.domains[other])
        self.cluster.cuts.add(frozenset(pair))
        self.advance(1)

    @rule()
    def heal(self):
        self.cluster.cuts.clear()
        self.advance(2)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.cluster.run(0.1)
            self.check_generations()

    def check_generations(self):
        for process in self.cluster.processes.values():
            state = process.node.state
            generation = state.config['generation']
            assert generation >= self.last_generations.get(state.uid, 0)
            self.last_generations[state.uid] = generation
            now = self.cluster.now + process.offset
            if process.alive and state.uid.role != 'agent':
                client = process.node.parts[0]
                granted = client.status(now)['granted_generation']
                assert not state.may_start(now) or generation >= granted


DistributionMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=10,
    stateful_step_count=10,
    deadline=None,
)
test_distribution_machine = DistributionMachine.TestCase

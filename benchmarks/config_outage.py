"""Measures withdrawals whose store fails as the note is accepted."""

from random import Random

from benchmarks.config_fleet import VM_COUNT, start_fleet
from rosemaryweir.schema.generated.note import ReleaseNote
from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import HALVORSEN
from rosemaryweir.testing.process import Ask

__all__ = ['outage_after_acceptance']

#: Virtual time at which a trial ends without an answer.
TRIAL_LIMIT_S = 30.0

#: Time after which a domain counts as never closed.
CLOSE_LIMIT_S = 10.0


def outage_after_acceptance(seed: int, rounds: int) -> tuple[float, int]:
    """Withdraw a failure domain, and stop the store at the acceptance.

    Return the longest time until no process starts work in the domain, and
    the number of accepted withdrawals.
    """
    longest = 0.0
    accepted = 0
    for number in range(rounds):
        cluster, watch = start_fleet(VM_COUNT, seed + number)
        rng = Random(seed + number)
        domain = rng.choice(HALVORSEN.domains)
        note = ReleaseNote(
            note='withdraw',
            format=1,
            base=1,
            changed={'domains': {domain: {'state': 'out'}}},
        )
        ask = cluster.ask('vm-004', 'note', note, role='agent')
        _outage_at_write(cluster, rng)
        while not ask.answered and cluster.now < TRIAL_LIMIT_S:
            cluster.run(0.01)
        if ask.status != 200:
            continue
        accepted += 1
        longest = max(longest, _time_until_closed(cluster, domain, ask))
    return longest, accepted


def _outage_at_write(cluster: Cluster, rng: Random) -> None:
    """Stop the store when it has written the head of the withdrawal."""
    before = cluster.store.history.copy()
    isolated = rng.choice([True, False])
    while cluster.now < TRIAL_LIMIT_S:
        cluster.run(0.001)
        new = cluster.store.history[len(before) :]
        if any(write.obj.key == 'config/head' for write in new):
            break
    cluster.store.set_down(True)
    if isolated:
        others = [vm for vm in cluster.settings if vm != 'vm-004']
        for vm in others:
            cluster.cuts.add(frozenset(('vm-004', vm)))


def _time_until_closed(cluster: Cluster, domain: str, ask: Ask) -> float:
    while cluster.now < ask.answered + CLOSE_LIMIT_S:
        open_processes = [
            process
            for process in cluster.processes.values()
            if not process.name.endswith('/agent')
            and process.node.state.domain_open(domain)
            and process.node.state.may_start(cluster.now + process.offset)
        ]
        if not open_processes:
            return cluster.now - ask.answered
        cluster.run(0.02)
    return CLOSE_LIMIT_S

"""Tests of the ownership of targets."""

from collections import Counter
from random import Random

from rosemaryweir.targets.ownership import OwnerCache, owner

VMS = ('vm1', 'vm2', 'vm3')
TARGETS = [f't{number}' for number in range(300)]


def _view(version=1, **states):
    members = [{'vm': vm, 'state': states.get(vm, 'alive')} for vm in VMS]
    return {'domain': 'd', 'version': version, 'members': members}


def test_targets_are_spread_over_members():
    shares = Counter(owner(target, _view()) for target in TARGETS)
    assert set(shares) == set(VMS)
    assert min(shares.values()) > 60


def test_only_the_targets_of_a_lost_member_move():
    before = {target: owner(target, _view()) for target in TARGETS}
    after = {target: owner(target, _view(vm2='dead')) for target in TARGETS}
    moved = {target for target in TARGETS if before[target] != after[target]}
    assert moved == {t for t, vm in before.items() if vm == 'vm2'}


def test_only_alive_members_own_targets():
    view = _view(vm1='leaving', vm2='suspect', vm3='dead')
    assert owner('t1', view) is None


def test_cached_owners_follow_the_view():
    owners = OwnerCache()
    for version, state in enumerate(('alive', 'dead', 'alive'), 1):
        view = _view(version, vm2=state)
        found = [owners.owner_of(target, view) for target in TARGETS]
        assert found == [owner(target, view) for target in TARGETS]


def test_cached_owners_equal_those_computed_anew():
    rng = Random(5)
    owners = OwnerCache()
    states = ('alive', 'alive', 'suspect', 'dead')
    for version in range(1, 40):
        members = [
            {'vm': f'vm{number}', 'state': rng.choice(states)}
            for number in range(rng.randint(0, 9))
        ]
        view = {'domain': 'd', 'version': version, 'members': members}
        requested = rng.sample(TARGETS, 200)
        found = [owners.owner_of(target, view) for target in requested]
        assert found == [owner(target, view) for target in requested]

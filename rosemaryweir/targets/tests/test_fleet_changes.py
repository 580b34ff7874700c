"""A leaf looks for owners of the targets that a change touches, not of all."""

import pytest

from rosemaryweir.targets import handover
from rosemaryweir.targets.ownership import OwnerCache
from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import (
    HALVORSEN,
    config_of,
    vm_settings,
)


@pytest.fixture
def asked(monkeypatch):
    names = []

    class Counted(OwnerCache):
        def owner_of(self, target, view):
            names.append(target)
            return super().owner_of(target, view)

    monkeypatch.setattr(handover, 'OwnerCache', Counted)
    return names


def test_only_changed_targets_are_given_owners(asked):
    config = config_of(HALVORSEN)
    cluster = Cluster(vm_settings(HALVORSEN, 9), config, static=True)
    cluster.run(1)
    first, second = list(config['targets'])[:2]
    targets = {**config['targets']}
    targets['new'] = targets.pop(first)
    targets[second] = {**targets[second], 'domain': HALVORSEN.domains[2]}
    asked.clear()
    # Equal records that came whole are no change.
    copied = {name: dict(target) for name, target in targets.items()}
    cluster.set_config({**config, 'generation': 2, 'targets': copied})
    cluster.run(1)
    assert set(asked) == {'new', second}
    owners = [
        name
        for name, process in cluster.processes.items()
        if name.endswith('/leaf') and _owns(process, 'new')
    ]
    assert len(owners) == 1


def _owns(process, target):
    fleets = [
        part.registry
        for part in process.node.parts
        if hasattr(part, 'registry')
    ]
    return any(target in registry.handover.owned() for registry in fleets)

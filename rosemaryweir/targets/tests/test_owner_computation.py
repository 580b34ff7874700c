"""A leaf computes owners only for the targets that a change concerns."""

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
def requested(monkeypatch):
    names = []

    class RecordingCache(OwnerCache):
        def owner_of(self, target, view):
            names.append(target)
            return super().owner_of(target, view)

    monkeypatch.setattr(handover, 'OwnerCache', RecordingCache)
    return names


def test_owners_are_computed_only_for_changed_targets(requested):
    config = config_of(HALVORSEN)
    cluster = Cluster(vm_settings(HALVORSEN, 9), config, static=True)
    cluster.run(1)
    first, second = list(config['targets'])[:2]
    targets = {**config['targets']}
    targets['new'] = targets.pop(first)
    targets[second] = {**targets[second], 'domain': HALVORSEN.domains[2]}
    requested.clear()
    # Copies of equal records are not changes.
    copied = {name: dict(target) for name, target in targets.items()}
    cluster.set_config({**config, 'generation': 2, 'targets': copied})
    cluster.run(1)
    assert set(requested) == {'new', second}
    owners = [
        name
        for name, process in cluster.processes.items()
        if name.endswith('/leaf') and _owns(process, 'new')
    ]
    assert len(owners) == 1


def _owns(process, target):
    registries = [
        part.registry
        for part in process.node.parts
        if hasattr(part, 'registry')
    ]
    return any(target in registry.handover.owned() for registry in registries)

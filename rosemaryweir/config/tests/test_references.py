"""Findings about references, and the cost of checking them."""

from rosemaryweir.config.references import reference_findings
from rosemaryweir.testing.deployment import HALVORSEN, config_of


class CountingDict(dict):
    """Dictionary that counts iterations over all its items."""

    iterations = 0

    def __iter__(self):
        self.iterations += 1
        return super().__iter__()

    def items(self):
        self.iterations += 1
        return super().items()

    def keys(self):
        self.iterations += 1
        return super().keys()


def test_targets_are_iterated_once_not_for_each_shard():
    config = config_of(HALVORSEN)
    targets = CountingDict(config['targets'])
    config['targets'] = targets
    assert not tuple(reference_findings(config, config))
    assert targets.iterations == 1


def test_unknown_target_is_reported_with_its_path():
    config = config_of(HALVORSEN)
    name, service = next(iter(config['services'].items()))
    shard = next(iter(service['shards']))
    removed = service['shards'][shard]['targets'][0]
    config['targets'].pop(removed)
    found = tuple(reference_findings(config, config))
    assert f'$.services.{name}.shards.{shard}.targets' in {
        each.path for each in found
    }
    assert any(removed in each.problem for each in found)

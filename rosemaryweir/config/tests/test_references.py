"""What a configuration must hold as a whole, and what checking it reads."""

from rosemaryweir.config.references import reference_findings
from rosemaryweir.testing.deployment import HALVORSEN, config_of


class Counted(dict):
    """A section that counts how often it is read from end to end."""

    reads = 0

    def __iter__(self):
        self.reads += 1
        return super().__iter__()

    def items(self):
        self.reads += 1
        return super().items()

    def keys(self):
        self.reads += 1
        return super().keys()


def test_targets_are_read_once_not_for_each_shard():
    config = config_of(HALVORSEN)
    targets = Counted(config['targets'])
    config['targets'] = targets
    assert not tuple(reference_findings(config, config))
    assert targets.reads == 1


def test_unknown_target_is_found_with_its_place():
    config = config_of(HALVORSEN)
    name, service = next(iter(config['services'].items()))
    shard = next(iter(service['shards']))
    gone = service['shards'][shard]['targets'][0]
    config['targets'].pop(gone)
    found = tuple(reference_findings(config, config))
    assert f'$.services.{name}.shards.{shard}.targets' in {
        each.path for each in found
    }
    assert any(gone in each.problem for each in found)

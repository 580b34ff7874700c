"""Benchmark ``capacity``: memory and control work at the design size.

Each figure is measured at two sizes and extrapolated linearly to the design
size.  Memory is what ``tracemalloc`` reports for the real state: the decoded
configuration, the views, and the parts of an entry and of a leaf.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, NamedTuple

import msgspec

from benchmarks.capacity_spread import (
    apply_seconds,
    measure_change_cost,
    note_write_seconds,
)
from benchmarks.capacity_views import adoption_seconds, replacement_bytes
from benchmarks.report import Check, Report, at_most, benchmark
from rosemaryweir.compose import Node
from rosemaryweir.config.content import (
    CHUNK_BYTES,
    chunk_key,
    decode_config,
    encode_config,
)
from rosemaryweir.config.delta import hash_config
from rosemaryweir.node.event import Wake
from rosemaryweir.node.state import Lease
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.testing.deployment import (
    DEPLOYMENTS,
    Deployment,
    ServiceSize,
    config_of,
    vm_settings,
)
from rosemaryweir.testing.process import static_view

__all__ = ['run']

DESIGN_VMS = 8800
DESIGN_TARGETS = 83_000
DOMAIN_COUNT = 11
CHANGES_PER_DAY = 7000
REPLACEMENTS_PER_DAY = 9900
#: View versions per replaced VM: one joins, one leaves.
VIEWS_PER_REPLACEMENT = 2
SECONDS_PER_DAY = 86_400
MAX_CONTROL_BYTES_PER_S = 9000.0
MAX_CONTROL_MB = 256.0
MAX_CONTROL_CORE_SHARE = 0.021
SHARDS_PER_SERVICE = 120
REPLICAS = 3
MB = 1_000_000
REPEATS = 3
ROLES = ('agent', 'entry', 'leaf')

#: Numbers of targets for which the bytes of changes are counted.
CHANGE_SIZES = (720, 3600)

#: Reads of the configuration head by a VM that watches the store.
HEAD_READS_PER_S = 2.0


class LinearCost(NamedTuple):
    """A cost that grows with a count: ``fixed + per_unit * count``."""

    fixed: float
    per_unit: float

    def at(self, count: float) -> float:
        """Return the cost at a count; a negative slope counts as zero."""
        return self.fixed + max(0.0, self.per_unit) * count


def _measure_line(
    low: int, high: int, cost: Callable[[int], float]
) -> LinearCost:
    return _linear_cost(low, high, cost(low), cost(high))


def _linear_cost(low: int, high: int, small: float, large: float) -> LinearCost:
    per_unit = (large - small) / (high - low)
    return LinearCost(max(small - per_unit * low, 0.0), per_unit)


def _deployment(targets: int) -> Deployment:
    size = SHARDS_PER_SERVICE * REPLICAS
    services = tuple(
        ServiceSize(
            f'archive-{index:03d}',
            'query',
            SHARDS_PER_SERVICE,
            REPLICAS,
            3,
            30,
            6.0,
        )
        for index in range(max(targets // size, 1))
    )
    domains = tuple(f'domain-{index:02d}' for index in range(DOMAIN_COUNT))
    return DEPLOYMENTS['halvorsen']._replace(
        services=services,
        domains=domains,
    )


def _config(targets: int) -> Config:
    return config_of(_deployment(targets))


def _held_bytes(build: Callable[[], Any]) -> float:
    """Return the bytes allocated by a built object."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(held)


def _cpu_seconds(work: Callable[[], Any]) -> float:
    times = []
    for _ in range(REPEATS):
        began = time.process_time()
        work()
        times.append(time.process_time() - began)
    return min(times)


def _members(count: int) -> list[Any]:
    deployment = _deployment(1)
    settings = vm_settings(deployment, count)
    return [static_view(name, settings) for name in deployment.domains]


def _decoded_members_bytes(count: int) -> float:
    encoded = msgspec.json.encode(_members(count))
    return _held_bytes(lambda: msgspec.json.decode(encoded))


def _node_bytes(role: str, targets: int) -> float:
    """Return the bytes of a node's parts, without its configuration.

    The node belongs to the only VM of its failure domain, so that a leaf owns
    an eleventh of the targets.
    """
    config = _config(targets)
    settings = vm_settings(_deployment(targets), DOMAIN_COUNT)
    views = [static_view(name, settings) for name in config['domains']]

    def build() -> Node:
        node = Node.from_config(settings[0], role, 1, Random(1))
        node.state.take_config(config)
        node.state.lease = Lease(float('inf'), '')
        for view in views:
            node.state.take_view(view)
        node.handle(Wake(), 10.0)
        return node

    return _held_bytes(build)


def _apply_seconds(role: str, targets: int) -> float:
    return apply_seconds(role, _deployment(targets), REPEATS)


def _measure_costs(low: int, high: int) -> dict[str, LinearCost]:
    encoded = {size: encode_config(_config(size)) for size in (low, high)}
    return {
        'config_bytes_per_target': _measure_line(
            low, high, lambda size: float(len(encoded[size]))
        ),
        'config_memory_per_target': _measure_line(
            low,
            high,
            lambda size: _held_bytes(lambda: decode_config(encoded[size])),
        ),
        'config_decode_s_per_target': _measure_line(
            low,
            high,
            lambda size: _cpu_seconds(lambda: decode_config(encoded[size])),
        ),
        'config_digest_s_per_target': _measure_line(
            low,
            high,
            lambda size: _cpu_seconds(
                lambda: hash_config(decode_config(encoded[size])),
            ),
        ),
        'note_write_s_per_target': _measure_line(
            low, high, lambda size: note_write_seconds(_deployment(size))
        ),
        **{
            f'{role}_apply_s_per_target': _measure_line(
                low, high, partial(_apply_seconds, role)
            )
            for role in ROLES
        },
        'view_bytes_per_member': _measure_line(
            100,
            1000,
            lambda count: float(len(msgspec.json.encode(_members(count)))),
        ),
        'view_memory_per_member': _measure_line(
            100, 1000, _decoded_members_bytes
        ),
        'view_change_bytes_per_member': _measure_line(
            100, 800, replacement_bytes
        ),
        'view_change_s_per_target': _measure_line(
            low // DOMAIN_COUNT,
            high // DOMAIN_COUNT,
            lambda count: adoption_seconds(count, DESIGN_VMS // DOMAIN_COUNT),
        ),
        'entry_memory_per_target': _measure_line(
            low, high, lambda size: _node_bytes('entry', size)
        ),
        'leaf_memory_per_owned_target': _measure_line(
            low // DOMAIN_COUNT,
            high // DOMAIN_COUNT,
            lambda owned: _node_bytes('leaf', owned * DOMAIN_COUNT),
        ),
    }


def _measure_changes(seed: int) -> tuple[dict[str, LinearCost], int]:
    """Return the bytes of a change and the number of whole contents sent."""
    low, high = CHANGE_SIZES
    found = {
        size: measure_change_cost(_deployment(size), seed)
        for size in CHANGE_SIZES
    }
    fields = {size: each._asdict() for size, each in found.items()}
    slopes = {
        f'change_{name}_bytes': _linear_cost(
            low, high, small, fields[high][name]
        )
        for name, small in fields[low].items()
        if name != 'whole'
    }
    return slopes, sum(each.whole for each in found.values())


def _at_design_size(costs: dict[str, LinearCost]) -> dict[str, float]:
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    config_memory = costs['config_memory_per_target'].at(DESIGN_TARGETS)
    view_memory = costs['view_memory_per_member'].at(DESIGN_VMS)
    config_bytes = costs['config_bytes_per_target'].at(DESIGN_TARGETS)
    apply_s = {
        role: costs[f'{role}_apply_s_per_target'].at(DESIGN_TARGETS)
        for role in ROLES
    }
    newcomers_per_s = REPLACEMENTS_PER_DAY / SECONDS_PER_DAY / DESIGN_VMS
    changes = costs['change_node_bytes'].at(DESIGN_TARGETS) * changes_per_s
    # Each byte received by one VM is also sent by another.
    newcomers = 2 * config_bytes * newcomers_per_s
    chunk_names = config_bytes / CHUNK_BYTES * len(chunk_key(32 * 'f', 0))
    members = DESIGN_VMS / DOMAIN_COUNT
    view_changes_per_s = (
        VIEWS_PER_REPLACEMENT * REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    )
    view_change_s = costs['view_change_s_per_target'].at(
        DESIGN_TARGETS / DOMAIN_COUNT
    )
    owned = DESIGN_TARGETS / DESIGN_VMS
    return {
        'config_mb': config_bytes / MB,
        'config_memory_mb': config_memory / MB,
        'view_memory_mb': view_memory / MB,
        'entry_parts_mb': costs['entry_memory_per_target'].at(DESIGN_TARGETS)
        / MB,
        'leaf_parts_mb': costs['leaf_memory_per_owned_target'].at(owned) / MB,
        'control_memory_mb': (config_memory + view_memory) / MB,
        'change_bytes_per_s': changes,
        'newcomer_bytes_per_s': newcomers,
        'config_bytes_per_s': changes + newcomers,
        'watcher_head_bytes_per_s': (
            (costs['change_head_bytes'].at(DESIGN_TARGETS) + chunk_names)
            * HEAD_READS_PER_S
        ),
        # Each byte received by one VM is also sent by another.
        'view_change_bytes_per_s': (
            2
            * costs['view_change_bytes_per_member'].at(members)
            * view_changes_per_s
        ),
        'view_change_s': view_change_s,
        'view_change_core': view_change_s * view_changes_per_s / DOMAIN_COUNT,
        **{f'{role}_apply_s': cost for role, cost in apply_s.items()},
        'apply_core': sum(apply_s.values()) * changes_per_s,
        'note_write_s': costs['note_write_s_per_target'].at(DESIGN_TARGETS),
    }


def _checks(design: dict[str, float], whole: int) -> tuple[Check, ...]:
    return (
        at_most(
            'control memory in MB, extrapolated',
            design['control_memory_mb'],
            MAX_CONTROL_MB,
        ),
        at_most(
            'bytes a second of configurations and views, extrapolated',
            design['config_bytes_per_s'] + design['view_change_bytes_per_s'],
            MAX_CONTROL_BYTES_PER_S,
        ),
        at_most('messages of whole content for changes', whole, 0),
        at_most(
            'share of a core to apply changes, extrapolated',
            design['apply_core'] + design['view_change_core'],
            MAX_CONTROL_CORE_SHARE,
        ),
    )


@benchmark('capacity')
def run(seed: int, quick: bool) -> Report:
    """Measure costs at two sizes and extrapolate to the design size."""
    low, high = (720, 3600) if quick else (3600, 18_000)
    costs = _measure_costs(low, high)
    spread, whole = _measure_changes(seed)
    costs.update(spread)
    design = _at_design_size(costs)
    figures: dict[str, Any] = {
        'measured_at': [low, high],
        **{name: slope.per_unit for name, slope in costs.items()},
        'at_design_size': design,
    }
    return Report('capacity', seed, figures, {}, _checks(design, whole))

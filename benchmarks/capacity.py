"""State and control work at the design size, from slopes measured here.

Each figure is measured at two sizes; the slope between them is carried on to
the design size.  Memory is what ``tracemalloc`` sees of the real state: the
decoded configuration, the views, the parts of an entry and of a leaf.
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
    measure_spread,
    write_seconds,
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

NODES = 8800
SERVERS = 83_000
DOMAINS = 11
CHANGES_PER_DAY = 7000
REPLACEMENTS_PER_DAY = 9900
#: Versions of a view that replace one VM: one joins, one leaves.
VERSIONS = 2
SECONDS_PER_DAY = 86_400
CONTROL_BYTES_PER_S = 9000.0
CONTROL_MB = 256.0
CONTROL_CORE = 0.021
SHARDS_PER_SERVICE = 120
REPLICAS = 3
MB = 1_000_000
REPEATS = 3
ROLES = ('agent', 'entry', 'leaf')

#: Targets in the runs that count bytes of changes.
SPREAD_SIZES = (720, 3600)

#: Reads of the head a second by a VM that watches.
HEAD_READS_PER_S = 2.0


class Slope(NamedTuple):
    """A cost that grows with a count: ``fixed + each * count``."""

    fixed: float
    each: float

    def at(self, count: float) -> float:
        """Return the cost at a count; what seems to shrink is constant."""
        return self.fixed + max(0.0, self.each) * count


def _slope(low: int, high: int, cost: Callable[[int], float]) -> Slope:
    return _line(low, high, cost(low), cost(high))


def _line(low: int, high: int, small: float, large: float) -> Slope:
    each = (large - small) / (high - low)
    return Slope(max(small - each * low, 0.0), each)


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
    domains = tuple(f'domain-{index:02d}' for index in range(DOMAINS))
    return DEPLOYMENTS['halvorsen']._replace(
        services=services,
        domains=domains,
    )


def _config(targets: int) -> Config:
    return config_of(_deployment(targets))


def _memory(build: Callable[[], Any]) -> float:
    """Return the bytes that a built object holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(held)


def _seconds(work: Callable[[], Any]) -> float:
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


def _decoded_members(count: int) -> float:
    encoded = msgspec.json.encode(_members(count))
    return _memory(lambda: msgspec.json.decode(encoded))


def _node(role: str, targets: int) -> float:
    """Return the bytes of a node's parts beside its configuration.

    The node belongs to the only VM of its failure domain, so that a leaf owns
    an eleventh of the targets.
    """
    config = _config(targets)
    settings = vm_settings(_deployment(targets), DOMAINS)
    views = [static_view(name, settings) for name in config['domains']]

    def build() -> Node:
        node = Node.from_config(settings[0], role, 1, Random(1))
        node.state.take_config(config)
        node.state.lease = Lease(float('inf'), '')
        for view in views:
            node.state.take_view(view)
        node.handle(Wake(), 10.0)
        return node

    return _memory(build)


def _apply_seconds(role: str, targets: int) -> float:
    return apply_seconds(role, _deployment(targets), REPEATS)


def _costs(low: int, high: int) -> dict[str, Slope]:
    encoded = {size: encode_config(_config(size)) for size in (low, high)}
    return {
        'config_bytes_per_target': _slope(
            low, high, lambda size: float(len(encoded[size]))
        ),
        'config_memory_per_target': _slope(
            low,
            high,
            lambda size: _memory(lambda: decode_config(encoded[size])),
        ),
        'config_decode_s_per_target': _slope(
            low,
            high,
            lambda size: _seconds(lambda: decode_config(encoded[size])),
        ),
        'config_digest_s_per_target': _slope(
            low,
            high,
            lambda size: _seconds(
                lambda: hash_config(decode_config(encoded[size])),
            ),
        ),
        'note_write_s_per_target': _slope(
            low, high, lambda size: write_seconds(_deployment(size))
        ),
        **{
            f'{role}_apply_s_per_target': _slope(
                low, high, partial(_apply_seconds, role)
            )
            for role in ROLES
        },
        'view_bytes_per_member': _slope(
            100,
            1000,
            lambda count: float(len(msgspec.json.encode(_members(count)))),
        ),
        'view_memory_per_member': _slope(100, 1000, _decoded_members),
        'view_change_bytes_per_member': _slope(100, 800, replacement_bytes),
        'view_change_s_per_target': _slope(
            low // DOMAINS,
            high // DOMAINS,
            lambda count: adoption_seconds(count, NODES // DOMAINS),
        ),
        'entry_memory_per_target': _slope(
            low, high, lambda size: _node('entry', size)
        ),
        'leaf_memory_per_owned_target': _slope(
            low // DOMAINS,
            high // DOMAINS,
            lambda owned: _node('leaf', owned * DOMAINS),
        ),
    }


def _spread(seed: int) -> tuple[dict[str, Slope], int]:
    """Return the bytes of a change, and how often whole content was sent."""
    low, high = SPREAD_SIZES
    found = {
        size: measure_spread(_deployment(size), seed) for size in SPREAD_SIZES
    }
    fields = {size: each._asdict() for size, each in found.items()}
    slopes = {
        f'change_{name}_bytes': _line(low, high, small, fields[high][name])
        for name, small in fields[low].items()
        if name != 'whole'
    }
    return slopes, sum(each.whole for each in found.values())


def _at_design_size(costs: dict[str, Slope]) -> dict[str, float]:
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    config_memory = costs['config_memory_per_target'].at(SERVERS)
    view_memory = costs['view_memory_per_member'].at(NODES)
    config_bytes = costs['config_bytes_per_target'].at(SERVERS)
    apply_s = {
        role: costs[f'{role}_apply_s_per_target'].at(SERVERS) for role in ROLES
    }
    newcomers_per_s = REPLACEMENTS_PER_DAY / SECONDS_PER_DAY / NODES
    changes = costs['change_node_bytes'].at(SERVERS) * changes_per_s
    # What one VM gets another sends.
    newcomers = 2 * config_bytes * newcomers_per_s
    chunk_names = config_bytes / CHUNK_BYTES * len(chunk_key(32 * 'f', 0))
    members = NODES / DOMAINS
    view_changes_per_s = VERSIONS * REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    view_change_s = costs['view_change_s_per_target'].at(SERVERS / DOMAINS)
    owned = SERVERS / NODES
    return {
        'config_mb': config_bytes / MB,
        'config_memory_mb': config_memory / MB,
        'view_memory_mb': view_memory / MB,
        'entry_parts_mb': costs['entry_memory_per_target'].at(SERVERS) / MB,
        'leaf_parts_mb': costs['leaf_memory_per_owned_target'].at(owned) / MB,
        'control_memory_mb': (config_memory + view_memory) / MB,
        'change_bytes_per_s': changes,
        'newcomer_bytes_per_s': newcomers,
        'config_bytes_per_s': changes + newcomers,
        'watcher_head_bytes_per_s': (
            (costs['change_head_bytes'].at(SERVERS) + chunk_names)
            * HEAD_READS_PER_S
        ),
        # What one VM gets another sends.
        'view_change_bytes_per_s': (
            2
            * costs['view_change_bytes_per_member'].at(members)
            * view_changes_per_s
        ),
        'view_change_s': view_change_s,
        'view_change_core': view_change_s * view_changes_per_s / DOMAINS,
        **{f'{role}_apply_s': cost for role, cost in apply_s.items()},
        'apply_core': sum(apply_s.values()) * changes_per_s,
        'note_write_s': costs['note_write_s_per_target'].at(SERVERS),
    }


def _checks(design: dict[str, float], whole: int) -> tuple[Check, ...]:
    return (
        at_most(
            'control memory in MB, extrapolated',
            design['control_memory_mb'],
            CONTROL_MB,
        ),
        at_most(
            'bytes a second of configurations and views, extrapolated',
            design['config_bytes_per_s'] + design['view_change_bytes_per_s'],
            CONTROL_BYTES_PER_S,
        ),
        at_most('messages of whole content for changes', whole, 0),
        at_most(
            'share of a core to apply changes, extrapolated',
            design['apply_core'] + design['view_change_core'],
            CONTROL_CORE,
        ),
    )


@benchmark('capacity')
def run(seed: int, quick: bool) -> Report:
    """Measure the slopes of state and carry them to the design size."""
    low, high = (720, 3600) if quick else (3600, 18_000)
    costs = _costs(low, high)
    spread, whole = _spread(seed)
    costs.update(spread)
    design = _at_design_size(costs)
    figures: dict[str, Any] = {
        'measured_at': [low, high],
        **{name: slope.each for name, slope in costs.items()},
        'at_design_size': design,
    }
    return Report('capacity', seed, figures, {}, _checks(design, whole))

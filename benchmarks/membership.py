"""Benchmark ``membership``: detection, false deaths and cost by fleet size.

Agents run in virtual time, without entries and leaves.  Bytes are those of
the msgpack encoding; processor time is measured around each event that a
node handles.
"""

import contextlib
import math
import time
from collections.abc import Iterator
from random import Random
from typing import Any, NamedTuple

import msgspec

from benchmarks.report import Report, at_most, benchmark
from rosemaryweir import compose
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.service import MEMBER_CHANGED
from rosemaryweir.membership.views import encode_view, view_key
from rosemaryweir.schema.generated.control import Member
from rosemaryweir.schema.generated.settings import Settings
from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import HALVORSEN, config_of, vm_settings
from rosemaryweir.testing.process import static_view

__all__ = ['run']

DESIGN_VMS = 8800
MAX_CORE_SHARE = 0.021
MAX_NODE_BYTES_PER_S = 9000

#: Bound until a lost VM is out of every view: 3 s until no new work starts,
#: and a round of spreading the view.
MAX_DETECTION_S = 10.0

WAIT_LIMIT_S = 30.0

#: Bound until a node without evidence starts no new work.
MAX_FENCING_S = 3.0

# Faults that must not make an agent declare a VM dead.
PAUSE_S = 1.0
PARTITION_S = 4.0
LOSS_SHARE = 0.02
SETTLE_S = 3.0

#: Size of a heartbeat in the baseline.
HEARTBEAT_BYTES = 400
POLL_S = 0.1

#: Time in which one VM replaces another: at the design size each VM is
#: replaced once a day, thus one every 10 s.
REPLACEMENT_S = 10.0

#: Names in checks and fields of the figures that are bounded.
BYTE_CHECKS = (('quiet', 'bytes_per_node_s'), ('replacing', 'bytes_replacing'))

# Number of VMs, seconds to start, seconds of the idle measurement.
SIZES = ((9, 5.0, 10.0), (90, 5.0, 10.0), (900, 5.0, 5.0))
QUICK_SIZES = ((9, 5.0, 5.0), (45, 5.0, 5.0), (180, 5.0, 4.0))


class CpuMeter:
    """Sums the processor time that nodes take to handle events."""

    def __init__(self, cluster: Cluster) -> None:
        self.seconds = 0.0
        self._deliver = cluster.deliver
        cluster.deliver = self.deliver  # type: ignore[method-assign]
        self.cluster = cluster

    def deliver(self, process: Any, event: Any) -> None:
        """Deliver an event and add its processor time."""
        began = time.process_time()
        self._deliver(process, event)
        self.seconds += time.process_time() - began


class MembershipResult(NamedTuple):
    """Result of one fleet size; its fields are keys of the report."""

    vms: int
    loss_s: float
    join_s: float
    fenced_s: float
    false_deaths: int
    bytes_per_node_s: float
    bytes_replacing: float
    core_share: float


def _message_bytes(message: Any) -> int:
    return len(msgspec.msgpack.encode(message))


@contextlib.contextmanager
def _agents_only() -> Iterator[None]:
    roles = compose.ROLES
    setattr(compose, 'ROLES', ('agent',))  # noqa: B010
    try:
        yield
    finally:
        compose.ROLES = roles


def _write_views(cluster: Cluster, settings: list[Settings]) -> None:
    """Write the views to the store, as in a fleet that has run for long."""
    incarnation = cluster.processes[f'{settings[0]["vm"]}/agent']
    started = incarnation.node.state.uid.incarnation
    for domain in HALVORSEN.domains:
        members: list[Member] = [
            {**member, 'incarnation': started}
            for member in static_view(domain, settings)['members']
        ]
        content = encode_view(domain, members, [])
        cluster.store.put(view_key(domain), content)


def _agents(cluster: Cluster) -> list[Any]:
    return [
        process.node
        for process in cluster.processes.values()
        if process.alive and not process.paused
    ]


def _time_until(cluster: Cluster, vm: str, listed: bool) -> float:
    """Return the time until a VM is listed, or not, in all agents."""
    began = cluster.now
    while cluster.now < began + WAIT_LIMIT_S:
        if all(
            (node.state.member(vm) is not None) == listed
            for node in _agents(cluster)
            if node.state.uid.vm != vm
        ):
            return cluster.now - began
        cluster.run(POLL_S)
    return WAIT_LIMIT_S


def _count_deaths(cluster: Cluster, since: float) -> int:
    """Count the log entries of agents that declare a VM dead."""
    return sum(
        logged.event.fields.get('state') == 'dead'
        for logged in cluster.logs
        if logged.when >= since and logged.event.number == MEMBER_CHANGED
    )


def _count_false_deaths(cluster: Cluster, rng: Random) -> int:
    """Pause VMs, cut two failure domains and lose messages."""
    since = cluster.now
    paused = rng.sample(sorted(cluster.processes), 2)
    cluster.pause(*paused)
    cluster.run(PAUSE_S)
    cluster.resume(*paused)
    cluster.run(2.0)
    one, other, _ = HALVORSEN.domains
    cluster.cuts.add(frozenset((one, other)))
    cluster.run(PARTITION_S)
    cluster.cuts.clear()
    cluster.loss = LOSS_SHARE
    cluster.run(PARTITION_S)
    cluster.loss = 0.0
    cluster.run(2.0)
    return _count_deaths(cluster, since)


def _time_until_fenced(cluster: Cluster) -> float:
    """Cut a failure domain off; return the time until it is fenced."""
    domain = HALVORSEN.domains[0]
    inside = [
        process
        for process in cluster.processes.values()
        if process.settings['domain'] == domain and process.alive
    ]
    for other in HALVORSEN.domains[1:]:
        cluster.cuts.add(frozenset((domain, other)))
    cluster.store.cut = {process.settings['vm'] for process in inside}
    began = cluster.now
    while cluster.now < began + WAIT_LIMIT_S:
        permissions = [
            agent_state_of(process.node.state).permission(
                cluster.now + process.offset,
            )
            for process in inside
        ]
        if all(each.reason == 'fenced' for each in permissions):
            break
        cluster.run(POLL_S)
    taken = cluster.now - began
    cluster.cuts.clear()
    cluster.store.cut.clear()
    cluster.run(SETTLE_S)
    return taken


def _replacement_bytes(
    cluster: Cluster,
    new: Settings,
    old: Settings,
) -> float:
    """Return bytes per node and second while one VM replaces another."""
    sent = sum(cluster.sent_bytes.values())
    cluster.start_vm(new)
    cluster.run(REPLACEMENT_S / 2)
    cluster.shutdown_vm(old['vm'])
    cluster.run(REPLACEMENT_S / 2)
    moved = 2 * (sum(cluster.sent_bytes.values()) - sent)
    return round(moved / REPLACEMENT_S / len(cluster.settings))


def _measure(
    vms: int,
    seed: int,
    start_s: float,
    quiet_s: float,
) -> MembershipResult:
    rng = Random(seed)
    all_settings = vm_settings(HALVORSEN, vms + 2)
    with _agents_only():
        cluster = Cluster(
            all_settings[:-2],
            config_of(HALVORSEN),
            seed,
            size_of=_message_bytes,
        )
        _write_views(cluster, all_settings[:-2])
        meter = CpuMeter(cluster)
        cluster.run(start_s)
        sent = sum(cluster.sent_bytes.values())
        meter.seconds = 0.0
        cluster.run(quiet_s)
        # Each message is sent once and received once.
        moved = 2 * (sum(cluster.sent_bytes.values()) - sent)
        core = meter.seconds / quiet_s / vms
        replacing = _replacement_bytes(
            cluster, all_settings[-2], all_settings[0]
        )
        false_deaths = _count_false_deaths(cluster, rng)
        cluster.start_vm(all_settings[-1])
        joined = _time_until(cluster, all_settings[-1]['vm'], listed=True)
        lost = rng.choice(all_settings[1:-2])['vm']
        cluster.kill_vm(lost)
        found = _time_until(cluster, lost, listed=False)
        fenced = _time_until_fenced(cluster)
    return MembershipResult(
        vms,
        round(found, 2),
        round(joined, 2),
        round(fenced, 2),
        false_deaths,
        round(moved / quiet_s / vms),
        replacing,
        round(core, 5),
    )


def _extrapolate(
    found: list[MembershipResult], field: str
) -> tuple[float, float]:
    """Return the rise of a figure per tenfold size, and its estimate.

    The estimate for the design size is a linear extrapolation over the
    logarithm of the size, from the two largest sizes.
    """
    small, large = found[-2:]
    rise = (getattr(large, field) - getattr(small, field)) / math.log10(
        large.vms / small.vms,
    )
    ahead = math.log10(DESIGN_VMS / large.vms)
    estimate = getattr(large, field) + max(0.0, rise) * ahead
    return round(rise, 5), round(estimate, 5)


def _all_to_all_bytes(vms: int, message_bytes: float) -> float:
    """Return bytes per second if VMs sent to all others 4 times a second."""
    return 2 * 4 * (vms - 1) * message_bytes


@benchmark('membership')
def run(seed: int, quick: bool) -> Report:
    """Measure membership at three fleet sizes."""
    sizes = QUICK_SIZES if quick else SIZES
    found = [_measure(vms, seed, start, quiet) for vms, start, quiet in sizes]
    rise_bytes, bytes_at_design = _extrapolate(found, 'bytes_per_node_s')
    rise_core, core_at_design = _extrapolate(found, 'core_share')
    figures = {
        'by_fleet': [each._asdict() for each in found],
        'bytes_per_tenfold': rise_bytes,
        'core_share_per_tenfold': rise_core,
        'extrapolated_to_8800': {
            'bytes_per_node_s': bytes_at_design,
            'core_share': core_at_design,
        },
    }
    baselines = {
        'bytes_per_node_s_if_all_to_all': {
            each.vms: round(_all_to_all_bytes(each.vms, HEARTBEAT_BYTES))
            for each in found
        },
    }
    worst = max(each.loss_s for each in found)
    fenced = max(each.fenced_s for each in found)
    joins = max(each.join_s for each in found)
    deaths = sum(each.false_deaths for each in found)
    by_size = [
        at_most(
            f'bytes a second, {when} ({each.vms} VMs)',
            getattr(each, field),
            MAX_NODE_BYTES_PER_S,
        )
        for each in found
        for when, field in BYTE_CHECKS
    ]
    checks = (
        *by_size,
        at_most('lost VM out of every view (s)', worst, MAX_DETECTION_S),
        at_most('new VM in every view (s)', joins, MAX_DETECTION_S),
        at_most('isolated failure domain fenced (s)', fenced, MAX_FENCING_S),
        at_most('VMs wrongly taken for dead', deaths, 0),
        at_most(
            'bytes a second at 8,800', bytes_at_design, MAX_NODE_BYTES_PER_S
        ),
        at_most('share of a core at 8,800', core_at_design, MAX_CORE_SHARE),
    )
    return Report('membership', seed, figures, baselines, checks)

"""Benchmark ``config``: delay and cost until release notes are in force.

Agents, entries and leaves of whole VMs run in virtual time, under store
outages, a slow store, lost replies and stalled watches.
"""

import statistics
from collections.abc import Iterator
from random import Random

from benchmarks.config_faults import submit_bursts, submit_paced
from benchmarks.config_fleet import DAY_S, VM_COUNT, start_fleet, submit
from benchmarks.config_outage import outage_after_acceptance
from benchmarks.report import Report, at_least, at_most, benchmark

__all__ = ['run']

MAX_IN_FORCE_P99_S = 3.0
IN_FORCE_MAX_S = 10.0

#: Bound on the bytes that a node sends and receives.
MAX_NODE_BYTES_PER_S = 9000

#: Time until the changes at the start have spread.
START_SPREAD_S = 15.0


def _measure_cost(vms: int, seed: int, seconds: float) -> dict[str, float]:
    """Measure an idle fleet's store calls and bytes, and a note's delay."""
    cluster, tracker = start_fleet(vms, seed)
    cluster.run(START_SPREAD_S)
    calls = cluster.store.calls
    sent = sum(cluster.sent_bytes.values())
    cluster.run(seconds)
    store_rate = (cluster.store.calls - calls) / seconds
    # Each message is sent once and received once.
    node_bytes = 2 * (sum(cluster.sent_bytes.values()) - sent) / seconds / vms
    submit(cluster, tracker, 1, Random(seed))
    cluster.run(4.0)
    return {
        'store_calls_per_s': round(store_rate, 1),
        'store_calls_per_node_s': round(store_rate / vms, 3),
        'bytes_per_node_s': round(node_bytes),
        'note_in_force_s': round(max(tracker.delays()[1:], default=DAY_S), 3),
    }


def _polling_calls_per_s(vms: int) -> float:
    """Return the store calls per second if every agent polled and watched.

    That is two reads every 0.5 s and two watches renewed every 30 s.
    """
    return vms * (2 / 0.5 + 2 / 30)


def _quantile(delays: list[float], share: float) -> float:
    if not delays:
        return DAY_S
    ranked = sorted(delays)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def _sizes(quick: bool) -> Iterator[tuple[int, float]]:
    yield VM_COUNT, 10.0
    yield 90, 4.0
    if not quick:
        yield 300, 4.0


@benchmark('config')
def run(seed: int, quick: bool) -> Report:
    """Measure how soon release notes are in force."""
    rng = Random(seed)
    cluster, tracker = start_fleet(VM_COUNT, seed)
    submit_paced(cluster, tracker, 40 if quick else 1000, rng)
    burst_cluster, burst_tracker = start_fleet(VM_COUNT, seed + 1)
    submit_bursts(burst_cluster, burst_tracker, 3 if quick else 30, rng)
    delays = tracker.delays() + burst_tracker.delays()
    rounds = 4 if quick else 30
    longest_open, withdrawn = outage_after_acceptance(seed, rounds)
    costs = {vms: _measure_cost(vms, seed, span) for vms, span in _sizes(quick)}
    largest = max(costs)
    p99 = _quantile(delays, 0.99)
    spread = max(cost['note_in_force_s'] for cost in costs.values())
    reversions = tracker.reversions + burst_tracker.reversions
    figures = {
        'notes_accepted': len(delays),
        'notes_refused': tracker.refusals,
        'burst_notes_refused': burst_tracker.refusals,
        'in_force_median_s': round(statistics.median(delays), 4),
        'in_force_p99_s': round(p99, 4),
        'in_force_max_s': round(max(delays), 4),
        'withdrawals_before_outage': withdrawn,
        'closed_after_s': round(longest_open, 3),
        'cost_by_fleet': costs,
    }
    baselines = {
        'store_calls_per_s_if_all_poll': {
            vms: round(_polling_calls_per_s(vms), 1) for vms in costs
        },
        'in_force_s_by_poll_each_10_s': 10.0,
    }
    checks = (
        at_least('notes accepted', len(delays), 40),
        at_most('in force everywhere p99 (s)', p99, MAX_IN_FORCE_P99_S),
        at_most('in force everywhere max (s)', max(delays), IN_FORCE_MAX_S),
        at_most('in force in larger fleets (s)', spread, IN_FORCE_MAX_S),
        at_most('reversions', reversions, 0),
        at_least('withdrawals accepted before an outage', withdrawn, 1),
        at_most(
            'no new work after a withdrawal (s)',
            longest_open,
            MAX_IN_FORCE_P99_S,
        ),
        at_most(
            f'bytes per node and second at {largest}',
            costs[largest]['bytes_per_node_s'],
            MAX_NODE_BYTES_PER_S,
        ),
    )
    return Report('config', seed, figures, baselines, checks)

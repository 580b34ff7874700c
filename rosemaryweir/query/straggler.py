"""Eject stragglers while each shard keeps the majority of its targets.

The targets that take over the load of ejected ones get slower for that reason
alone.  If they were ejected in turn, the last target of the shard would be
overloaded.
"""

from collections.abc import Iterable, Sequence
from itertools import chain
from statistics import median
from typing import NamedTuple

from rosemaryweir.query.observed_target import ObservedTarget

__all__ = ['STRAGGLER_CHECK_INTERVAL_S', 'eject_stragglers']

#: Interval between checks, in seconds.
STRAGGLER_CHECK_INTERVAL_S = 0.1
#: Multiple of the median latency above which a target is a straggler.
SLOW_FACTOR = 4
#: Share of late attempts required of a straggler whose high latency is
#: reported by its leaf.
MIN_LATE_SHARE = 0.3
#: A target is no straggler if the latency that its leaf reports is below this
#: multiple of the median, however long attempts wait for it.
NORMAL_FACTOR = 1.5
#: Latencies required of a straggler that only this entry observed.
MIN_SAMPLES = 4
#: Share of the targets of a service that may be ejected.
MAX_EJECTED_SHARE = 0.2
#: Score factor of an ejected target: used only if no other is left.
EJECTED_SCORE_FACTOR = 1000
#: Time without a new latency after which any target is probed, in seconds.
MAX_LATENCY_AGE_S = 5
#: The same for a target that is not ejected but gets no work, in seconds, if
#: its latency is at the median.  Grows with the square of the latency in
#: relation to the median.
BASE_LATENCY_AGE_S = 0.25
#: A target whose cost is above this multiple of the median gets no work.
UNCHOSEN_FACTOR = 1.25
#: Time for which the load reported by a leaf is used, in seconds.
MAX_LOAD_AGE_S = 0.25


class ServiceMedians(NamedTuple):
    """Medians over the targets of a service, in seconds; 0 if unknown."""

    latency: float
    service_latency: float


def eject_stragglers(
    shards: Iterable[Sequence[ObservedTarget]],
    now: float,
) -> list[str]:
    """Set the score factors of targets; return the names of the ejected.

    Parameters
    ----------
    shards : iterable of sequence of ObservedTarget
        The targets of each shard of a service.
    now : float
        Present time.
    """
    groups = [tuple(shard) for shard in shards]
    targets = {member.name: member for member in chain.from_iterable(groups)}
    latencies = [each.mean_latency for each in targets.values() if each.samples]
    if not latencies:
        return []
    medians = ServiceMedians(
        median(latencies),
        median(
            [
                each.service_latency
                for each in targets.values()
                if each.service_latency
            ],
        )
        if any(each.service_latency for each in targets.values())
        else 0,
    )
    for observed in targets.values():
        _reset_outdated(observed, medians.latency, now)
    slow = [each for each in targets.values() if _is_straggler(each, medians)]
    slow.sort(key=lambda each: (-each.service_latency, -each.mean_latency))
    return _eject(slow, groups, int(MAX_EJECTED_SHARE * len(targets)))


def _is_straggler(observed: ObservedTarget, medians: ServiceMedians) -> bool:
    if (
        observed.late_share > MIN_LATE_SHARE
        and observed.service_latency > SLOW_FACTOR * medians.service_latency
    ):
        return True
    if 0 < observed.service_latency < NORMAL_FACTOR * medians.service_latency:
        return False
    far_above = observed.mean_latency > SLOW_FACTOR * medians.latency
    return observed.slow or (observed.samples >= MIN_SAMPLES and far_above)


def _eject(
    slow: Iterable[ObservedTarget],
    groups: Sequence[Sequence[ObservedTarget]],
    max_ejected: int,
) -> list[str]:
    groups_of: dict[str, list[Sequence[ObservedTarget]]] = {}
    for group in groups:
        for member in group:
            groups_of.setdefault(member.name, []).append(group)
    ejected: list[str] = []
    for observed in slow:
        if len(ejected) < max_ejected and _leaves_majority(
            observed,
            groups_of[observed.name],
        ):
            observed.score_factor = EJECTED_SCORE_FACTOR
            ejected.append(observed.name)
    return ejected


def _leaves_majority(
    observed: ObservedTarget,
    groups: Iterable[Sequence[ObservedTarget]],
) -> bool:
    """Return whether each shard keeps most targets if one more is ejected."""
    return all(
        2 * (sum(other.score_factor > 1 for other in group) + 1) < len(group)
        for group in groups
    )


def _reset_outdated(
    observed: ObservedTarget,
    median_latency: float,
    now: float,
) -> None:
    max_age = _max_latency_age(observed, median_latency)
    observed.score_factor = 1
    if now - observed.reported_at > MAX_LOAD_AGE_S:
        observed.reported = 0
    if (
        observed.samples
        and now - observed.measured_at > max_age
        and not observed.own_in_flight
    ):
        observed.start_probation(median_latency)


def _max_latency_age(observed: ObservedTarget, median_latency: float) -> float:
    """Return the age at which the latency of a target expires, in seconds.

    A target that gets no work cannot show that it has become faster, nor can
    its leaf show that it is warm.  The smaller its excess latency, the sooner
    it is probed.
    """
    cost = observed.mean_latency * (1 + observed.reported / observed.slots)
    if (
        observed.score_factor > 1
        or observed.slow
        or cost <= UNCHOSEN_FACTOR * median_latency
    ):
        return MAX_LATENCY_AGE_S
    return min(
        MAX_LATENCY_AGE_S,
        BASE_LATENCY_AGE_S * (observed.mean_latency / median_latency) ** 2,
    )

"""Eject stragglers, never most targets of a shard.

Targets that bear the load of ejected ones get slower for that alone; if they
were ejected in turn, the last one of the shard would be pushed over.
"""

from collections.abc import Iterable, Sequence
from itertools import chain
from statistics import median
from typing import NamedTuple

from rosemaryweir.query.observed_target import ObservedTarget

__all__ = ['CHECK_INTERVAL_S', 'eject']

#: Interval between checks, in seconds.
CHECK_INTERVAL_S = 0.1
#: A straggler is slower than the median by this factor.
SLOW_FOLD = 4
#: Share of its latest attempts that must have been late, if its leaf tells of
#: a straggler.
DOUBT_SHARE = 0.3
#: A target whose leaf tells of less than this multiple of the median is no
#: straggler, however long attempts wait for it.
FAIR_FOLD = 1.5
#: Latencies that must have been seen of a straggler.
LEAST_SAMPLES = 4
#: Share of the targets that may be ejected.
EJECTED_SHARE = 0.2
#: Factor on the score of an ejected target: used only if no other is left.
EJECTED_WEIGHT = 1000
#: After this time without a latency a target is tried again, in seconds.
FORGET_S = 5
#: One that is passed over, but not ejected, is tried again after this time
#: (s), multiplied by the square of its latency in relation to the median.
RETRY_S = 0.25
#: A target is passed over if its cost is above this multiple of the median.
PASSED_OVER_FOLD = 1.25
#: How long the load that a leaf reported is believed, in seconds.
LOAD_S = 0.25


class Usual(NamedTuple):
    """Medians over the targets of a service, in seconds; 0 for unknown."""

    latency: float
    service: float


def eject(shards: Iterable[Sequence[ObservedTarget]], now: float) -> list[str]:
    """Weigh the targets of a service; return those that are ejected.

    Parameters
    ----------
    shards : iterable of sequence of ObservedTarget
        The targets of each shard.
    now : float
        Present time.
    """
    groups = [tuple(shard) for shard in shards]
    sights = {held.target: held for held in chain.from_iterable(groups)}
    known = [each.latency for each in sights.values() if each.samples]
    if not known:
        return []
    usual = Usual(
        median(known),
        median([each.service for each in sights.values() if each.service])
        if any(each.service for each in sights.values())
        else 0,
    )
    for seen in sights.values():
        _refresh(seen, usual.latency, now)
    slow = [each for each in sights.values() if _slow(each, usual)]
    slow.sort(key=lambda each: (-each.service, -each.latency))
    return _capped(slow, groups, int(EJECTED_SHARE * len(sights)))


def _slow(seen: ObservedTarget, usual: Usual) -> bool:
    if seen.late > DOUBT_SHARE and seen.service > SLOW_FOLD * usual.service:
        return True
    if 0 < seen.service < FAIR_FOLD * usual.service:
        return False
    far_off = seen.latency > SLOW_FOLD * usual.latency
    return seen.slow or (seen.samples >= LEAST_SAMPLES and far_off)


def _capped(
    slow: Iterable[ObservedTarget],
    groups: Sequence[Sequence[ObservedTarget]],
    most: int,
) -> list[str]:
    holds: dict[str, list[Sequence[ObservedTarget]]] = {}
    for group in groups:
        for held in group:
            holds.setdefault(held.target, []).append(group)
    ejected: list[str] = []
    for seen in slow:
        if len(ejected) < most and _spared(seen, holds[seen.target]):
            seen.weight = EJECTED_WEIGHT
            ejected.append(seen.target)
    return ejected


def _spared(
    seen: ObservedTarget, groups: Iterable[Sequence[ObservedTarget]]
) -> bool:
    """Return whether each shard keeps most of its targets without it."""
    return all(
        2 * (sum(other.weight > 1 for other in group) + 1) < len(group)
        for group in groups
    )


def _refresh(seen: ObservedTarget, usual: float, now: float) -> None:
    patience = _patience(seen, usual)
    seen.weight = 1
    if now - seen.reported_at > LOAD_S:
        seen.reported = 0
    if seen.samples and now - seen.seen > patience and not seen.own:
        seen.forget(usual)


def _patience(seen: ObservedTarget, usual: float) -> float:
    """Return how long what was seen of a target holds, in seconds.

    A target that is passed over can't show that it has got faster, nor its
    leaf that it is warm: the less it is slower, the sooner it is tried.
    """
    cost = seen.latency * (1 + seen.reported / seen.limit)
    if seen.weight > 1 or seen.slow or cost <= PASSED_OVER_FOLD * usual:
        return FORGET_S
    return min(FORGET_S, RETRY_S * (seen.latency / usual) ** 2)

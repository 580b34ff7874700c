"""Choose the replica that runs a sub-query."""

from collections.abc import Collection, Sequence
from random import Random
from typing import NamedTuple

from rosemaryweir.query.liveness import LeafHealth
from rosemaryweir.query.observed_target import ObservedTarget, VersionKey

__all__ = ['Replica', 'choose_other_replica', 'choose_replica', 'score']

#: Latency added for a target outside the entry's failure domain, in seconds.
OTHER_DOMAIN_LATENCY_S = 0.002
#: Factor for a target not known to have the requested version.
UNKNOWN_VERSION_FACTOR = 1.5
#: Factor for a target in the failure domain or at the leaf of an earlier
#: attempt.
SHARED_FAILURE_FACTOR = 4
#: Factor for a target that can be probed, on first attempts only.  Without it
#: two idle replicas of the same shard would keep it from ever being probed.
PROBE_FACTOR = 0.25
#: Factor for a target that its leaf may not use now.
UNUSABLE_FACTOR = 1000
#: Score from which on all replicas are compared, not just two.
POOR_SCORE = 10
#: Score that rules a replica out.
EXCLUDED_SCORE = 1e9


class Replica(NamedTuple):
    """A target that holds a shard, and the leaf that owns it.

    Parameters
    ----------
    target, domain : str
        The target and its failure domain.
    extra_latency : float
        Latency added for the distance to the target, in seconds.
    observed : ObservedTarget
        The target as this entry observes it.
    leaf : LeafHealth
        Name and health of the leaf.
    address : str
        Address of the leaf.
    """

    target: str
    domain: str
    extra_latency: float
    observed: ObservedTarget
    leaf: LeafHealth
    address: str


def score(replica: Replica, key: VersionKey, now: float) -> float:
    """Return the expected cost of a replica; `EXCLUDED_SCORE` rules it out.

    The cost is the expected latency in seconds, multiplied by the factors
    above where they apply.

    Parameters
    ----------
    replica : Replica
        The replica.
    key : VersionKey
        Layout and version to serve; version 0 for the newest.
    now : float
        Present time.
    """
    observed = replica.observed
    ahead = observed.own_in_flight
    if observed.reported > ahead:
        ahead = observed.reported
    cost = (observed.mean_latency + replica.extra_latency) * (
        1 + ahead / observed.slots
    )
    cost *= observed.score_factor
    if observed.on_probation and not observed.can_probe:
        cost *= POOR_SCORE / observed.mean_latency
    if now < observed.unusable_until:
        cost *= UNUSABLE_FACTOR
    if replica.leaf.suspect and replica.leaf.awaits_probe(now):
        return EXCLUDED_SCORE
    if observed.current_version == key or not key[1]:
        return cost
    return _version_cost(observed, key, now, cost)


def choose_replica(
    replicas: Sequence[Replica],
    key: VersionKey,
    rng: Random,
    now: float,
) -> Replica | None:
    """Return the better of two random replicas, for a first attempt.

    If both scores are poor, return the best of all replicas, or None if all
    are ruled out.

    See Also
    --------
    choose_other_replica : for a hedge or a retry.
    """
    count = len(replicas)
    if count > 1:
        first = int(rng.random() * count)
        second = int(rng.random() * (count - 1))
        best = replicas[first]
        other = replicas[second + (second >= first)]
        cost = _first_attempt_score(best, key, now)
        other_cost = _first_attempt_score(other, key, now)
        if other_cost < cost:
            best, cost = other, other_cost
        if cost < POOR_SCORE:
            return best
    return choose_other_replica(replicas, key, (), now)


def choose_other_replica(
    replicas: Sequence[Replica],
    key: VersionKey,
    tried: Collection[Replica],
    now: float,
) -> Replica | None:
    """Return the best replica that was not tried.

    Replicas in another failure domain and at another leaf are preferred.
    """
    targets = {replica.target for replica in tried}
    scores = [
        (
            score(replica, key, now) * _shared_failure_factor(replica, tried),
            index,
        )
        for index, replica in enumerate(replicas)
        if replica.target not in targets
    ]
    cost, index = min(scores, default=(EXCLUDED_SCORE, 0))
    return replicas[index] if cost < EXCLUDED_SCORE else None


def _first_attempt_score(
    replica: Replica,
    key: VersionKey,
    now: float,
) -> float:
    cost = score(replica, key, now)
    return cost * PROBE_FACTOR if replica.observed.can_probe else cost


def _shared_failure_factor(
    replica: Replica,
    tried: Collection[Replica],
) -> float:
    shares = any(
        replica.domain == each.domain or replica.leaf is each.leaf
        for each in tried
    )
    return SHARED_FAILURE_FACTOR if shares else 1


def _version_cost(
    observed: ObservedTarget,
    key: VersionKey,
    now: float,
    cost: float,
) -> float:
    if observed.lacks_version(key, now):
        return EXCLUDED_SCORE
    return cost if observed.has_version(key) else cost * UNKNOWN_VERSION_FACTOR

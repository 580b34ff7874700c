"""Choose the replica that runs a piece of a query."""

from collections.abc import Collection, Sequence
from random import Random
from typing import NamedTuple

from rosemaryweir.query.liveness import LeafHealth
from rosemaryweir.query.observed_target import ObservedTarget, VersionKey

__all__ = ['Replica', 'choose', 'choose_other', 'score']

#: Added to the latency of a target outside the own failure domain.
FAR_S = 0.002
#: Factor on a target that was not seen with the version asked for.
UNSEEN = 1.5
#: Factor on a target that shares leaf or failure domain with the first one.
SHARED = 4
#: Factor on a target that is to be tried, for a first attempt: else two idle
#: neighbours would keep it from ever being tried.
TRIAL_SHARE = 0.25
#: Factor on a target that its leaf may not use now.
CLOSED = 1000
#: A score from which on all replicas are looked at.
POOR = 10
#: A score that rules a replica out.
EXCLUDED_SCORE = 1e9


class Replica(NamedTuple):
    """A target that holds a shard, and the leaf that owns it.

    Parameters
    ----------
    target, domain : str
        The target and its failure domain.
    far : float
        What its distance adds to its latency, in seconds.
    sight : ObservedTarget
        What was seen of the target.
    health : LeafHealth
        What was seen of its leaf; carries the leaf's name.
    address : str
        Address of the leaf.
    """

    target: str
    domain: str
    far: float
    sight: ObservedTarget
    health: LeafHealth
    address: str


def score(replica: Replica, key: VersionKey, now: float) -> float:
    """Return the cost expected of a replica; `EXCLUDED_SCORE` rules it out.

    Parameters
    ----------
    replica : Replica
        The replica.
    key : VersionKey
        Layout and version that it is to serve; version 0 for the newest.
    now : float
        Present time.
    """
    sight = replica.sight
    pending = sight.own
    if sight.reported > pending:
        pending = sight.reported
    cost = (sight.latency + replica.far) * (1 + pending / sight.limit)
    cost *= sight.weight
    if sight.trial and not sight.untried:
        cost *= POOR / sight.latency
    if now < sight.closed_until:
        cost *= CLOSED
    if replica.health.suspect and replica.health.closed(now):
        return EXCLUDED_SCORE
    if sight.current == key or not key[1]:
        return cost
    return _version_cost(sight, key, now, cost)


def choose(
    replicas: Sequence[Replica],
    key: VersionKey,
    rng: Random,
    now: float,
) -> Replica | None:
    """Return the better of two random replicas.

    When both are poor, the best of all; None when all are ruled out.

    See Also
    --------
    choose_other : for another attempt at the same piece.
    """
    count = len(replicas)
    if count > 1:
        first = int(rng.random() * count)
        second = int(rng.random() * (count - 1))
        one = replicas[first]
        other = replicas[second + (second >= first)]
        cost = _first_score(one, key, now)
        other_cost = _first_score(other, key, now)
        if other_cost < cost:
            one, cost = other, other_cost
        if cost < POOR:
            return one
    return choose_other(replicas, key, (), now)


def choose_other(
    replicas: Sequence[Replica],
    key: VersionKey,
    tried: Collection[Replica],
    now: float,
) -> Replica | None:
    """Return the best replica that was not tried.

    One in another failure domain and with another leaf is preferred.
    """
    targets = {replica.target for replica in tried}
    scores = [
        (score(replica, key, now) * _shared(replica, tried), place)
        for place, replica in enumerate(replicas)
        if replica.target not in targets
    ]
    cost, place = min(scores, default=(EXCLUDED_SCORE, 0))
    return replicas[place] if cost < EXCLUDED_SCORE else None


def _first_score(replica: Replica, key: VersionKey, now: float) -> float:
    cost = score(replica, key, now)
    return cost * TRIAL_SHARE if replica.sight.untried else cost


def _shared(replica: Replica, tried: Collection[Replica]) -> float:
    shares = any(
        replica.domain == each.domain or replica.health is each.health
        for each in tried
    )
    return SHARED if shares else 1


def _version_cost(
    sight: ObservedTarget,
    key: VersionKey,
    now: float,
    cost: float,
) -> float:
    if sight.lacks(key, now):
        return EXCLUDED_SCORE
    return cost if sight.has(key) else cost * UNSEEN

"""Decide which outcomes of an attempt are retried, where and when."""

from random import Random

__all__ = [
    'MIN_RETRIES_PER_S',
    'RETRIES_PER_SUCCESS',
    'RETRY_BURST',
    'backoff',
    'is_permanent',
    'may_retry_on',
]

#: Retries that each successful attempt of a service allows.
RETRIES_PER_SUCCESS = 0.1
#: Number of retries that may be sent at once.
RETRY_BURST = 200
#: Retries allowed each second even without successes.
MIN_RETRIES_PER_S = 50
#: First backoff of a shard that no replica serves, in seconds.
INITIAL_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.04
#: Rounds over the replicas in which ejected stragglers are left out.
ROUNDS_WITHOUT_EJECTED = 4
#: Outcomes after which the same target may succeed a moment later.
TRANSIENT_OUTCOMES = frozenset(('shed', 'not_owner', 'out'))


def is_permanent(outcome: str) -> bool:
    """Return whether an outcome counts against the target.

    Queries are idempotent, so an attempt with any outcome but ``ok`` may be
    retried on another replica.  After a transient outcome the same target may
    be tried again once the others have been tried.

    Examples
    --------
    >>> is_permanent('cut'), is_permanent('shed')
    (True, False)
    """
    return outcome not in TRANSIENT_OUTCOMES


def backoff(rounds: int, rng: Random) -> float:
    """Return the wait before the next round over the replicas, in seconds."""
    doubled: float = INITIAL_BACKOFF_S * 2**rounds
    return min(MAX_BACKOFF_S, doubled) * (1 + rng.random()) / 2


def may_retry_on(ejected: bool, rounds: int) -> bool:
    """Return whether a retry may go to a replica.

    While the other replicas refuse for a moment, waiting for them is quicker
    than a retry on an ejected straggler.

    Examples
    --------
    >>> may_retry_on(ejected=True, rounds=0)
    False
    >>> may_retry_on(ejected=True, rounds=4)
    True
    """
    return not ejected or rounds >= ROUNDS_WITHOUT_EJECTED

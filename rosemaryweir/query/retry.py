"""Which outcomes of an attempt are tried again, and when."""

from random import Random

__all__ = [
    'RETRY_BURST',
    'RETRY_RATE',
    'RETRY_SHARE',
    'backoff',
    'elsewhere',
    'worth_it',
]

#: Retries that the successes of a service allow for.
RETRY_SHARE = 0.1
#: Retries that are allowed at once.
RETRY_BURST = 200
#: Retries a second that are allowed in any case.
RETRY_RATE = 50
#: First wait of a shard that no replica serves, in seconds.
FIRST_WAIT_S = 0.005
#: Longest such wait, in seconds.
LONGEST_WAIT_S = 0.04
#: Outcomes after which the same target may be right a moment later.
#: Rounds over the replicas in which a straggler is passed over.
PATIENT_ROUNDS = 4
TRANSIENT = frozenset(('shed', 'not_owner', 'out'))


def elsewhere(outcome: str) -> bool:
    """Return whether a target with this outcome is left for good.

    A query is idempotent, so each outcome but ``ok`` may be tried again on
    another replica.  After a transient one the same target may be asked again
    once the others have been tried.

    Examples
    --------
    >>> elsewhere('cut'), elsewhere('shed')
    (True, False)
    """
    return outcome not in TRANSIENT


def backoff(rounds: int, rng: Random) -> float:
    """Return how long to wait before the next round over the replicas."""
    doubled: float = FIRST_WAIT_S * 2**rounds
    return min(LONGEST_WAIT_S, doubled) * (1 + rng.random()) / 2


def worth_it(ejected: bool, rounds: int) -> bool:
    """Return whether a replica is worth a retry.

    When the good replicas refuse for a moment it is quicker to wait for them
    than to take a straggler.

    Examples
    --------
    >>> worth_it(ejected=True, rounds=0), worth_it(ejected=True, rounds=4)
    (False, True)
    """
    return not ejected or rounds >= PATIENT_ROUNDS

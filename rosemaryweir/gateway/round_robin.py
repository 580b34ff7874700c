"""Distribution of a route's requests over services, by weight."""

from collections.abc import Sequence
from random import Random

from rosemaryweir.gateway.model import WeightedService

__all__ = ['WeightedTurns']


class WeightedTurns:
    """Smooth weighted round robin.

    Each turn every service gains its weight, and the one with most pays the
    total.  Any run of turns is distributed within one request of the weights,
    which random choice reaches only over thousands.

    Parameters
    ----------
    shares : sequence of ServiceShare
        Services and weights.
    rng : random.Random
        Gives the start, so that VMs don't all begin with the same service.

    Examples
    --------
    >>> shares = (WeightedService('a', 3), WeightedService('b', 1))
    >>> turns = WeightedTurns(shares, Random(1))
    >>> sorted(turns.next() for _ in range(4))
    ['a', 'a', 'a', 'b']
    """

    def __init__(self, shares: Sequence[WeightedService], rng: Random) -> None:
        self.shares = shares
        self._total = sum(share.weight for share in shares)
        self._credit = [share.weight * rng.random() for share in shares]

    def next(self) -> str:
        """Return the service of the next request."""
        if len(self.shares) == 1:
            return self.shares[0].service
        for place, share in enumerate(self.shares):
            self._credit[place] += share.weight
        best = max(range(len(self.shares)), key=self._credit.__getitem__)
        self._credit[best] -= self._total
        return self.shares[best].service

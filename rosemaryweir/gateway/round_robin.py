"""Distribution of a route's requests over services by weight."""

from collections.abc import Sequence
from random import Random

from rosemaryweir.gateway.model import WeightedService

__all__ = ['WeightedRoundRobin']


class WeightedRoundRobin:
    """Smooth weighted round robin.

    On each turn every service gains its weight as credit; the service with
    the most credit is chosen and pays the sum of all weights. Over any number
    of turns each service is within one request of its share, which random
    choice reaches only over thousands of requests.

    Parameters
    ----------
    services : sequence of WeightedService
        Services and weights.
    rng : random.Random
        Sets the initial credit, so that VMs don't all begin with the same
        service.

    Examples
    --------
    >>> services = (WeightedService('a', 3), WeightedService('b', 1))
    >>> round_robin = WeightedRoundRobin(services, Random(1))
    >>> sorted(round_robin.next() for _ in range(4))
    ['a', 'a', 'a', 'b']
    """

    def __init__(
        self, services: Sequence[WeightedService], rng: Random
    ) -> None:
        self.candidates = services
        self._total = sum(candidate.weight for candidate in services)
        self._credit = [
            candidate.weight * rng.random() for candidate in services
        ]

    def next(self) -> str:
        """Return the service of the next request."""
        if len(self.candidates) == 1:
            return self.candidates[0].service
        for index, candidate in enumerate(self.candidates):
            self._credit[index] += candidate.weight
        best = max(range(len(self.candidates)), key=self._credit.__getitem__)
        self._credit[best] -= self._total
        return self.candidates[best].service

"""Simulates delay, loss and partitions between VMs and targets."""

from random import Random

from rosemaryweir.schema.generated.settings import Settings

__all__ = ['CALLER_DELAY_S', 'OTHER_DOMAIN_DELAY_S', 'Network']

# One-way delays, between VMs or from a VM to a target or caller.
SAME_DOMAIN_DELAY_S = 0.0002
OTHER_DOMAIN_DELAY_S = 0.001
CALLER_DELAY_S = 0.003
#: Largest random increase of a delay, as a fraction of it.
MAX_JITTER = 0.2


class Network:
    """Decides which messages arrive, and after which delay.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of VMs, or of failure domains, that can't reach each other.
        A pair with the failure domain of targets cuts those targets, too.
    loss : float
        Fraction of messages between processes that are lost.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.cuts: set[frozenset[str]] = set()
        self.loss = 0.0

    def lost(self, one: Settings, other: Settings) -> bool:
        """Return whether a message between two VMs is lost."""
        if self.loss and self.rng.random() < self.loss:
            return True
        return bool(self.cuts) and any(
            frozenset(pair) in self.cuts
            for pair in (
                (one['vm'], other['vm']),
                (one['domain'], other['domain']),
                (one['vm'], other['domain']),
                (one['domain'], other['vm']),
            )
        )

    def delay(self, one: str, other: str) -> float:
        """Return the one-way delay between failure domains."""
        base = SAME_DOMAIN_DELAY_S if one == other else OTHER_DOMAIN_DELAY_S
        return base * (1 + self.rng.random() * MAX_JITTER)

    def target_delay(self, settings: Settings, domain: str) -> float | None:
        """Return the one-way delay to a target; None if it is unreachable.

        ``domain`` is the failure domain of the target.
        """
        cut = bool(self.cuts) and any(
            frozenset((name, domain)) in self.cuts
            for name in (settings['vm'], settings['domain'])
        )
        return None if cut else self.delay(settings['domain'], domain)

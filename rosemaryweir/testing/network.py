"""Delay and loss between VMs, targets and callers."""

from random import Random

from rosemaryweir.schema.generated.settings import Settings

__all__ = ['CALLER', 'OTHER_DOMAIN', 'Network']

#: One-way delays in seconds.
SAME_DOMAIN = 0.0002
OTHER_DOMAIN = 0.001
CALLER = 0.003
JITTER = 0.2


class Network:
    """Who reaches whom, and how long it takes.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of VMs, or of failure domains, that can't reach each other.
        A VM or failure domain paired with a target's domain cuts that, too.
    loss : float
        Share of messages between processes that are lost.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.cuts: set[frozenset[str]] = set()
        self.loss = 0.0

    def lost(self, one: Settings, other: Settings) -> bool:
        """Return whether a message from VM to VM is lost."""
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
        base = SAME_DOMAIN if one == other else OTHER_DOMAIN
        return base * (1 + self.rng.random() * JITTER)

    def path(self, settings: Settings, domain: str) -> float | None:
        """Return the one-way delay to a target's domain; None when cut."""
        cut = bool(self.cuts) and any(
            frozenset((name, domain)) in self.cuts
            for name in (settings['vm'], settings['domain'])
        )
        return None if cut else self.delay(settings['domain'], domain)

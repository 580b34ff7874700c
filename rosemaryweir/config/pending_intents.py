"""Track announced notes that withdraw failure domains (intents).

An agent announces such a note to its peers before writing it.  If the store
fails in between, the peers cannot know whether the note was accepted.  An
intent that stays unsettled therefore suspends the domains it names, so that
they get no new work within the time that an accepted withdrawal guarantees.
"""

from collections.abc import Iterable
from typing import NamedTuple

from rosemaryweir.schema.generated.control import Intent

__all__ = ['SUSPEND_AFTER_S', 'PendingIntents']

#: Time after which an unsettled intent suspends its domains, in seconds.
SUSPEND_AFTER_S = 1.5

#: Maximum number of pending intents.
MAX_PENDING = 16

#: Maximum number of settled intents remembered, so that a late relayed copy
#: of one is not added again.
MAX_SETTLED = 256

MS_PER_S = 1000


class PendingIntent(NamedTuple):
    """An intent and the time of its announcement."""

    intent: Intent
    announced_at: float


class PendingIntents:
    """The known intents that are not settled."""

    def __init__(self) -> None:
        self._pending: dict[str, PendingIntent] = {}
        self._settled: dict[str, None] = {}

    def add(self, intent: Intent, now: float) -> bool:
        """Add an intent; return whether it is new."""
        note = intent['note']
        if note in self._settled:
            return False
        announced_at = now - intent['age_ms'] / MS_PER_S
        known = self._pending.get(note)
        if known is not None:
            announced_at = min(announced_at, known.announced_at)
        elif len(self._pending) >= MAX_PENDING:
            return False
        self._pending[note] = PendingIntent(intent, announced_at)
        return known is None

    def settle(self, note: str) -> bool:
        """Remove an intent; return whether it was pending."""
        self._settled[note] = None
        while len(self._settled) > MAX_SETTLED:
            self._settled.pop(next(iter(self._settled)))
        return self._pending.pop(note, None) is not None

    def settle_generation(self, generation: int) -> None:
        """Settle the intents up to a generation that is in force.

        A note can create only the generation named in its intent: once that
        or a later generation is in force, the note is either part of it or
        was refused.
        """
        decided = [
            note
            for note, pending in self._pending.items()
            if pending.intent['generation'] <= generation
        ]
        for note in decided:
            self.settle(note)

    def settle_unwritten(self, generation: int, read_sent: float) -> list[str]:
        """Settle and return the intents that were not written to the store.

        Parameters
        ----------
        generation : int
            Generation of the head that was read.
        read_sent : float
            Time at which the read was sent.

        Notes
        -----
        Only intents that had been pending for `SUSPEND_AFTER_S` when the read
        was sent are settled: the write of a newer one may still be in flight.
        """
        decided = [
            note
            for note, pending in self._pending.items()
            if read_sent >= pending.announced_at + SUSPEND_AFTER_S
            and pending.intent['generation'] > generation
        ]
        for note in decided:
            self.settle(note)
        return decided

    def suspended_domains(self, now: float) -> list[str]:
        """Return the failure domains suspended by unsettled intents."""
        return sorted(
            {
                domain
                for pending in self._pending.values()
                if now >= pending.announced_at + SUSPEND_AFTER_S
                for domain in pending.intent['domains']
            },
        )

    def with_ages(self, now: float) -> list[Intent]:
        """Return the intents with their current ages, to relay to peers."""
        return [
            {
                **pending.intent,
                'age_ms': (now - pending.announced_at) * MS_PER_S,
            }
            for pending in self._pending.values()
        ]

    def add_relayed(self, intents: Iterable[Intent], now: float) -> None:
        """Add intents relayed by a peer."""
        for intent in intents:
            self.add(intent, now)

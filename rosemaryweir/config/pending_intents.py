"""Intents: notes about to be written that withdraw failure domains.

An agent tells its peers of such a note before it writes it.  When the store
goes down in between, the peers can't know whether the note was accepted; an
intent that stays unsettled suspends the domains it names, so that they get no
new work within the time that an acceptance promises.
"""

from collections.abc import Iterable
from typing import NamedTuple

from rosemaryweir.schema.generated.control import Intent

__all__ = ['SUSPEND_AFTER_S', 'PendingIntents']

#: How long an intent may stay unsettled before its domains are suspended.
SUSPEND_AFTER_S = 1.5

#: Intents kept at once.
MAX_PENDING = 16

#: Settled notes remembered, so that a late relay doesn't bring one back.
MAX_SETTLED = 256

MS_PER_S = 1000


class PendingIntent(NamedTuple):
    """An intent and when it was announced."""

    intent: Intent
    announced_at: float


class PendingIntents:
    """The intents that are known and not settled."""

    def __init__(self) -> None:
        self._pending: dict[str, PendingIntent] = {}
        self._settled: dict[str, None] = {}

    def add(self, intent: Intent, now: float) -> bool:
        """Take an intent; return whether it is new."""
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
        """Forget an intent; return whether it was pending."""
        self._settled[note] = None
        while len(self._settled) > MAX_SETTLED:
            self._settled.pop(next(iter(self._settled)))
        return self._pending.pop(note, None) is not None

    def settle_generation(self, generation: int) -> None:
        """Settle what a configuration in force has decided.

        A note makes exactly the generation that its intent names: once
        another generation at least as high is in force, the note is either
        in it or was refused.
        """
        decided = [
            note
            for note, pending in self._pending.items()
            if pending.intent['generation'] <= generation
        ]
        for note in decided:
            self.settle(note)

    def settle_unwritten(self, generation: int, read_sent: float) -> list[str]:
        """Settle and return what a read of the store shows not to be written.

        Parameters
        ----------
        generation : int
            Generation of the head that was read.
        read : float
            When the read was sent.

        Notes
        -----
        Only intents that had been pending for `SUSPEND_AFTER_S` when the read
        was sent are settled: the write of a younger one may be on its way.
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
        """Return the intents as a message carries them."""
        return [
            {
                **pending.intent,
                'age_ms': (now - pending.announced_at) * MS_PER_S,
            }
            for pending in self._pending.values()
        ]

    def add_relayed(self, intents: Iterable[Intent], now: float) -> None:
        """Take intents that a peer relays."""
        for intent in intents:
            self.add(intent, now)

"""Delete expired content from the store, at the agents that write notes."""

from collections.abc import Iterable, Iterator
from random import Random

from rosemaryweir.config.retention import ContentCleaner
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.node.action import Action
from rosemaryweir.node.event import StoreFailed, StoreReply
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState

__all__ = ['RetentionService']

TOPIC = 'retention'


@part_of('agent')
class RetentionService(Part):
    """Delete content made obsolete by notes that were accepted here."""

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.agent_state = agent_state_of(state)
        self._cleaner = ContentCleaner(TOPIC)

    def next_wake(self) -> float | None:
        """Return the time of the next clean-up round."""
        return (
            0.0
            if self.agent_state.accepted_generations
            else self._cleaner.next_wake()
        )

    def wake(self, now: float) -> Iterator[Action]:
        """Schedule rounds for accepted notes; start a round that is due."""
        while self.agent_state.accepted_generations:
            self._cleaner.schedule(
                self.agent_state.accepted_generations.pop(0),
                now,
            )
        yield from self._cleaner.wake(now)

    @handles(StoreReply, TOPIC)
    def take_reply(self, event: StoreReply, now: float) -> Iterator[Action]:
        """Continue the current round."""
        yield from self._cleaner.take_reply(event)

    @handles(StoreFailed, TOPIC)
    def take_failure(self, event: StoreFailed, now: float) -> Iterable[Action]:
        """Reschedule the round whose call failed."""
        self._cleaner.take_failure(event, now)
        return ()

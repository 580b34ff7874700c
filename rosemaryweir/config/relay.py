"""Send configurations between agents, as deltas or as full content."""

from collections.abc import Iterator
from random import Random

from returns.result import Failure

from rosemaryweir.config.chunk_assembly import ChunkAssembler
from rosemaryweir.config.config_in_force import DELTA_REFUSED
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.roster import sender_address
from rosemaryweir.node.action import Action, LogEvent, SendPeer
from rosemaryweir.node.event import PeerMessage
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import (
    Content,
    Deltas,
    Fetch,
    Known,
)

__all__ = ['ConfigRelay']

#: Delay before a configuration is requested again, in seconds.
REFETCH_DELAY_S = 0.3

#: Time after which an unsent message is dropped, in seconds.
SEND_TIMEOUT_S = 0.5


@part_of('agent')
class ConfigRelay(Part):
    """Fetch newer configurations from peers and send them on request."""

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.agent_state = agent_state_of(state)
        self._assembler = ChunkAssembler()
        self._refetch_at = 0.0

    @handles(PeerMessage, 'heartbeat')
    @handles(PeerMessage, 'ack')
    def fetch_newer(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Request the configuration of a peer that has a newer one."""
        known: Known = event.message['known']
        newer = known['generation'] > self.state.config['generation']
        address = sender_address(known, self.agent_state.roster)
        if newer and address and now >= self._refetch_at:
            self._refetch_at = now + REFETCH_DELAY_S
            fetch = self._fetch(0)
            fetch['deltas'] = True
            yield SendPeer(event.sender, address, fetch, now + SEND_TIMEOUT_S)

    @handles(PeerMessage, 'fetch')
    def send_missing(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Send a peer the deltas that it lacks, or a chunk of full content."""
        fetch: Fetch = event.message  # type: ignore[assignment]
        generation = fetch['generation']
        if generation >= self.state.config['generation']:
            return
        in_force = self.agent_state.config_in_force
        deltas = (
            in_force.deltas_after(generation) if fetch.get('deltas') else []
        )
        if deltas:
            changes = Deltas(kind='deltas', deltas=deltas)
            yield from self._send_to_peer(event.sender, changes, now)
            return
        content = in_force.content(fetch['chunk'])
        if content is not None:
            yield from self._send_to_peer(event.sender, content, now)

    @handles(PeerMessage, 'deltas')
    def take_deltas(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Apply deltas; request full content if they are refused."""
        deltas: Deltas = event.message  # type: ignore[assignment]
        made = self.agent_state.config_in_force.try_deltas(deltas['deltas'])
        if isinstance(made, Failure):
            details = {'source': event.sender, 'reason': made.failure()}
            yield LogEvent(DELTA_REFUSED, details)
            self._refetch_at = now + REFETCH_DELAY_S
            yield from self._send_to_peer(event.sender, self._fetch(0), now)
            return
        update = made.unwrap()
        if update.deltas:
            self._refetch_at = now
            self.agent_state.pending_configs.append(update)

    @handles(PeerMessage, 'content')
    def take_content(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Add a chunk of a configuration; request the next one."""
        content: Content = event.message  # type: ignore[assignment]
        if content['generation'] <= self.state.config['generation']:
            return
        digest = content['digest']
        self._assembler.expect(content['generation'], digest, content['chunks'])
        update = self._assembler.add(
            digest,
            content['chunk'],
            content['content'].encode(),
        )
        if update is not None:
            self.agent_state.pending_configs.append(update)
            return
        missing = next(self._assembler.missing_chunks(), None)
        if missing is not None:
            self._refetch_at = now + REFETCH_DELAY_S
            fetch = self._fetch(missing)
            yield from self._send_to_peer(event.sender, fetch, now)

    def _fetch(self, chunk: int) -> Fetch:
        return Fetch(
            kind='fetch',
            generation=self.state.config['generation'],
            chunk=chunk,
            views=dict(self.state.view_versions()),
        )

    def _send_to_peer(
        self,
        sender: str,
        message: Content | Deltas | Fetch,
        now: float,
    ) -> Iterator[SendPeer]:
        member = self.agent_state.roster.member(sender.partition('/')[0])
        if member is not None:
            address = member['agent_peer']
            yield SendPeer(sender, address, message, now + SEND_TIMEOUT_S)

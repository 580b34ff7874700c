"""Choice of the peers that an agent probes, asks to help, or notifies."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.membership.agent_state import AgentState
from rosemaryweir.membership.prober import RandomRotation
from rosemaryweir.membership.relay_tree import children, parent, rank_of
from rosemaryweir.schema.generated.control import Member

__all__ = ['PeerChoice']

#: Fleet size up to which every round probes one VM of any failure domain.
SMALL_FLEET_SIZE = 32

#: Size of a failure domain up to which its VMs all probe each other in turn;
#: in a larger one each probes its parent in the relay tree.
SMALL_DOMAIN_SIZE = 8

#: VMs that are asked to probe an unresponsive VM.
MAX_HELPERS = 3

#: Random peers that are notified of a change at once.
MAX_URGENT_PEERS = 4


class PeerChoice:
    """Chooses a bounded number of peers of an agent.

    Parameters
    ----------
    agent_state : AgentState
        State of this agent.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, agent_state: AgentState, rng: Random) -> None:
        self.agent_state = agent_state
        self.rng = rng
        self._domain_rotation = RandomRotation(rng)
        self._fleet_rotation = RandomRotation(rng)

    def peers_to_probe(self, number: int, outage: bool) -> Iterator[Member]:
        """Return the peers to probe in the round with this number."""
        roster = self.agent_state.roster
        peers = roster.peers()
        ranked = self.agent_state.ranked_members()
        small_fleet = len(peers) <= SMALL_FLEET_SIZE
        names = []
        if small_fleet or number % 2:
            names.append(self._fleet_rotation.next(peers))
        if small_fleet or outage or not number % 2:
            names.append(self._next_nearby(ranked, outage))
        return (
            peers[name] for name in names if name is not None and name in peers
        )

    def select_helpers(self, member: Member) -> list[Member]:
        """Return the peers to ask whether they can reach a member."""
        peers = [
            peer
            for peer in self.agent_state.roster.peers().values()
            if peer['vm'] != member['vm'] and peer['state'] == 'alive'
        ]
        # VMs of a third failure domain bypass a partition of two.
        endpoints = {member['domain'], self.agent_state.domain}
        other_domains = [
            peer for peer in peers if peer['domain'] not in endpoints
        ]
        drawn = self.rng.sample(
            other_domains, min(MAX_HELPERS, len(other_domains))
        )
        return drawn or self.rng.sample(peers, min(MAX_HELPERS, len(peers)))

    def urgent_peers(self) -> list[Member]:
        """Return the peers to notify of a change without delay."""
        ranked = self.agent_state.ranked_members()
        rank = rank_of(self.agent_state.state.uid.vm, ranked)
        peers = list(self.agent_state.roster.peers().values())
        drawn = self.rng.sample(peers, min(MAX_URGENT_PEERS, len(peers)))
        unique = {
            member['vm']: member for member in [*children(rank, ranked), *drawn]
        }
        return list(unique.values())

    def _next_nearby(self, ranked: list[Member], outage: bool) -> str | None:
        vm = self.agent_state.state.uid.vm
        if len(ranked) > SMALL_DOMAIN_SIZE and not outage:
            parent_member = parent(rank_of(vm, ranked), ranked, self.rng)
            if parent_member is not None:
                return parent_member['vm']
        return self._domain_rotation.next(
            [member['vm'] for member in ranked if member['vm'] != vm],
        )

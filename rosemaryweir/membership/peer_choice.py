"""Whom an agent probes, asks for help or tells of a change."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.membership.agent_state import AgentState
from rosemaryweir.membership.prober import RandomRotation
from rosemaryweir.membership.relay_tree import children, parent, rank_of
from rosemaryweir.schema.generated.control import Member

__all__ = ['PeerSelector']

#: Fleet up to which every round probes one VM of any failure domain.
SMALL_FLEET_SIZE = 32

#: Failure domain up to which all its VMs ask each other in turn.
SMALL_DOMAIN_SIZE = 8

#: VMs that are asked to probe for another.
MAX_HELPERS = 3

#: VMs that are told of a change at once.
MAX_URGENT_PEERS = 4


class PeerSelector:
    """Chooses peers of an agent, a bounded number at a time.

    Parameters
    ----------
    agent_state : AgentState
        Membership as this agent sees it.
    rng : random.Random
        Source of chance.
    """

    def __init__(self, agent_state: AgentState, rng: Random) -> None:
        self.agent_state = agent_state
        self.rng = rng
        self._near = RandomRotation(rng)
        self._all = RandomRotation(rng)

    def probe_peers(self, number: int, outage: bool) -> Iterator[Member]:
        """Return the peers to probe in a round of this number."""
        roster = self.agent_state.roster
        peers = roster.peers()
        ranked = self.agent_state.ranked_members()
        often = len(peers) <= SMALL_FLEET_SIZE
        names = []
        if often or number % 2:
            names.append(self._all.next(peers))
        if often or outage or not number % 2:
            names.append(self._nearby(ranked, outage))
        return (
            peers[name] for name in names if name is not None and name in peers
        )

    def select_helpers(self, member: Member) -> list[Member]:
        """Return the peers to ask whether they reach a member."""
        peers = [
            peer
            for peer in self.agent_state.roster.peers().values()
            if peer['vm'] != member['vm'] and peer['state'] == 'alive'
        ]
        # A third failure domain gets round a cut between two.
        ends = {member['domain'], self.agent_state.domain}
        third = [peer for peer in peers if peer['domain'] not in ends]
        drawn = self.rng.sample(third, min(MAX_HELPERS, len(third)))
        return drawn or self.rng.sample(peers, min(MAX_HELPERS, len(peers)))

    def urgent_peers(self) -> list[Member]:
        """Return the peers to tell of a change without delay."""
        ranked = self.agent_state.ranked_members()
        rank = rank_of(self.agent_state.state.uid.vm, ranked)
        peers = list(self.agent_state.roster.peers().values())
        drawn = self.rng.sample(peers, min(MAX_URGENT_PEERS, len(peers)))
        unique = {
            member['vm']: member for member in [*children(rank, ranked), *drawn]
        }
        return list(unique.values())

    def _nearby(self, ranked: list[Member], outage: bool) -> str | None:
        vm = self.agent_state.state.uid.vm
        if len(ranked) > SMALL_DOMAIN_SIZE and not outage:
            elder = parent(rank_of(vm, ranked), ranked, self.rng)
            if elder is not None:
                return elder['vm']
        return self._near.next(
            [member['vm'] for member in ranked if member['vm'] != vm],
        )

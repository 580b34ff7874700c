"""Whom an agent probes, asks for help or tells of a change."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.membership.agent_state import AgentState
from rosemaryweir.membership.prober import Rotation
from rosemaryweir.membership.relay_tree import children, parent, rank_of
from rosemaryweir.schema.generated.control import Member

__all__ = ['PeerChoice']

#: Fleet up to which every round probes one VM of any failure domain.
SMALL_FLEET = 32

#: Failure domain up to which all its VMs ask each other in turn.
FLAT_DOMAIN = 8

#: VMs that are asked to probe for another.
HELPERS = 3

#: VMs that are told of a change at once.
URGENT = 4


class PeerChoice:
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
        self._near = Rotation(rng)
        self._all = Rotation(rng)

    def probed(self, number: int, outage: bool) -> Iterator[Member]:
        """Return the peers to probe in a round of this number."""
        roster = self.agent_state.roster
        peers = roster.peers()
        ranked = self.agent_state.ranked_members()
        often = len(peers) <= SMALL_FLEET
        names = []
        if often or number % 2:
            names.append(self._all.next(peers))
        if often or outage or not number % 2:
            names.append(self._nearby(ranked, outage))
        return (
            peers[name] for name in names if name is not None and name in peers
        )

    def helpers(self, member: Member) -> list[Member]:
        """Return the peers to ask whether they reach a member."""
        peers = [
            peer
            for peer in self.agent_state.roster.peers().values()
            if peer['vm'] != member['vm'] and peer['state'] == 'alive'
        ]
        # A third failure domain gets round a cut between two.
        ends = {member['domain'], self.agent_state.domain}
        third = [peer for peer in peers if peer['domain'] not in ends]
        drawn = self.rng.sample(third, min(HELPERS, len(third)))
        return drawn or self.rng.sample(peers, min(HELPERS, len(peers)))

    def told_at_once(self) -> list[Member]:
        """Return the peers to tell of a change without delay."""
        ranked = self.agent_state.ranked_members()
        rank = rank_of(self.agent_state.state.uid.vm, ranked)
        peers = list(self.agent_state.roster.peers().values())
        drawn = self.rng.sample(peers, min(URGENT, len(peers)))
        unique = {
            member['vm']: member for member in [*children(rank, ranked), *drawn]
        }
        return list(unique.values())

    def _nearby(self, ranked: list[Member], outage: bool) -> str | None:
        vm = self.agent_state.state.uid.vm
        if len(ranked) > FLAT_DOMAIN and not outage:
            elder = parent(rank_of(vm, ranked), ranked, self.rng)
            if elder is not None:
                return elder['vm']
        return self._near.next(
            [member['vm'] for member in ranked if member['vm'] != vm],
        )

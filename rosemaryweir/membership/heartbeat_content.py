"""What heartbeats and their answers tell of this VM."""

from rosemaryweir.config.vouch_encoding import encode_members, encode_vouch_ages
from rosemaryweir.membership.agent_state import AgentState
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Heartbeat, Known, Pulse

__all__ = ['Telling', 'names_of']

#: States that a VM refutes when it learns of them.
ACCUSED = ('suspect', 'dead')


class Telling:
    """Makes up what one agent tells another.

    Parameters
    ----------
    agent_state : AgentState
        Membership as this agent sees it.

    Attributes
    ----------
    introduced : dict of str to int
        The incarnation of this VM that each peer is known to have.
    """

    def __init__(self, agent_state: AgentState) -> None:
        self.agent_state = agent_state
        self.state = agent_state.state
        self.introduced: dict[str, int] = {}

    def known(self, now: float, receiver: str = '') -> Known:
        """Return what a heartbeat tells."""
        itself = self.agent_state.roster.itself
        return {
            **self._about(now, receiver),
            'domain': itself['domain'],
            'agent_peer': itself['agent_peer'],
            'versions': dict(self.state.view_versions()),
        }

    def answer(self, message: Heartbeat, now: float) -> Known:
        """Return what the answer to a heartbeat tells."""
        # A heartbeat without a number comes from a VM that may know nobody.
        vm = message['known']['vm']
        if message['sequence']:
            return self._about(now, vm)
        return self.known(now, vm)

    def vouch_masks(self, now: float) -> list[str]:
        """Return who of the own failure domain vouched when."""
        own = self.agent_state.domain
        if own not in self.state.views:
            return []
        times = self.agent_state.freshness.vouch_times(self.state.uid.vm, now)
        return encode_vouch_ages(names_of(self.state, own), times, now)

    def adopted_masks(self) -> dict[str, str]:
        """Return who has adopted the views that await a quorum."""
        adopters = self.agent_state.succession.adopters()
        if not adopters:
            return {}
        names = sorted(member['vm'] for member in self.state.members())
        return {
            domain: encode_members(names, vms)
            for domain, vms in adopters.items()
        }

    def _about(self, now: float, receiver: str) -> Known:
        """Return what an answer tells to a peer that has probed this VM."""
        agent_state = self.agent_state
        deltas = agent_state.roster.deltas()
        about = agent_state.roster.member(receiver)
        if about is not None and about['state'] in ACCUSED:
            deltas.append(about)
        itself = agent_state.roster.itself
        known = Known(
            vm=itself['vm'],
            pulse=_own_pulse(agent_state.own_pulse),
            generation=self.state.config['generation'],
        )
        intents = agent_state.intents.with_ages(now)
        if deltas:
            known['deltas'] = deltas
        if intents:
            known['intents'] = intents
        introduced = self.introduced.get(receiver) == itself['incarnation']
        if not (introduced or agent_state.incarnation_in_view()):
            known['member'] = itself
        return known


def names_of(state: NodeState, domain: str) -> list[str]:
    """Return the sorted names of the members of a view."""
    return sorted(member['vm'] for member in state.views[domain]['members'])


def _own_pulse(pulse: Pulse) -> Pulse:
    return Pulse(
        load=pulse['load'],
        serving=pulse['serving'],
        leaving=pulse['leaving'],
        generation=pulse['generation'],
    )

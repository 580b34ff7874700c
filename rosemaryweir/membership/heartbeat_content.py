"""Builds the contents of heartbeats and acks."""

from rosemaryweir.config.vouch_encoding import encode_members, encode_vouch_ages
from rosemaryweir.membership.agent_state import AgentState
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Heartbeat, Known, Pulse

__all__ = ['HeartbeatContent', 'view_member_names']

#: States that a VM refutes when they are reported of itself.
REFUTED_STATES = ('suspect', 'dead')


class HeartbeatContent:
    """Builds what an agent sends to its peers about its state.

    Parameters
    ----------
    agent_state : AgentState
        State of this agent.

    Attributes
    ----------
    announced_incarnations : dict of str to int
        The incarnation of this VM that each peer is known to have received.
    """

    def __init__(self, agent_state: AgentState) -> None:
        self.agent_state = agent_state
        self.state = agent_state.state
        self.announced_incarnations: dict[str, int] = {}

    def known(self, now: float, receiver: str = '') -> Known:
        """Return the content of a heartbeat."""
        own_record = self.agent_state.roster.own_member
        return {
            **self._about(now, receiver),
            'domain': own_record['domain'],
            'agent_peer': own_record['agent_peer'],
            'versions': dict(self.state.view_versions()),
        }

    def answer(self, message: Heartbeat, now: float) -> Known:
        """Return the content of the ack to a heartbeat."""
        # Sequence number 0 is sent to seeds by a VM that may know no peers.
        vm = message['known']['vm']
        if message['sequence']:
            return self._about(now, vm)
        return self.known(now, vm)

    def vouch_masks(self, now: float) -> list[str]:
        """Return when each VM of the own failure domain vouched."""
        own = self.agent_state.domain
        if own not in self.state.views:
            return []
        times = self.agent_state.freshness.vouch_times(self.state.uid.vm, now)
        return encode_vouch_ages(view_member_names(self.state, own), times, now)

    def adopted_masks(self) -> dict[str, str]:
        """Return which VMs have adopted the views that await a quorum."""
        adopters = self.agent_state.succession.adopters()
        if not adopters:
            return {}
        names = sorted(member['vm'] for member in self.state.members())
        return {
            domain: encode_members(names, vms)
            for domain, vms in adopters.items()
        }

    def _about(self, now: float, receiver: str) -> Known:
        """Return the content of an ack to a peer that knows this VM."""
        agent_state = self.agent_state
        deltas = agent_state.roster.next_deltas()
        receiver_record = agent_state.roster.member(receiver)
        if (
            receiver_record is not None
            and receiver_record['state'] in REFUTED_STATES
        ):
            deltas.append(receiver_record)
        own_record = agent_state.roster.own_member
        known = Known(
            vm=own_record['vm'],
            pulse=_own_pulse(agent_state.own_pulse),
            generation=self.state.config['generation'],
        )
        intents = agent_state.intents.with_ages(now)
        if deltas:
            known['deltas'] = deltas
        if intents:
            known['intents'] = intents
        introduced = (
            self.announced_incarnations.get(receiver)
            == own_record['incarnation']
        )
        if not (introduced or agent_state.incarnation_in_view()):
            known['member'] = own_record
        return known


def view_member_names(state: NodeState, domain: str) -> list[str]:
    """Return the names of the members of a view, sorted."""
    return sorted(member['vm'] for member in state.views[domain]['members'])


def _own_pulse(pulse: Pulse) -> Pulse:
    return Pulse(
        load=pulse['load'],
        serving=pulse['serving'],
        leaving=pulse['leaving'],
        generation=pulse['generation'],
    )

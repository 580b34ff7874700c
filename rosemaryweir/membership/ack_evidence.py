"""What an answer proves about views, adoption and the store."""

from collections.abc import Mapping

from rosemaryweir.config.vouching import members_of, vouch_ages
from rosemaryweir.membership.agent_state import AgentState
from rosemaryweir.membership.heartbeat_content import view_member_names
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Ack

__all__ = ['newer_versions', 'record_evidence']


def newer_versions(
    state: NodeState,
    versions: Mapping[str, int],
) -> dict[str, int]:
    """Return those view versions that are newer than the ones in use."""
    own = state.views
    return {
        domain: version
        for domain, version in versions.items()
        if domain not in own or own[domain]['version'] < version
    }


def record_evidence(
    agent_state: AgentState,
    ack: Ack,
    sent: float,
    now: float,
) -> None:
    """Take what an answer proves, unless its sender knows of newer things.

    Parameters
    ----------
    agent_state : AgentState
        Where it is taken to.
    ack : Ack
        The answer.
    sent : float
        When the heartbeat that it answers was sent.
    now : float
        Present time.
    """
    state = agent_state.state
    vm = ack['known']['vm']
    newer = ack['known']['generation'] > state.config['generation']
    if newer or newer_versions(state, ack['known']['versions']):
        return
    agent_state.fence.relay(ack['fresh'], sent)
    agent_state.fence.relay_quorums(ack['quorums'], sent)
    if ack['vouches']:
        agent_state.fence.vouched(vm, sent)
    # Left out when the succession of every view has taken place.
    settled = ack.get('settled', ack['known']['versions'])
    tuple(agent_state.succession.record_settled(settled, now))
    if ack['known']['versions'] != state.view_versions():
        return
    names = sorted(member['vm'] for member in state.members())
    for domain, mask in ack.get('adopted', {}).items():
        agent_state.succession.record_adopters(domain, members_of(names, mask))
    own = agent_state.domain
    if own in state.views:
        ages = vouch_ages(view_member_names(state, own), ack.get('vouched', ()))
        agent_state.fence.relay_vouches(ages, sent)

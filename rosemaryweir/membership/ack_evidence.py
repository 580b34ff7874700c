"""What an answer proves about views, adoption and the store."""

from collections.abc import Mapping

from rosemaryweir.config.vouch_encoding import decode_members, decode_vouch_ages
from rosemaryweir.membership.agent_state import AgentState
from rosemaryweir.membership.heartbeat_content import names_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Ack

__all__ = ['lacking', 'take_evidence']


def lacking(
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


def take_evidence(
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
    if newer or lacking(state, ack['known']['versions']):
        return
    agent_state.freshness.record_relayed_reads(ack['fresh'], sent)
    agent_state.freshness.record_relayed_majorities(ack['quorums'], sent)
    if ack['vouches']:
        agent_state.freshness.record_vouch(vm, sent)
    # Left out when the succession of every view has taken place.
    settled = ack.get('settled', ack['known']['versions'])
    tuple(agent_state.succession.told_settled(settled, now))
    if ack['known']['versions'] != state.view_versions():
        return
    names = sorted(member['vm'] for member in state.members())
    for domain, mask in ack.get('adopted', {}).items():
        agent_state.succession.told_adopted(domain, decode_members(names, mask))
    own = agent_state.domain
    if own in state.views:
        ages = decode_vouch_ages(names_of(state, own), ack.get('vouched', ()))
        agent_state.freshness.record_relayed_vouches(ages, sent)

"""Records what an ack proves about the store, views and their adoption."""

from collections.abc import Mapping

from rosemaryweir.config.vouch_encoding import decode_members, decode_vouch_ages
from rosemaryweir.membership.agent_state import AgentState
from rosemaryweir.membership.heartbeat_content import view_member_names
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Ack

__all__ = ['newer_versions', 'record_evidence']


def newer_versions(
    state: NodeState,
    versions: Mapping[str, int],
) -> dict[str, int]:
    """Return the versions that are newer than the views in use here."""
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
    """Record the evidence of an ack, unless its sender knows newer state.

    Evidence of a peer with a newer configuration or view says nothing about
    the versions in use here.

    Parameters
    ----------
    agent_state : AgentState
        State of this agent, which is updated.
    ack : Ack
        The answer to a heartbeat of this agent.
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
    agent_state.freshness.record_relayed_reads(ack['fresh'], sent)
    agent_state.freshness.record_relayed_majorities(ack['quorums'], sent)
    if ack['vouches']:
        agent_state.freshness.record_vouch(vm, sent)
    # A peer leaves out `settled` when the takeover of every view is settled.
    settled = ack.get('settled', ack['known']['versions'])
    tuple(agent_state.succession.record_settled(settled, now))
    if ack['known']['versions'] != state.view_versions():
        return
    names = sorted(member['vm'] for member in state.members())
    for domain, mask in ack.get('adopted', {}).items():
        agent_state.succession.record_adopters(
            domain, decode_members(names, mask)
        )
    own = agent_state.domain
    if own in state.views:
        ages = decode_vouch_ages(
            view_member_names(state, own), ack.get('vouched', ())
        )
        agent_state.freshness.record_relayed_vouches(ages, sent)

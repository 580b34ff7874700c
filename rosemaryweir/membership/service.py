"""Heartbeats between agents: failure detection, gossip and evidence."""

from collections.abc import Iterable, Iterator, Mapping
from random import Random
from typing import Any

from rosemaryweir.config.freshness import CONFIG_HEAD
from rosemaryweir.membership.ack_evidence import newer_versions, record_evidence
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.directory_choice import ReceivedPulse
from rosemaryweir.membership.heartbeat_content import HeartbeatContent
from rosemaryweir.membership.peer_choice import PeerChoice
from rosemaryweir.membership.prober import Prober, suspicion_time
from rosemaryweir.membership.roster import sender_address
from rosemaryweir.membership.view_spread import ViewRequests
from rosemaryweir.node.action import Action, LogEvent, SendPeer
from rosemaryweir.node.event import PeerMessage
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import (
    Ack,
    Fetch,
    Heartbeat,
    Known,
    Member,
    PingAck,
    PingReq,
    Pulse,
)
from rosemaryweir.telemetry.log_events import register_event

__all__ = ['MembershipService']

MEMBER_CHANGED = register_event(
    610,
    'membership.changed',
    'info',
    'A VM joined, is suspected, is leaving, or is dead.',
)

#: Mean interval between two rounds of probes, in seconds.
ROUND_INTERVAL_S = 0.25

#: Shortest interval between two attempts to reach the seeds, in seconds.
SEED_INTERVAL_S = 1.0

#: Latest heartbeats whose view versions are kept: an ack from a peer with
#: equal versions leaves them out.
MAX_STATED_VERSIONS = 256

#: Time after which an unsent message is dropped, in seconds.
SEND_TIMEOUT_S = 0.5

#: Rounds between two clean-ups of outdated peers.
CLEANUP_ROUNDS = 40

#: Time for which the status of a VM is kept, in seconds.
PULSE_RETENTION_S = 60.0

#: Age of the latest store evidence from which the store counts as down,
#: so that acks carry vouches, too, in seconds.
OUTAGE_AGE_S = 1.0


@part_of('agent')
class MembershipService(Part):
    """Exchange heartbeats with a bounded number of agents each round."""

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.agent_state = agent_state_of(state)
        self._prober = Prober()
        self._peer_choice = PeerChoice(self.agent_state, rng)
        self._due = 0.0
        self._rounds = 0
        self._seed_due = 0.0
        self._view_requests = ViewRequests()
        self._stated_versions: dict[int, dict[str, int]] = {}
        self._content = HeartbeatContent(self.agent_state)
        self._announced_incarnations = self._content.announced_incarnations
        self._helped_probes: dict[int, tuple[str, str, int]] = {}

    def next_wake(self) -> float | None:
        """Return the time of the next round."""
        return 0.0 if self.agent_state.announce_now else self._due

    def wake(self, now: float) -> Iterator[Action]:
        """Send urgent changes; run a round of failure detection when due."""
        yield from self._probe_urgent_peers(now)
        if now >= self._due:
            yield from self._round(now)

    def _round(self, now: float) -> Iterator[Action]:
        self._due = now + ROUND_INTERVAL_S * self.rng.uniform(0.8, 1.2)
        self._rounds += 1
        for overdue in self._prober.overdue(now):
            self._announced_incarnations.pop(overdue.vm, None)
            if overdue.suspect:
                yield from self._mark(overdue.vm, 'suspect', now)
            else:
                yield from self._ask_helpers(overdue.vm, now)
        yield from self._expire_suspicions(now)
        for member in self._peer_choice.peers_to_probe(
            self._rounds, self._outage(now)
        ):
            yield self._probe(member, now)
        yield from self._contact_seeds(now)
        if self._rounds % CLEANUP_ROUNDS == 0:
            self._remove_outdated(now)

    @handles(PeerMessage, 'heartbeat')
    def answer(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Answer a heartbeat with the state and evidence of this agent."""
        message: Heartbeat = event.message  # type: ignore[assignment]
        known = message['known']
        yield from self._merge_known(known, now)
        agent_state = self.agent_state
        agent_state.permission(now)
        address = known['agent_peer']
        ack = Ack(
            kind='ack',
            sequence=message['sequence'],
            known=self._content.answer(message, now),
            fresh=agent_state.freshness.store_read_ages(now),
            quorums=agent_state.freshness.majority_ages(now),
            vouches=agent_state.freshness.can_vouch,
        )
        versions = dict(self.state.view_versions())
        settled = agent_state.succession.settled(now)
        if settled != versions:
            ack['settled'] = settled
        same_domain = known['domain'] == agent_state.domain
        if same_domain and self._outage(now):
            ack['vouched'] = self._content.vouch_masks(now)
        adopted = self._content.adopted_masks()
        if adopted and known['versions'] == versions:
            ack['adopted'] = adopted
        if known['versions'] != versions:
            ack['known']['versions'] = versions
        yield _to_peer(known['vm'], address, ack, now)

    @handles(PeerMessage, 'ack')
    def take_ack(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Record an ack: its sender is alive, and its evidence counts."""
        ack: Ack = event.message  # type: ignore[assignment]
        known = ack['known']
        vm = known['vm']
        stated = self._stated_versions.pop(ack['sequence'], None)
        if 'versions' not in known:
            if stated is None:
                return
            known['versions'] = stated
        sent = self._prober.record_answer(vm, ack['sequence'])
        requester = self._helped_probes.pop(ack['sequence'], None)
        yield from self._merge_known(known, now)
        if sent is None:
            return
        self._announced_incarnations[vm] = self.agent_state.roster.own_member[
            'incarnation'
        ]
        if requester is not None:
            yield self._ping_ack(requester, vm, now)
        record_evidence(self.agent_state, ack, sent, now)

    @handles(PeerMessage, 'ping_req')
    def take_ping_req(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Probe a VM for another agent."""
        message: PingReq = event.message  # type: ignore[assignment]
        member = self.agent_state.roster.member(message['vm'])
        requester_member = self.agent_state.roster.member(
            event.sender.partition('/')[0]
        )
        if member is not None and requester_member is not None:
            probe = self._probe(member, now, on_behalf=True)
            sequence = int(probe.message['sequence'])
            self._helped_probes[sequence] = (
                requester_member['vm'],
                requester_member['agent_peer'],
                message['sequence'],
            )
            self._helped_probes.pop(sequence - 256, None)
            yield probe

    @handles(PeerMessage, 'ping_ack')
    def take_ping_ack(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Cancel the probes of a VM that has answered another agent."""
        self._prober.cancel_probes(str(event.message['vm']))
        return ()

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the known state and generation of every VM."""
        agent_state = self.agent_state
        pulses = agent_state.pulses
        return {
            'members': {
                member['vm']: {
                    'state': member['state'],
                    'domain': member['domain'],
                    'generation': pulses[member['vm']].pulse['generation']
                    if member['vm'] in pulses
                    else None,
                }
                for member in [
                    agent_state.roster.own_member,
                    *agent_state.roster.peers().values(),
                ]
            },
            'watches': agent_state.watches_store(),
            'permission': agent_state.permission(now).reason,
            'settled': agent_state.succession.settled(now),
        }

    def _probe(
        self,
        member: Member,
        now: float,
        on_behalf: bool = False,
    ) -> SendPeer:
        sequence = self._prober.start(member, now, on_behalf)
        heartbeat = Heartbeat(
            kind='heartbeat',
            sequence=sequence,
            known=self._content.known(now, member['vm']),
        )
        self._stated_versions[sequence] = heartbeat['known']['versions']
        self._stated_versions.pop(sequence - MAX_STATED_VERSIONS, None)
        return self._send(member, heartbeat, now)

    def _merge_known(self, known: Known, now: float) -> Iterator[Action]:
        agent_state = self.agent_state
        vm = known['vm']
        reports = known.get('deltas', [])
        if 'member' in known:
            reports = [known['member'], *reports]
        changed = agent_state.roster.merge_all(reports, now)
        for report in changed:
            yield _log_change(report)
        pulse: Pulse = {**known['pulse'], 'vm': vm, 'age_ms': 0}
        agent_state.pulses[vm] = ReceivedPulse(pulse, now)
        agent_state.intents.add_relayed(known.get('intents', ()), now)
        agent_state.newest_generation = max(
            agent_state.newest_generation, known['generation']
        )
        agent_state.succession.record_adopted(vm, known['versions'])
        tuple(agent_state.succession.update_takeovers(now))
        newer = newer_versions(self.state, known['versions'])
        address = sender_address(known, agent_state.roster)
        if address and newer and self._view_requests.record(newer, now):
            yield self._fetch(vm, address, now)

    def _outage(self, now: float) -> bool:
        return (
            self.agent_state.freshness.store_read_age(CONFIG_HEAD, now)
            > OUTAGE_AGE_S
        )

    def _fetch(self, vm: str, address: str, now: float) -> SendPeer:
        fetch = Fetch(
            kind='fetch',
            generation=self.state.config['generation'],
            chunk=0,
            views=dict(self.state.view_versions()),
            deltas=True,
        )
        return _to_peer(vm, address, fetch, now)

    def _remove_outdated(self, now: float) -> None:
        self.agent_state.roster.remove_dead(now)
        pulses = self.agent_state.pulses
        outdated = [
            vm
            for vm, received in pulses.items()
            if now > received.received_at + PULSE_RETENTION_S
        ]
        for vm in outdated:
            pulses.pop(vm)
            self._announced_incarnations.pop(vm, None)

    def _ask_helpers(self, vm: str, now: float) -> Iterator[Action]:
        member = self.agent_state.roster.member(vm)
        if member is None:
            return
        for helper in self._peer_choice.select_helpers(member):
            request = PingReq(
                kind='ping_req',
                sequence=0,
                vm=vm,
                address=member['agent_peer'],
            )
            yield self._send(helper, request, now)

    def _ping_ack(
        self,
        requester: tuple[str, str, int],
        vm: str,
        now: float,
    ) -> SendPeer:
        name, address, sequence = requester
        ack = PingAck(kind='ping_ack', sequence=sequence, vm=vm)
        return SendPeer(f'{name}/agent', address, ack, now + SEND_TIMEOUT_S)

    def _expire_suspicions(self, now: float) -> Iterator[Action]:
        roster = self.agent_state.roster
        limit = suspicion_time(len(roster.peers()) + 1)
        expired = [
            record.member['vm']
            for record in roster.suspects()
            if now >= record.since + limit
        ]
        for vm in expired:
            yield from self._mark(vm, 'dead', now)

    def _mark(self, vm: str, state: str, now: float) -> Iterator[Action]:
        if self.agent_state.roster.set_state(vm, state, now):
            member = self.agent_state.roster.member(vm)
            assert member is not None
            yield _log_change(member)

    def _contact_seeds(self, now: float) -> Iterator[Action]:
        if self.agent_state.pulses and self._rounds % 40:
            return
        if now < self._seed_due:
            return
        self._seed_due = now + SEED_INTERVAL_S
        for seed in self.state.settings.get('seeds', ()):
            if seed['vm'] != self.state.uid.vm:
                heartbeat = Heartbeat(
                    kind='heartbeat',
                    sequence=0,
                    known=self._content.known(now),
                )
                yield SendPeer(
                    f'{seed["vm"]}/agent',
                    seed['agent_peer'],
                    heartbeat,
                    now + SEND_TIMEOUT_S,
                )

    def _probe_urgent_peers(self, now: float) -> Iterator[Action]:
        if not self.agent_state.announce_now:
            return
        self.agent_state.announce_now = False
        for member in self._peer_choice.urgent_peers():
            yield self._probe(member, now)

    def _send(
        self,
        member: Member,
        message: Mapping[str, Any],
        now: float,
    ) -> SendPeer:
        return _to_peer(member['vm'], member['agent_peer'], message, now)


def _to_peer(
    vm: str,
    address: str,
    message: Mapping[str, Any],
    now: float,
) -> SendPeer:
    return SendPeer(f'{vm}/agent', address, message, now + SEND_TIMEOUT_S)


def _log_change(member: Member) -> LogEvent:
    return LogEvent(
        MEMBER_CHANGED,
        {'vm': member['vm'], 'state': member['state']},
    )

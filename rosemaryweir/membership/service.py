"""Heartbeats between agents: probing, gossip, evidence, views by gossip."""

from collections.abc import Iterable, Iterator, Mapping
from random import Random
from typing import Any

from rosemaryweir.config.freshness import CONFIG_HEAD
from rosemaryweir.membership.ack_evidence import lacking, take_evidence
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.directory_choice import ReceivedPulse
from rosemaryweir.membership.heartbeat_content import Telling
from rosemaryweir.membership.peer_choice import PeerChoice
from rosemaryweir.membership.prober import Prober, suspicion_time
from rosemaryweir.membership.roster import sender_address
from rosemaryweir.membership.view_spread import Wanted
from rosemaryweir.node.action import Action, LogEvent, SendPeer
from rosemaryweir.node.event import PeerMessage
from rosemaryweir.node.log_events import register_event
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

__all__ = ['MembershipService']

MEMBER_CHANGED = register_event(
    610,
    'membership.changed',
    'info',
    'A VM joined, is suspected, leaves or is gone.',
)

#: Pause between two rounds, in seconds.
ROUND_S = 0.25

#: Pause between two attempts to reach the seeds, in seconds.
SEED_S = 1.0

#: Heartbeats whose view versions an answer may refer to.
STATED_KEPT = 256

#: Time after which an unsent message is worth nothing, in seconds.
SEND_S = 0.5

#: Rounds between two looks for what to forget.
FORGET_ROUNDS = 40

#: How long news of a VM are remembered, in seconds.
HEARD_KEPT_S = 60.0

#: Age of the evidence from the store that makes vouches worth relaying.
OUTAGE_S = 1.0


@part_of('agent')
class MembershipService(Part):
    """Exchange heartbeats with a bounded number of agents each round."""

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.agent_state = agent_state_of(state)
        self._prober = Prober()
        self._choice = PeerChoice(self.agent_state, rng)
        self._due = 0.0
        self._rounds = 0
        self._seed_due = 0.0
        self._wanted = Wanted()
        self._stated: dict[int, dict[str, int]] = {}
        self._telling = Telling(self.agent_state)
        self._introduced = self._telling.introduced
        self._helping: dict[int, tuple[str, str, int]] = {}

    def next_wake(self) -> float | None:
        """Return the time of the next round."""
        return 0.0 if self.agent_state.announce_now else self._due

    def wake(self, now: float) -> Iterator[Action]:
        """Tell others of changes at once; probe, suspect, bury in rounds."""
        yield from self._announce(now)
        if now >= self._due:
            yield from self._round(now)

    def _round(self, now: float) -> Iterator[Action]:
        self._due = now + ROUND_S * self.rng.uniform(0.8, 1.2)
        self._rounds += 1
        for missing in self._prober.missing(now):
            self._introduced.pop(missing.vm, None)
            if missing.suspect:
                yield from self._mark(missing.vm, 'suspect', now)
            else:
                yield from self._ask_helpers(missing.vm, now)
        yield from self._bury(now)
        for member in self._choice.probed(self._rounds, self._outage(now)):
            yield self._probe(member, now)
        yield from self._seek(now)
        if self._rounds % FORGET_ROUNDS == 0:
            self._forget(now)

    @handles(PeerMessage, 'heartbeat')
    def answer(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Answer a heartbeat with what is known here."""
        message: Heartbeat = event.message  # type: ignore[assignment]
        known = message['known']
        yield from self._learn(known, now)
        agent_state = self.agent_state
        agent_state.permission(now)
        address = known['agent_peer']
        ack = Ack(
            kind='ack',
            sequence=message['sequence'],
            known=self._telling.answer(message, now),
            fresh=agent_state.freshness.store_read_ages(now),
            quorums=agent_state.freshness.majority_ages(now),
            vouches=agent_state.freshness.can_vouch,
        )
        versions = dict(self.state.view_versions())
        settled = agent_state.succession.settled(now)
        if settled != versions:
            ack['settled'] = settled
        near = known['domain'] == agent_state.domain
        if near and self._outage(now):
            ack['vouched'] = self._telling.vouch_masks(now)
        adopted = self._telling.adopted_masks()
        if adopted and known['versions'] == versions:
            ack['adopted'] = adopted
        if known['versions'] != versions:
            ack['known']['versions'] = versions
        yield _to_peer(known['vm'], address, ack, now)

    @handles(PeerMessage, 'ack')
    def take_answer(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Take an answer: its sender is alive, its evidence counts."""
        ack: Ack = event.message  # type: ignore[assignment]
        known = ack['known']
        vm = known['vm']
        stated = self._stated.pop(ack['sequence'], None)
        if 'versions' not in known:
            if stated is None:
                return
            known['versions'] = stated
        sent = self._prober.answered(vm, ack['sequence'])
        helped = self._helping.pop(ack['sequence'], None)
        yield from self._learn(known, now)
        if sent is None:
            return
        self._introduced[vm] = self.agent_state.roster.itself['incarnation']
        if helped is not None:
            yield self._help_done(helped, vm, now)
        take_evidence(self.agent_state, ack, sent, now)

    @handles(PeerMessage, 'ping_req')
    def help_probe(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Probe a VM for another agent."""
        message: PingReq = event.message  # type: ignore[assignment]
        member = self.agent_state.roster.member(message['vm'])
        asker = self.agent_state.roster.member(event.sender.partition('/')[0])
        if member is not None and asker is not None:
            probe = self._probe(member, now, helping=True)
            sequence = int(probe.message['sequence'])
            self._helping[sequence] = (
                asker['vm'],
                asker['agent_peer'],
                message['sequence'],
            )
            self._helping.pop(sequence - 256, None)
            yield probe

    @handles(PeerMessage, 'ping_ack')
    def take_help(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Take it that a VM answered another agent."""
        self._prober.excuse(str(event.message['vm']))
        return ()

    def status(self, now: float) -> Mapping[str, Any]:
        """Return what is believed of every VM, with its generation."""
        agent_state = self.agent_state
        heard = agent_state.pulses
        return {
            'members': {
                member['vm']: {
                    'state': member['state'],
                    'domain': member['domain'],
                    'generation': heard[member['vm']].pulse['generation']
                    if member['vm'] in heard
                    else None,
                }
                for member in [
                    agent_state.roster.itself,
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
        helping: bool = False,
    ) -> SendPeer:
        sequence = self._prober.start(member, now, helping)
        heartbeat = Heartbeat(
            kind='heartbeat',
            sequence=sequence,
            known=self._telling.known(now, member['vm']),
        )
        self._stated[sequence] = heartbeat['known']['versions']
        self._stated.pop(sequence - STATED_KEPT, None)
        return self._send(member, heartbeat, now)

    def _learn(self, known: Known, now: float) -> Iterator[Action]:
        agent_state = self.agent_state
        vm = known['vm']
        reports = known.get('deltas', [])
        if 'member' in known:
            reports = [known['member'], *reports]
        changed = agent_state.roster.take_all(reports, now)
        for report in changed:
            yield _log_change(report)
        pulse: Pulse = {**known['pulse'], 'vm': vm, 'age_ms': 0}
        agent_state.pulses[vm] = ReceivedPulse(pulse, now)
        agent_state.intents.add_relayed(known.get('intents', ()), now)
        agent_state.newest_generation = max(
            agent_state.newest_generation, known['generation']
        )
        agent_state.succession.heard(vm, known['versions'])
        tuple(agent_state.succession.settle(now))
        newer = lacking(self.state, known['versions'])
        address = sender_address(known, agent_state.roster)
        if address and newer and self._wanted.ask(newer, now):
            yield self._fetch(vm, address, now)

    def _outage(self, now: float) -> bool:
        return (
            self.agent_state.freshness.store_read_age(CONFIG_HEAD, now)
            > OUTAGE_S
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

    def _forget(self, now: float) -> None:
        self.agent_state.roster.forget(now)
        heard = self.agent_state.pulses
        old = [
            vm for vm, news in heard.items() if now > news.said + HEARD_KEPT_S
        ]
        for vm in old:
            heard.pop(vm)
            self._introduced.pop(vm, None)

    def _ask_helpers(self, vm: str, now: float) -> Iterator[Action]:
        member = self.agent_state.roster.member(vm)
        if member is None:
            return
        for helper in self._choice.helpers(member):
            request = PingReq(
                kind='ping_req',
                sequence=0,
                vm=vm,
                address=member['agent_peer'],
            )
            yield self._send(helper, request, now)

    def _help_done(
        self,
        asker: tuple[str, str, int],
        vm: str,
        now: float,
    ) -> SendPeer:
        name, address, sequence = asker
        ack = PingAck(kind='ping_ack', sequence=sequence, vm=vm)
        return SendPeer(f'{name}/agent', address, ack, now + SEND_S)

    def _bury(self, now: float) -> Iterator[Action]:
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
        if self.agent_state.roster.mark(vm, state, now):
            member = self.agent_state.roster.member(vm)
            assert member is not None
            yield _log_change(member)

    def _seek(self, now: float) -> Iterator[Action]:
        if self.agent_state.pulses and self._rounds % 40:
            return
        if now < self._seed_due:
            return
        self._seed_due = now + SEED_S
        for seed in self.state.settings.get('seeds', ()):
            if seed['vm'] != self.state.uid.vm:
                heartbeat = Heartbeat(
                    kind='heartbeat',
                    sequence=0,
                    known=self._telling.known(now),
                )
                yield SendPeer(
                    f'{seed["vm"]}/agent',
                    seed['agent_peer'],
                    heartbeat,
                    now + SEND_S,
                )

    def _announce(self, now: float) -> Iterator[Action]:
        if not self.agent_state.announce_now:
            return
        self.agent_state.announce_now = False
        for member in self._choice.told_at_once():
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
    return SendPeer(f'{vm}/agent', address, message, now + SEND_S)


def _log_change(member: Member) -> LogEvent:
    return LogEvent(
        MEMBER_CHANGED,
        {'vm': member['vm'], 'state': member['state']},
    )

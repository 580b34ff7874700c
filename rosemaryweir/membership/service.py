"""Heartbeats between agents: probing, gossip, evidence, views by gossip."""

from collections.abc import Iterable, Iterator, Mapping
from random import Random
from typing import Any

from rosemaryweir.config.fence import HEAD
from rosemaryweir.config.vouching import (
    mask_of,
    members_of,
    vouch_ages,
    vouch_masks,
)
from rosemaryweir.membership.control import control_of
from rosemaryweir.membership.directory_choice import Heard
from rosemaryweir.membership.prober import (
    Prober,
    Rotation,
    suspicion_time,
)
from rosemaryweir.membership.ranks import children, parent, rank_of
from rosemaryweir.membership.roster import address_of
from rosemaryweir.membership.view_spread import Wanted
from rosemaryweir.node.action import Action, LogEvent, SendPeer
from rosemaryweir.node.catalogue import register_event
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

__all__ = ['MembershipService']

MEMBER_CHANGED = register_event(
    610,
    'membership.changed',
    'info',
    'A VM joined, is suspected, leaves or is gone.',
)

#: Pause between two rounds, in seconds.
ROUND_S = 0.25

#: Fleet up to which every round probes one VM of any failure domain.
SMALL_FLEET = 32

#: Failure domain up to which all its VMs ask each other in turn.
FLAT_DOMAIN = 8

#: VMs that are asked to probe for another.
HELPERS = 3

#: Pause between two attempts to reach the seeds, in seconds.
SEED_S = 1.0

#: VMs that are told of a change at once.
URGENT = 4

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

#: States that a VM refutes when it learns of them.
ACCUSED = ('suspect', 'dead')


@part_of('agent')
class MembershipService(Part):
    """Exchange heartbeats with a bounded number of agents each round."""

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.control = control_of(state)
        self._prober = Prober()
        self._near = Rotation(rng)
        self._all = Rotation(rng)
        self._due = 0.0
        self._rounds = 0
        self._seed_due = 0.0
        self._wanted = Wanted()
        self._stated: dict[int, dict[str, int]] = {}
        self._introduced: dict[str, int] = {}
        self._helping: dict[int, tuple[str, str, int]] = {}

    def next_wake(self) -> float | None:
        """Return the time of the next round."""
        return 0.0 if self.control.urgent else self._due

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
        for member in self._chosen(now):
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
        control = self.control
        control.permission(now)
        address = known['agent_peer']
        ack = Ack(
            kind='ack',
            sequence=message['sequence'],
            known=self._told(message, now),
            fresh=control.fence.fresh_ages(now),
            quorums=control.fence.quorum_ages(now),
            vouches=control.fence.vouches,
        )
        versions = dict(self.state.view_versions())
        settled = control.succession.settled(now)
        if settled != versions:
            ack['settled'] = settled
        near = known['domain'] == control.domain
        if near and control.fence.age(HEAD, now) > OUTAGE_S:
            ack['vouched'] = self._vouch_masks(now)
        adopted = self._adopted_masks()
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
        self._introduced[vm] = self.control.roster.itself['incarnation']
        if helped is not None:
            yield self._help_done(helped, vm, now)
        self._take_evidence(ack, sent, now)

    @handles(PeerMessage, 'ping_req')
    def help_probe(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Probe a VM for another agent."""
        message: PingReq = event.message  # type: ignore[assignment]
        member = self.control.roster.member(message['vm'])
        asker = self.control.roster.member(event.sender.partition('/')[0])
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
        control = self.control
        heard = control.heard
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
                    control.roster.itself,
                    *control.roster.peers().values(),
                ]
            },
            'watches': control.watches(),
            'permission': control.permission(now).reason,
            'settled': control.succession.settled(now),
        }

    def _chosen(self, now: float) -> Iterator[Member]:
        roster = self.control.roster
        peers = roster.peers()
        ranked = self.control.ranked()
        outage = self.control.fence.age(HEAD, now) > OUTAGE_S
        often = len(peers) <= SMALL_FLEET
        names = []
        if often or self._rounds % 2:
            names.append(self._all.next(peers))
        if often or outage or not self._rounds % 2:
            names.append(self._nearby(ranked, outage))
        return (
            peers[name] for name in names if name is not None and name in peers
        )

    def _nearby(self, ranked: list[Member], outage: bool) -> str | None:
        vm = self.state.uid.vm
        if len(ranked) > FLAT_DOMAIN and not outage:
            elder = parent(rank_of(vm, ranked), ranked, self.rng)
            if elder is not None:
                return elder['vm']
        return self._near.next(
            [member['vm'] for member in ranked if member['vm'] != vm],
        )

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
            known=self._known(now, member['vm']),
        )
        self._stated[sequence] = heartbeat['known']['versions']
        self._stated.pop(sequence - STATED_KEPT, None)
        return self._send(member, heartbeat, now)

    def _known(self, now: float, receiver: str = '') -> Known:
        itself = self.control.roster.itself
        return {
            **self._about(now, receiver),
            'domain': itself['domain'],
            'agent_peer': itself['agent_peer'],
            'versions': dict(self.state.view_versions()),
        }

    def _told(self, message: Heartbeat, now: float) -> Known:
        # A heartbeat without a number comes from a VM that may know nobody.
        vm = message['known']['vm']
        if message['sequence']:
            return self._about(now, vm)
        return self._known(now, vm)

    def _about(self, now: float, receiver: str) -> Known:
        """Return what an answer tells to a peer that has probed this VM."""
        control = self.control
        deltas = control.roster.deltas()
        about = control.roster.member(receiver)
        if about is not None and about['state'] in ACCUSED:
            deltas.append(about)
        itself = control.roster.itself
        known = Known(
            vm=itself['vm'],
            pulse=_own_pulse(control.pulse),
            generation=self.state.config['generation'],
        )
        intents = control.intents.relayed(now)
        if deltas:
            known['deltas'] = deltas
        if intents:
            known['intents'] = intents
        introduced = self._introduced.get(receiver) == itself['incarnation']
        if not (introduced or control.known_by_view()):
            known['member'] = itself
        return known

    def _learn(self, known: Known, now: float) -> Iterator[Action]:
        control = self.control
        vm = known['vm']
        reports = known.get('deltas', [])
        if 'member' in known:
            reports = [known['member'], *reports]
        changed = control.roster.take_all(reports, now)
        for report in changed:
            yield _log_change(report)
        pulse: Pulse = {**known['pulse'], 'vm': vm, 'age_ms': 0}
        control.heard[vm] = Heard(pulse, now)
        control.intents.take(known.get('intents', ()), now)
        control.told = max(control.told, known['generation'])
        control.succession.heard(vm, known['versions'])
        tuple(control.succession.settle(now))
        lacking = self._lacking(known['versions'])
        address = address_of(known, control.roster)
        if address and lacking and self._wanted.ask(lacking, now):
            yield self._fetch(vm, address, now)

    def _take_evidence(
        self,
        ack: Ack,
        sent: float,
        now: float,
    ) -> None:
        control = self.control
        vm = ack['known']['vm']
        newer = ack['known']['generation'] > self.state.config['generation']
        if newer or self._lacking(ack['known']['versions']):
            return
        control.fence.relay(ack['fresh'], sent)
        control.fence.relay_quorums(ack['quorums'], sent)
        if ack['vouches']:
            control.fence.vouched(vm, sent)
        # Left out when the succession of every view has taken place.
        settled = ack.get('settled', ack['known']['versions'])
        tuple(control.succession.told_settled(settled, now))
        if ack['known']['versions'] != self.state.view_versions():
            return
        names = sorted(member['vm'] for member in self.state.members())
        for domain, mask in ack.get('adopted', {}).items():
            control.succession.told_adopted(domain, members_of(names, mask))
        own = control.domain
        if own in self.state.views:
            ages = vouch_ages(self._names(own), ack.get('vouched', ()))
            control.fence.relay_vouches(ages, sent)

    def _vouch_masks(self, now: float) -> list[str]:
        own = self.control.domain
        if own not in self.state.views:
            return []
        times = self.control.fence.vouch_times(self.state.uid.vm, now)
        return vouch_masks(self._names(own), times, now)

    def _adopted_masks(self) -> dict[str, str]:
        adopters = self.control.succession.adopters()
        if not adopters:
            return {}
        names = sorted(member['vm'] for member in self.state.members())
        return {domain: mask_of(names, vms) for domain, vms in adopters.items()}

    def _names(self, domain: str) -> list[str]:
        members = self.state.views[domain]['members']
        return sorted(member['vm'] for member in members)

    def _lacking(self, versions: Mapping[str, int]) -> dict[str, int]:
        own = self.state.views
        return {
            domain: version
            for domain, version in versions.items()
            if domain not in own or own[domain]['version'] < version
        }

    def _fetch(self, vm: str, address: str, now: float) -> SendPeer:
        fetch = Fetch(
            kind='fetch',
            generation=self.state.config['generation'],
            chunk=0,
            views=dict(self.state.view_versions()),
        )
        return _to_peer(vm, address, fetch, now)

    def _forget(self, now: float) -> None:
        self.control.roster.forget(now)
        heard = self.control.heard
        old = [
            vm for vm, news in heard.items() if now > news.said + HEARD_KEPT_S
        ]
        for vm in old:
            heard.pop(vm)
            self._introduced.pop(vm, None)

    def _ask_helpers(self, vm: str, now: float) -> Iterator[Action]:
        member = self.control.roster.member(vm)
        if member is None:
            return
        for helper in self._helpers(member):
            request = PingReq(
                kind='ping_req',
                sequence=0,
                vm=vm,
                address=member['agent_peer'],
            )
            yield self._send(helper, request, now)

    def _helpers(self, member: Member) -> list[Member]:
        peers = [
            peer
            for peer in self.control.roster.peers().values()
            if peer['vm'] != member['vm'] and peer['state'] == 'alive'
        ]
        # A third failure domain gets round a cut between two.
        ends = {member['domain'], self.control.domain}
        third = [peer for peer in peers if peer['domain'] not in ends]
        drawn = self.rng.sample(third, min(HELPERS, len(third)))
        return drawn or self.rng.sample(peers, min(HELPERS, len(peers)))

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
        roster = self.control.roster
        limit = suspicion_time(len(roster.peers()) + 1)
        expired = [
            record.member['vm']
            for record in roster.suspects()
            if now >= record.since + limit
        ]
        for vm in expired:
            yield from self._mark(vm, 'dead', now)

    def _mark(self, vm: str, state: str, now: float) -> Iterator[Action]:
        if self.control.roster.mark(vm, state, now):
            member = self.control.roster.member(vm)
            assert member is not None
            yield _log_change(member)

    def _seek(self, now: float) -> Iterator[Action]:
        if self.control.heard and self._rounds % 40:
            return
        if now < self._seed_due:
            return
        self._seed_due = now + SEED_S
        for seed in self.state.settings.get('seeds', ()):
            if seed['vm'] != self.state.uid.vm:
                heartbeat = Heartbeat(
                    kind='heartbeat',
                    sequence=0,
                    known=self._known(now),
                )
                yield SendPeer(
                    f'{seed["vm"]}/agent',
                    seed['agent_peer'],
                    heartbeat,
                    now + SEND_S,
                )

    def _announce(self, now: float) -> Iterator[Action]:
        if not self.control.urgent:
            return
        self.control.urgent = False
        for member in self._urgent():
            yield self._probe(member, now)

    def _urgent(self) -> list[Member]:
        ranked = self.control.ranked()
        rank = rank_of(self.state.uid.vm, ranked)
        peers = list(self.control.roster.peers().values())
        drawn = self.rng.sample(peers, min(URGENT, len(peers)))
        unique = {
            member['vm']: member for member in [*children(rank, ranked), *drawn]
        }
        return list(unique.values())

    def _send(
        self,
        member: Member,
        message: Mapping[str, Any],
        now: float,
    ) -> SendPeer:
        return _to_peer(member['vm'], member['agent_peer'], message, now)


def _own_pulse(pulse: Pulse) -> Pulse:
    return Pulse(
        load=pulse['load'],
        serving=pulse['serving'],
        leaving=pulse['leaving'],
        generation=pulse['generation'],
    )


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

"""Roster: the state of every known VM, merged from gossip."""

import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from rosemaryweir.schema.generated.control import Known, Member

__all__ = ['PRESENT_STATES', 'Roster', 'sender_address']

#: States of VMs that count as members.
PRESENT_STATES = ('alive', 'suspect')

#: Of two reports of one incarnation, that of the higher number wins.
STATE_PRECEDENCE = {'alive': 0, 'suspect': 1, 'leaving': 2, 'dead': 3}

#: Changes that one message carries at most.
MAX_DELTAS_SENT = 6

#: Transmissions of one change per doubling of the fleet size.
SENDS_PER_DOUBLING = 2

#: The same for a VM that joins or leaves; its view carries that change, too.
VIEWED_SENDS_PER_DOUBLING = 1

#: Time for which a dead VM is kept, in seconds.
DEAD_RETENTION_S = 60.0


class MemberRecord(NamedTuple):
    """A member, and the time from which it has been in its state."""

    member: Member
    since: float


class Roster:
    """Members by name, with the changes that are still to be sent.

    Parameters
    ----------
    own_member : Member
        Member record of this agent's VM.

    Notes
    -----
    The rules are those of SWIM [1]_: a report of a higher incarnation wins;
    within an incarnation the state of higher precedence wins; only a VM
    itself raises its incarnation, to refute a report.

    References
    ----------
    .. [1] A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
       Infection-style Process Group Membership Protocol", DSN 2002.
    """

    def __init__(self, own_member: Member) -> None:
        self.own_member = own_member
        self._records: dict[str, MemberRecord] = {}
        self._sends_left: dict[str, int] = {}
        self._suspects: set[str] = set()
        self._present: dict[str, list[Member]] = {}
        self._peers: dict[str, Member] | None = None
        self._put(own_member, 0.0)

    def member(self, vm: str) -> Member | None:
        """Return the member record of a VM, or None if it is unknown."""
        record = self._records.get(vm)
        return None if record is None else record.member

    def since(self, vm: str) -> float:
        """Return when a VM entered its state."""
        return self._records[vm].since

    def state(self, vm: str) -> str:
        """Return the state of a VM; empty if it is unknown."""
        record = self._records.get(vm)
        return '' if record is None else record.member['state']

    def present(self, domain: str = '') -> list[Member]:
        """Return the present members, sorted by name."""
        known = self._present.get(domain)
        if known is None:
            known = sorted(self._select(domain), key=lambda each: each['vm'])
            self._present[domain] = known
        return known

    def peers(self) -> dict[str, Member]:
        """Return the other members that can be probed, by name."""
        if self._peers is None:
            self._peers = {
                vm: record.member
                for vm, record in self._records.items()
                if record.member['state'] != 'dead'
                and vm != self.own_member['vm']
            }
        return self._peers

    def suspects(self) -> Iterator[MemberRecord]:
        """Yield the suspected members."""
        return (self._records[vm] for vm in tuple(self._suspects))

    def merge(self, report: Member, now: float, spread: bool = True) -> bool:
        """Merge a report; return whether it changed anything.

        Reports from a view need not be gossiped, as the view itself is.
        """
        vm = report['vm']
        if vm == self.own_member['vm']:
            return self._merge_own(report, now)
        known = self._records.get(vm)
        if known is not None and not _wins(report, known.member):
            if not spread and _same(report, known.member):
                self._sends_left.pop(vm, None)
            return False
        self._put(report, now, spread)
        return True

    def merge_all(self, reports: Iterable[Member], now: float) -> list[Member]:
        """Merge reports; return those that changed the roster."""
        return [report for report in reports if self.merge(report, now)]

    def set_state(self, vm: str, state: str, now: float) -> bool:
        """Change the state of a VM within its incarnation."""
        known = self._records.get(vm)
        if known is None or known.member['state'] == state:
            return False
        report: Member = {**known.member, 'state': state}  # type: ignore[typeddict-item]
        if vm == self.own_member['vm']:
            self._put(report, now)
            return True
        return self.merge(report, now)

    def rejoin(self, now: float) -> None:
        """Return this VM to the state alive, with a higher incarnation."""
        raised = self.own_member['incarnation'] + 1
        self._put(
            {**self.own_member, 'state': 'alive', 'incarnation': raised}, now
        )

    def next_deltas(self) -> list[Member]:
        """Return the changes to send with the next message."""
        chosen = sorted(
            self._sends_left,
            key=lambda vm: self._sends_left[vm],
            reverse=True,
        )[:MAX_DELTAS_SENT]
        for name in chosen:
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                self._sends_left.pop(name)
        return [self._records[vm].member for vm in chosen]

    def forget(self, now: float) -> None:
        """Remove VMs that have been dead for `DEAD_RETENTION_S`."""
        old = [
            vm
            for vm, record in self._records.items()
            if record.member['state'] == 'dead'
            and now > record.since + DEAD_RETENTION_S
            and vm != self.own_member['vm']
        ]
        for vm in old:
            self._records.pop(vm)
            self._sends_left.pop(vm, None)
            self._suspects.discard(vm)

    def _select(self, domain: str) -> Iterator[Member]:
        return (
            record.member
            for record in self._records.values()
            if record.member['state'] in PRESENT_STATES
            and domain in {'', record.member['domain']}
        )

    def _merge_own(self, report: Member, now: float) -> bool:
        if report['incarnation'] < self.own_member['incarnation']:
            return False
        if report['state'] in {self.own_member['state'], 'alive', 'leaving'}:
            return False
        raised = report['incarnation'] + 1
        self._put({**self.own_member, 'incarnation': raised}, now)
        return True

    def _put(self, member: Member, now: float, spread: bool = True) -> None:
        vm = member['vm']
        if vm == self.own_member['vm']:
            self.own_member = member
        known = self._records.get(vm)
        self._records[vm] = MemberRecord(member, now)
        self._suspects.discard(vm)
        if member['state'] == 'suspect':
            self._suspects.add(vm)
        self._present = {}
        self._peers = None
        if not spread:
            self._sends_left.pop(vm, None)
            return
        doublings = math.ceil(math.log2(len(self._records) + 1))
        joins = known is None and member['state'] == 'alive'
        viewed = joins or member['state'] == 'leaving'
        rate = VIEWED_SENDS_PER_DOUBLING if viewed else SENDS_PER_DOUBLING
        self._sends_left[vm] = rate * doublings


def sender_address(known: Known, roster: Roster) -> str:
    """Return the address of the sender's agent; empty if unknown."""
    member = roster.member(known['vm'])
    recorded = '' if member is None else member['agent_peer']
    return known.get('agent_peer', recorded)


def _same(report: Member, known: Member) -> bool:
    return (report['incarnation'], report['state']) == (
        known['incarnation'],
        known['state'],
    )


def _wins(report: Member, known: Member) -> bool:
    if report['incarnation'] != known['incarnation']:
        return report['incarnation'] > known['incarnation']
    return STATE_PRECEDENCE[report['state']] > STATE_PRECEDENCE[known['state']]

"""The roster: what an agent believes of every VM, merged from gossip."""

import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from rosemaryweir.schema.generated.control import Known, Member

__all__ = ['PRESENT_STATES', 'Roster', 'sender_address']

#: States in which a VM takes part.
PRESENT_STATES = ('alive', 'suspect')

#: Which of two reports of one incarnation wins.
STATE_PRECEDENCE = {'alive': 0, 'suspect': 1, 'leaving': 2, 'dead': 3}

#: Changes that one message carries.
MAX_DELTAS_SENT = 6

#: Transmissions of one change, for each doubling of the fleet.
SENDS_PER_DOUBLING = 2

#: The same for a VM that joins or leaves: its view tells that, too.
VIEWED_SENDS_PER_DOUBLING = 1

#: How long a dead VM is remembered, in seconds.
DEAD_RETENTION_S = 60.0


class MemberRecord(NamedTuple):
    """A member and since when it is in its state."""

    member: Member
    since: float


class Roster:
    """Members by name, with the changes that are still to be spread.

    Parameters
    ----------
    itself : Member
        The VM of this agent.

    Notes
    -----
    The rules are those of SWIM [1]_: a report of a higher incarnation wins;
    within an incarnation the graver state wins; only a VM itself raises its
    incarnation, to refute a suspicion.

    References
    ----------
    .. [1] A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
       Infection-style Process Group Membership Protocol", DSN 2002.
    """

    def __init__(self, itself: Member) -> None:
        self.itself = itself
        self._records: dict[str, MemberRecord] = {}
        self._spread: dict[str, int] = {}
        self._suspects: set[str] = set()
        self._present: dict[str, list[Member]] = {}
        self._peers: dict[str, Member] | None = None
        self._put(itself, 0.0)

    def member(self, vm: str) -> Member | None:
        """Return what is known of a VM."""
        record = self._records.get(vm)
        return None if record is None else record.member

    def since(self, vm: str) -> float:
        """Return since when a VM is in its state."""
        return self._records[vm].since

    def state(self, vm: str) -> str:
        """Return the state of a VM; empty when it is not known."""
        record = self._records.get(vm)
        return '' if record is None else record.member['state']

    def present(self, domain: str = '') -> list[Member]:
        """Return the members that take part, by name."""
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
                if record.member['state'] != 'dead' and vm != self.itself['vm']
            }
        return self._peers

    def suspects(self) -> Iterator[MemberRecord]:
        """Yield the suspected members."""
        return (self._records[vm] for vm in tuple(self._suspects))

    def take(self, report: Member, now: float, spread: bool = True) -> bool:
        """Merge a report; return whether it changed anything.

        What came with a view need not be spread: the view itself is.
        """
        vm = report['vm']
        if vm == self.itself['vm']:
            return self._take_own(report, now)
        known = self._records.get(vm)
        if known is not None and not _wins(report, known.member):
            if not spread and _same(report, known.member):
                self._spread.pop(vm, None)
            return False
        self._put(report, now, spread)
        return True

    def merge_all(self, reports: Iterable[Member], now: float) -> list[Member]:
        """Merge reports; return those that changed something."""
        return [report for report in reports if self.take(report, now)]

    def mark(self, vm: str, state: str, now: float) -> bool:
        """Put a VM into another state of its incarnation."""
        known = self._records.get(vm)
        if known is None or known.member['state'] == state:
            return False
        report: Member = {**known.member, 'state': state}  # type: ignore[typeddict-item]
        if vm == self.itself['vm']:
            self._put(report, now)
            return True
        return self.take(report, now)

    def rejoin(self, now: float) -> None:
        """Come back alive, as a higher incarnation."""
        raised = self.itself['incarnation'] + 1
        self._put({**self.itself, 'state': 'alive', 'incarnation': raised}, now)

    def deltas(self) -> list[Member]:
        """Return the changes that the next message carries."""
        chosen = sorted(
            self._spread,
            key=lambda vm: self._spread[vm],
            reverse=True,
        )[:MAX_DELTAS_SENT]
        for name in chosen:
            self._spread[name] -= 1
            if self._spread[name] <= 0:
                self._spread.pop(name)
        return [self._records[vm].member for vm in chosen]

    def forget(self, now: float) -> None:
        """Forget VMs that have been dead for long."""
        old = [
            vm
            for vm, record in self._records.items()
            if record.member['state'] == 'dead'
            and now > record.since + DEAD_RETENTION_S
            and vm != self.itself['vm']
        ]
        for vm in old:
            self._records.pop(vm)
            self._spread.pop(vm, None)
            self._suspects.discard(vm)

    def _select(self, domain: str) -> Iterator[Member]:
        return (
            record.member
            for record in self._records.values()
            if record.member['state'] in PRESENT_STATES
            and domain in {'', record.member['domain']}
        )

    def _take_own(self, report: Member, now: float) -> bool:
        if report['incarnation'] < self.itself['incarnation']:
            return False
        if report['state'] in {self.itself['state'], 'alive', 'leaving'}:
            return False
        raised = report['incarnation'] + 1
        self._put({**self.itself, 'incarnation': raised}, now)
        return True

    def _put(self, member: Member, now: float, spread: bool = True) -> None:
        vm = member['vm']
        if vm == self.itself['vm']:
            self.itself = member
        known = self._records.get(vm)
        self._records[vm] = MemberRecord(member, now)
        self._suspects.discard(vm)
        if member['state'] == 'suspect':
            self._suspects.add(vm)
        self._present = {}
        self._peers = None
        if not spread:
            self._spread.pop(vm, None)
            return
        doublings = math.ceil(math.log2(len(self._records) + 1))
        joins = known is None and member['state'] == 'alive'
        viewed = joins or member['state'] == 'leaving'
        rate = VIEWED_SENDS_PER_DOUBLING if viewed else SENDS_PER_DOUBLING
        self._spread[vm] = rate * doublings


def sender_address(known: Known, roster: Roster) -> str:
    """Return where to reach the agent that told this; empty if unknown."""
    member = roster.member(known['vm'])
    away = '' if member is None else member['agent_peer']
    return known.get('agent_peer', away)


def _same(report: Member, known: Member) -> bool:
    return (report['incarnation'], report['state']) == (
        known['incarnation'],
        known['state'],
    )


def _wins(report: Member, known: Member) -> bool:
    if report['incarnation'] != known['incarnation']:
        return report['incarnation'] > known['incarnation']
    return STATE_PRECEDENCE[report['state']] > STATE_PRECEDENCE[known['state']]

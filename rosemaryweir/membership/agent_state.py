"""State that the parts of an agent share."""

from collections.abc import Iterable
from weakref import WeakKeyDictionary

from rosemaryweir.config.chunk_assembly import ConfigUpdate
from rosemaryweir.config.config_in_force import ConfigInForce
from rosemaryweir.config.freshness import (
    CONFIG_HEAD,
    FreshnessEvidence,
    Permission,
)
from rosemaryweir.config.pending_intents import PendingIntents
from rosemaryweir.membership.directory_choice import ReceivedPulse
from rosemaryweir.membership.relay_tree import STORE_WATCHERS, rank_of
from rosemaryweir.membership.roster import Roster
from rosemaryweir.membership.succession import Succession
from rosemaryweir.membership.timing import clock_skew
from rosemaryweir.membership.view_delta import ViewHistory
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Member, Pulse, View

__all__ = ['AgentState', 'agent_state_of', 'own_member']

#: Fleet size up to which an agent counts the majorities of all domains.
#: In larger fleets it counts those of its own domains; peers send the others.
MAX_MEMBERS_COUNTED = 64

#: Shortest interval between two counts of majorities, in seconds.
COUNT_INTERVAL_S = 0.05

_AGENT_STATES: WeakKeyDictionary[NodeState, 'AgentState'] = WeakKeyDictionary()


class AgentState:
    """Membership, lease evidence and pending work of one agent.

    Attributes
    ----------
    roster : Roster
        State of every known VM.
    freshness : FreshnessEvidence
        Evidence that no newer view or configuration exists.
    succession : Succession
        Which VM has adopted which view.
    history : ViewHistory
        The latest versions of each view.
    intents : PendingIntents
        Release notes that are about to be written.
    pulses : dict of str to ReceivedPulse
        The latest status of each VM, as that VM sent it.
    newest_generation : int
        The highest configuration generation that any peer has reported.
    leaving, departed : bool
        Whether this VM is leaving; whether its shutdown is complete.
    announce_now : bool
        Whether the next wake should send a change to peers without delay.
    config_in_force : ConfigInForce
        The configuration in force, encoded to be sent to peers.
    pending_configs : list of ConfigUpdate
        Configurations to be put in force, from peers or from a release note
        that was written here.
    accepted_generations : list of int
        Generations that release notes written here have created.
    unwritten_notes : list of str
        Release notes that were announced but turned out not to be written;
        peers are still to be notified.
    own_pulse : Pulse
        Status that this VM sends to its peers.
    """

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self.roster = Roster(own_member(state))
        self.freshness = FreshnessEvidence()
        self.succession = Succession(clock_skew(state.settings))
        self.history = ViewHistory()
        self.intents = PendingIntents()
        self.pulses: dict[str, ReceivedPulse] = {}
        self.newest_generation = 0
        self.leaving = False
        self.departed = False
        self.announce_now = False
        self.config_in_force = ConfigInForce(state)
        self.pending_configs: list[ConfigUpdate] = []
        self.accepted_generations: list[int] = []
        self.unwritten_notes: list[str] = []
        self._own_domains = [state.settings['domain']]
        self._last_count = 0.0
        self._own_record: Member | None = None
        self.own_pulse = _first_pulse(state)

    @property
    def domain(self) -> str:
        """The failure domain of this VM."""
        return self.state.settings['domain']

    def ranked_members(self) -> list[Member]:
        """Return the alive members of the own failure domain, by rank."""
        return [
            member
            for member in self.roster.present(self.domain)
            if member['state'] == 'alive'
        ]

    def watches_store(self) -> bool:
        """Return whether this VM is one of those that watch the store."""
        return (
            rank_of(self.state.uid.vm, self.ranked_members()) < STORE_WATCHERS
        )

    def own_domains(self) -> list[str]:
        """Return the own failure domain and those whose views list this VM."""
        return self._own_domains

    def permission(self, now: float) -> Permission:
        """Return until when new work may start on this VM, and why."""
        if now >= self._last_count + COUNT_INTERVAL_S:
            self._last_count = now
            self._count_majorities(now)
        needed = [CONFIG_HEAD, *self.own_domains()]
        return self.freshness.permission(needed, self.state.views, now)

    def adopt_views(self, views: Iterable[View], now: float) -> list[View]:
        """Adopt views; return those that were newer."""
        newer = [view for view in views if self.state.take_view(view)]
        for view in newer:
            self.history.add(view)
            self.succession.add_view(view, now)
            for member in view['members']:
                self.roster.merge(member, now, spread=False)
        if newer:
            versions = self.state.view_versions()
            self.succession.record_adopted(self.state.uid.vm, versions)
            self.announce_now = True
            self._own_domains = self._find_own_domains()
            self._own_record = self.state.member(self.state.uid.vm)
        return newer

    def incarnation_in_view(self) -> bool:
        """Return whether a view lists this VM with its current incarnation."""
        member = self.roster.own_member
        if self._own_record is None or member['state'] != 'alive':
            return False
        return self._own_record['incarnation'] == member['incarnation']

    def _count_majorities(self, now: float) -> None:
        for domain, view in self._counted():
            names = [member['vm'] for member in view['members']]
            self.freshness.update_majority(
                domain, names, self.state.uid.vm, now
            )

    def _find_own_domains(self) -> list[str]:
        vm = self.state.uid.vm
        named = [
            domain
            for domain, view in self.state.views.items()
            if any(member['vm'] == vm for member in view['members'])
        ]
        return sorted({*named, self.domain})

    def _counted(self) -> list[tuple[str, View]]:
        views = self.state.views
        size = sum(len(view['members']) for view in views.values())
        if size <= MAX_MEMBERS_COUNTED:
            return list(views.items())
        own = self.own_domains()
        return [(name, views[name]) for name in own if name in views]


def agent_state_of(state: NodeState) -> AgentState:
    """Return the shared state of an agent, created on first use."""
    agent_state = _AGENT_STATES.get(state)
    if agent_state is None:
        agent_state = AgentState(state)
        _AGENT_STATES[state] = agent_state
    return agent_state


def own_member(state: NodeState) -> Member:
    """Return the member record of a process's own VM."""
    settings = state.settings
    return Member(
        vm=settings['vm'],
        domain=settings['domain'],
        region=settings['region'],
        incarnation=state.uid.incarnation,
        state='alive',
        load=0.0,
        **settings['addresses'],
    )


def _first_pulse(state: NodeState) -> Pulse:
    return Pulse(
        vm=state.uid.vm,
        load=0.0,
        serving=False,
        leaving=False,
        generation=0,
        age_ms=0,
    )

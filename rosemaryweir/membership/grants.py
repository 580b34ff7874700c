"""Grants: the agent's answers to the entry and the leaf of its VM."""

from collections.abc import Iterable, Iterator, Mapping
from random import Random
from typing import Any, NamedTuple

from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.timing import (
    MAX_GRANT_S,
    PROCESS_SILENCE_S,
    PULSE_LIFETIME_S,
)
from rosemaryweir.node.action import Action, SendPeer
from rosemaryweir.node.event import PeerMessage, ShutdownAsked
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Grant, Hello, Pulse, Viewed

__all__ = ['GrantService']

#: VMs of which a grant brings news.
PULSES_SENT = 8

#: Longest wait, at shutdown, for a view without this VM, in seconds.
HANDOVER_S = 10.0

#: Time after which an unsent message is worth nothing, in seconds.
SEND_S = 0.5

MS_PER_S = 1000


class Local(NamedTuple):
    """The latest hello of a process of the VM, and until when it may work."""

    hello: Hello
    heard: float
    granted: float


@part_of('agent')
class GrantService(Part):
    """Grant leases, pass on views, and see the VM off at shutdown.

    Notes
    -----
    Views and takeover times are sent again with each grant until a hello
    states them.  Until then the lease of a leaf is not renewed: what it
    has rests on evidence from before this agent adopted the newer view, and
    ends before anybody may take over by that view.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.agent_state = agent_state_of(state)
        self._locals: dict[str, Local] = {}
        self._asked: float | None = None
        self._due = 0.0

    def next_wake(self) -> float | None:
        """Return when to look after the processes of the VM next."""
        return None if self._asked is None else self._due

    def wake(self, now: float) -> Iterable[Action]:
        """Look whether the VM is empty; then tell the others it is gone."""
        self._due = now + SEND_S
        if not self.busy(now):
            self.agent_state.departed = True
            self.agent_state.announce_now = True
            self.agent_state.roster.mark(self.state.uid.vm, 'dead', now)
        return ()

    def busy(self, now: float) -> bool:
        """Return whether the VM has not left yet."""
        if self._asked is None:
            return False
        present = any(
            now < local.heard + PROCESS_SILENCE_S
            for local in self._locals.values()
        )
        just_asked = now < self._asked + PROCESS_SILENCE_S
        late = now >= self._asked + HANDOVER_S
        return present or just_asked or (self._listed() and not late)

    @handles(ShutdownAsked)
    def shut_down(self, event: ShutdownAsked, now: float) -> Iterable[Action]:
        """Leave: tell the others at once, stay until the VM is empty."""
        if self._asked is None:
            self._asked = now
            self._due = now + SEND_S
            self._leave(now)
        return ()

    @handles(PeerMessage, 'hello')
    def grant(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Answer a hello with a grant, and with views that changed."""
        hello: Hello = event.message  # type: ignore[assignment]
        if event.sender.partition('/')[0] != self.state.uid.vm:
            return
        former = self._locals.get(hello['role'])
        # An entry owns nothing: an older view only makes it ask in vain.
        behind = hello['role'] == 'leaf' and self._is_behind(hello)
        granted = 0.0 if former is None else former.granted
        if not behind:
            granted = min(
                now + MAX_GRANT_S, self.agent_state.permission(now).until
            )
        self._locals[hello['role']] = Local(hello, now, granted)
        self._follow(now)
        yield from self._pass_views(hello, now)
        permission = self.agent_state.permission(now)
        left = max(0.0, min(granted, permission.until) - now)
        reason = permission.reason if left or not behind else 'viewing'
        grant = Grant(
            kind='grant',
            sequence=hello['sequence'],
            lease_ms=left * MS_PER_S,
            reason=reason,
            generation=max(
                self.agent_state.newest_generation,
                self.state.config['generation'],
            ),
            suspended=self.agent_state.intents.suspended_domains(now),
            pulses=self._pulses(now) if hello['role'] == 'entry' else [],
        )
        yield self._to_local(hello['role'], grant, now)

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the processes of the VM, with the generation in force."""
        return {
            role: {
                'generation': local.hello['generation'],
                'silent_ms': round((now - local.heard) * MS_PER_S),
                'leaving': local.hello['leaving'],
            }
            for role, local in self._locals.items()
        }

    def _follow(self, now: float) -> None:
        agent_state = self.agent_state
        hellos = [
            local.hello
            for local in self._locals.values()
            if now < local.heard + PROCESS_SILENCE_S
        ]
        leaving = self._asked is not None or any(
            hello['leaving'] for hello in hellos
        )
        if leaving and not agent_state.leaving:
            self._leave(now)
        if agent_state.leaving and not leaving:
            agent_state.leaving = False
            agent_state.roster.rejoin(now)
        loads = [hello['load'] for hello in hellos if hello['role'] == 'entry']
        generations = [hello['generation'] for hello in hellos]
        permitted = agent_state.permission(now).until > now
        agent_state.own_pulse = Pulse(
            vm=self.state.uid.vm,
            load=max(loads, default=0.0),
            serving=permitted and bool(loads),
            leaving=agent_state.leaving,
            generation=min(
                [*generations, self.state.config['generation']],
            ),
            age_ms=0,
        )

    def _leave(self, now: float) -> None:
        self.agent_state.leaving = True
        self.agent_state.announce_now = True
        self.agent_state.own_pulse = {
            **self.agent_state.own_pulse,
            'leaving': True,
        }
        self.agent_state.roster.mark(self.state.uid.vm, 'leaving', now)

    def _listed(self) -> bool:
        vm = self.state.uid.vm
        return any(member['vm'] == vm for member in self.state.members())

    def _is_behind(self, hello: Hello) -> bool:
        return any(
            hello['views'].get(domain, 0) < version
            for domain, version in self.state.view_versions().items()
        )

    def _pass_views(self, hello: Hello, now: float) -> Iterator[Action]:
        """Send the views and takeover times that a hello doesn't state."""
        views = [
            view
            for domain, view in self.state.views.items()
            if hello['views'].get(domain, 0) < view['version']
        ]
        takeover = dict(self._takeovers(hello, now))
        if views or takeover:
            viewed = Viewed(kind='viewed', views=views, takeover=takeover)
            yield self._to_local(hello['role'], viewed, now)

    def _takeovers(
        self,
        hello: Hello,
        now: float,
    ) -> Iterator[tuple[str, float]]:
        for domain, version in self.state.view_versions().items():
            # The time is that of the view here, which may be the older one
            # after a restart of this agent.
            newer = hello['views'].get(domain, 0) > version
            known = hello['takeovers'].get(domain, 0) >= version
            when = self.agent_state.succession.takeover(domain)
            if when is not None and not (newer or known):
                yield domain, max(0.0, when - now) * MS_PER_S

    def _pulses(self, now: float) -> list[Pulse]:
        agent_state = self.agent_state
        news: list[Pulse] = [
            {
                **heard.pulse,
                'age_ms': (now - heard.said) * MS_PER_S,
                'serving': heard.pulse['serving']
                and agent_state.roster.state(vm) == 'alive',
            }
            for vm, heard in agent_state.pulses.items()
            if now < heard.said + PULSE_LIFETIME_S
        ]
        chosen = self.rng.sample(news, min(PULSES_SENT, len(news)))
        return [agent_state.own_pulse, *chosen]

    def _to_local(
        self,
        role: str,
        message: Mapping[str, Any],
        now: float,
    ) -> SendPeer:
        addresses = self.state.settings['addresses']
        address = addresses['entry_peer' if role == 'entry' else 'leaf_peer']
        return SendPeer(
            f'{self.state.uid.vm}/{role}',
            address,
            message,
            now + SEND_S,
        )

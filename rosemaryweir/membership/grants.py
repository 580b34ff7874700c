"""Grants leases to the entry and the leaf of the agent's VM."""

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

#: Statuses of other VMs that one grant carries.
MAX_PULSES_SENT = 8

#: Longest wait at shutdown for a view without this VM, in seconds.
MAX_HANDOVER_WAIT_S = 10.0

#: Time after which an unsent message is dropped, in seconds.
SEND_TIMEOUT_S = 0.5

MS_PER_S = 1000


class LocalProcess(NamedTuple):
    """The latest hello of a process of the VM, and the end of its lease."""

    hello: Hello
    hello_at: float
    lease_end: float


@part_of('agent')
class GrantService(Part):
    """Grant leases, send views to the processes, and shut the VM down.

    Notes
    -----
    Views and takeover times are sent again with each grant until a hello
    confirms them.  Until then the lease of a leaf is not renewed.  Its
    current lease rests on evidence from before this agent adopted the newer
    view, and ends before another VM may take over targets by that view.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.agent_state = agent_state_of(state)
        self._processes: dict[str, LocalProcess] = {}
        self._shutdown_at: float | None = None
        self._due = 0.0

    def next_wake(self) -> float | None:
        """Return when to check the shutdown next; None before it."""
        return None if self._shutdown_at is None else self._due

    def wake(self, now: float) -> Iterable[Action]:
        """Check whether the VM has left; if so, announce it as dead."""
        self._due = now + SEND_TIMEOUT_S
        if not self.busy(now):
            self.agent_state.departed = True
            self.agent_state.announce_now = True
            self.agent_state.roster.set_state(self.state.uid.vm, 'dead', now)
        return ()

    def busy(self, now: float) -> bool:
        """Return whether a shutdown is in progress."""
        if self._shutdown_at is None:
            return False
        present = any(
            now < process.hello_at + PROCESS_SILENCE_S
            for process in self._processes.values()
        )
        just_started = now < self._shutdown_at + PROCESS_SILENCE_S
        late = now >= self._shutdown_at + MAX_HANDOVER_WAIT_S
        return present or just_started or (self._in_view() and not late)

    @handles(ShutdownAsked)
    def shut_down(self, event: ShutdownAsked, now: float) -> Iterable[Action]:
        """Announce the departure at once; stay until the processes end."""
        if self._shutdown_at is None:
            self._shutdown_at = now
            self._due = now + SEND_TIMEOUT_S
            self._leave(now)
        return ()

    @handles(PeerMessage, 'hello')
    def grant(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Answer a hello with a grant, and with the views that it lacks."""
        hello: Hello = event.message  # type: ignore[assignment]
        if event.sender.partition('/')[0] != self.state.uid.vm:
            return
        former = self._processes.get(hello['role'])
        # An entry owns no targets.  With an older view it only sends requests
        # to VMs that no longer own the target.
        behind = hello['role'] == 'leaf' and self._is_behind(hello)
        lease_end = 0.0 if former is None else former.lease_end
        if not behind:
            lease_end = min(
                now + MAX_GRANT_S, self.agent_state.permission(now).until
            )
        self._processes[hello['role']] = LocalProcess(hello, now, lease_end)
        self._update_vm_state(now)
        yield from self._send_views(hello, now)
        permission = self.agent_state.permission(now)
        lease_left = max(0.0, min(lease_end, permission.until) - now)
        reason = permission.reason if lease_left or not behind else 'viewing'
        grant = Grant(
            kind='grant',
            sequence=hello['sequence'],
            lease_ms=lease_left * MS_PER_S,
            reason=reason,
            generation=max(
                self.agent_state.newest_generation,
                self.state.config['generation'],
            ),
            suspended=self.agent_state.intents.suspended_domains(now),
            pulses=self._pulses(now) if hello['role'] == 'entry' else [],
        )
        yield self._to_process(hello['role'], grant, now)

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the processes of the VM, with their generations in force."""
        return {
            role: {
                'generation': process.hello['generation'],
                'silent_ms': round((now - process.hello_at) * MS_PER_S),
                'leaving': process.hello['leaving'],
            }
            for role, process in self._processes.items()
        }

    def _update_vm_state(self, now: float) -> None:
        agent_state = self.agent_state
        hellos = [
            process.hello
            for process in self._processes.values()
            if now < process.hello_at + PROCESS_SILENCE_S
        ]
        leaving = self._shutdown_at is not None or any(
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
        self.agent_state.roster.set_state(self.state.uid.vm, 'leaving', now)

    def _in_view(self) -> bool:
        vm = self.state.uid.vm
        return any(member['vm'] == vm for member in self.state.members())

    def _is_behind(self, hello: Hello) -> bool:
        return any(
            hello['views'].get(domain, 0) < version
            for domain, version in self.state.view_versions().items()
        )

    def _send_views(self, hello: Hello, now: float) -> Iterator[Action]:
        """Send the views and takeover times that a hello doesn't confirm."""
        views = [
            view
            for domain, view in self.state.views.items()
            if hello['views'].get(domain, 0) < view['version']
        ]
        takeover = dict(self._takeovers(hello, now))
        if views or takeover:
            viewed = Viewed(kind='viewed', views=views, takeover=takeover)
            yield self._to_process(hello['role'], viewed, now)

    def _takeovers(
        self,
        hello: Hello,
        now: float,
    ) -> Iterator[tuple[str, float]]:
        for domain, version in self.state.view_versions().items():
            # After a restart of this agent its view may be older than the
            # process's; the takeover time then belongs to the older view.
            newer = hello['views'].get(domain, 0) > version
            known = hello['takeovers'].get(domain, 0) >= version
            when = self.agent_state.succession.takeover(domain)
            if when is not None and not (newer or known):
                yield domain, max(0.0, when - now) * MS_PER_S

    def _pulses(self, now: float) -> list[Pulse]:
        agent_state = self.agent_state
        statuses: list[Pulse] = [
            {
                **received.pulse,
                'age_ms': (now - received.received_at) * MS_PER_S,
                'serving': received.pulse['serving']
                and agent_state.roster.state(vm) == 'alive',
            }
            for vm, received in agent_state.pulses.items()
            if now < received.received_at + PULSE_LIFETIME_S
        ]
        chosen = self.rng.sample(statuses, min(MAX_PULSES_SENT, len(statuses)))
        return [agent_state.own_pulse, *chosen]

    def _to_process(
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
            now + SEND_TIMEOUT_S,
        )

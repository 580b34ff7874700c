"""Directory: answers callers which VMs to use."""

from collections.abc import Iterable, Iterator, Mapping
from random import Random
from typing import Any

from rosemaryweir.membership.directory_choice import ReceivedPulse, choose_vms
from rosemaryweir.membership.timing import (
    DIRECTORY_TTL_S,
    HELLO_INTERVAL_S,
    PULSE_LIFETIME_S,
)
from rosemaryweir.node.action import Action, ReplyCaller, StopListening
from rosemaryweir.node.event import CallerRequest, PeerMessage, ShutdownAsked
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Grant, Member
from rosemaryweir.schema.generated.http import (
    DirectoryAnswer,
    HealthAnswer,
    Refusal,
)

__all__ = ['Directory']

HTTP_OK = 200
HTTP_UNAVAILABLE = 503

#: Retry delay that a refused caller is given, in ms.
RETRY_AFTER_MS = 500

#: Time after the shutdown until no directory lists this VM, in seconds:
#: its last status expires, and one hello passes it on at each end.
DELISTING_S = PULSE_LIFETIME_S + 2 * HELLO_INTERVAL_S

MS_PER_S = 1000


@part_of('entry')
class Directory(Part):
    """Answer callers which VMs to use, and whether this one serves.

    Notes
    -----
    From the shutdown request on, this VM no longer lists itself.  Other VMs
    list it while its latest status is younger than `PULSE_LIFETIME_S`, and
    their callers cache that answer for its time to live.  Until both have
    passed, the part is busy, so that the entry still serves.  Then it accepts
    no new connections, and the node exits when its work in flight is done.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self._pulses: dict[str, ReceivedPulse] = {}
        self._serve_until: float | None = None

    def next_wake(self) -> float | None:
        """Return when the last answer that lists this VM expires."""
        return self._serve_until

    def wake(self, now: float) -> Iterable[Action]:
        """Stop listening once no valid answer lists this VM."""
        if self._serve_until is None or now < self._serve_until:
            return ()
        self._serve_until = None
        return (StopListening(),)

    def busy(self, now: float) -> bool:
        """Return whether a caller may still use an answer listing this VM."""
        return self._serve_until is not None and now < self._serve_until

    @handles(ShutdownAsked)
    def shut_down(self, event: ShutdownAsked, now: float) -> Iterable[Action]:
        """Keep serving until every answer that lists this VM has expired."""
        if self._serve_until is None:
            self._serve_until = now + DELISTING_S + DIRECTORY_TTL_S
        return ()

    @handles(PeerMessage, 'grant')
    def take_statuses(self, event: PeerMessage, now: float) -> Iterable[Action]:
        """Update the statuses of the VMs that the agent has received."""
        grant: Grant = event.message  # type: ignore[assignment]
        if event.sender == f'{self.state.uid.vm}/agent':
            fresh = {
                vm: received
                for vm, received in self._pulses.items()
                if now < received.received_at + PULSE_LIFETIME_S
            }
            new = {
                pulse['vm']: ReceivedPulse(
                    pulse, now - pulse['age_ms'] / MS_PER_S
                )
                for pulse in grant.get('pulses', ())
            }
            self._pulses = {**fresh, **new}
        return ()

    @handles(CallerRequest, 'directory')
    def answer(self, event: CallerRequest, now: float) -> Iterator[Action]:
        """Answer a caller with the VMs to use, or refuse."""
        if not self.state.may_start(now):
            yield _refuse(event.req, 'fenced', 'this VM may not answer now')
            return
        domain = str(event.body.get('domain', ''))
        use = choose_vms(
            self._candidates(), self._pulses, domain, now, self.rng
        )
        if not use:
            yield _refuse(event.req, 'no_capacity', 'no VM takes callers')
            return
        body = DirectoryAnswer(
            use=use,
            ttl_ms=round(DIRECTORY_TTL_S * MS_PER_S),
            generation=self.state.config['generation'],
        )
        yield ReplyCaller(event.req, HTTP_OK, body)

    @handles(CallerRequest, 'health')
    def health(self, event: CallerRequest, now: float) -> Iterator[Action]:
        """Answer a health check."""
        serving = self.state.may_start(now)
        body = HealthAnswer(
            serving=serving,
            state=self._condition(serving),  # type: ignore[typeddict-item]
            generation=self.state.config['generation'],
        )
        yield ReplyCaller(
            event.req,
            HTTP_OK if serving else HTTP_UNAVAILABLE,
            body,
        )

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the VMs whose status was received."""
        return {'heard': sorted(self._pulses)}

    def _candidates(self) -> Iterator[Member]:
        state = self.state
        domains = state.config['domains']
        closed = {
            name for name, domain in domains.items() if domain['state'] == 'out'
        } | state.suspended
        for member in state.members():
            itself = member['vm'] == state.uid.vm
            if member['domain'] not in closed and not (
                itself and state.leaving
            ):
                yield member

    def _condition(self, serving: bool) -> str:
        if self.state.leaving:
            return 'leaving'
        if serving:
            return 'serving'
        return 'starting' if not self._pulses else 'fenced'


def _refuse(req: int, reason: str, detail: str) -> ReplyCaller:
    body = Refusal(
        reason=reason,  # type: ignore[typeddict-item]
        ran='not_run',
        detail=detail,
        retry_after_ms=RETRY_AFTER_MS,
    )
    return ReplyCaller(req, HTTP_UNAVAILABLE, body)

"""Views in the store: read and watched by few, written on change only."""

import itertools
from collections.abc import Iterable, Iterator, Mapping
from random import Random
from typing import Any

import msgspec

from rosemaryweir.config.freshness import CONFIG_HEAD
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.relay_tree import rank_of
from rosemaryweir.membership.removed_vms import Gone
from rosemaryweir.membership.store_calls import PendingCall, StoreCalls
from rosemaryweir.membership.views import (
    VIEW_PREFIX,
    ViewTurn,
    decode_view,
    delegates,
    desired_members,
    encode_view,
    same_members,
    view_key,
)
from rosemaryweir.node.action import (
    Action,
    ListPlatform,
    LogEvent,
    StoreGet,
    StoreList,
    StorePut,
    StoreUnwatch,
    StoreWatch,
)
from rosemaryweir.node.event import (
    PlatformList,
    StoreFailed,
    StoreObject,
    StoreReply,
    WatchEnded,
    WatchEvent,
)
from rosemaryweir.node.log_events import register_event
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Member

__all__ = ['ViewService']

VIEW_WRITTEN = register_event(
    620,
    'view.written',
    'info',
    'This agent wrote the view of a failure domain.',
)
VIEW_UNREADABLE = register_event(
    621,
    'view.unreadable',
    'error',
    'An object under views/ holds no view; it is left alone.',
)

TOPIC = 'membership'

#: Pause between two reads of the own view by a VM that watches, in seconds.
POLL_S = 0.5

#: Age of the evidence from peers beyond which a VM reads for itself.
STALE_S = 1.5

#: Reads a second, over the whole fleet, of VMs that find no evidence.
FALLBACK_RATE = 100.0

#: Calls without answer beyond which no further one is made.
OUTSTANDING = 4

#: Pause between two looks at the views, in seconds.
ROUND_S = 0.15

#: Pause after a call that failed, in seconds.
RETRY_S = 0.5

#: How long a failure domain is without VMs before others stand in.
DELEGATE_S = 5.0

#: Pause between two looks at the platform's list, in seconds.
PLATFORM_S = 2.0


@part_of('agent')
class ViewService(Part):
    """Read, watch and write the views of failure domains."""

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.agent_state = agent_state_of(state)
        self._due = 0.0
        self._poll_due = 0.0
        self._platform_due = 0.0
        self._calls = StoreCalls(TOPIC)
        self._writing: dict[str, str] = {}
        self._turns: dict[str, ViewTurn] = {}
        self._vacant: dict[str, float] = {}
        self._listed = False
        self._listing = ''
        self._watch = ''
        self._gone = Gone()

    def next_wake(self) -> float | None:
        """Return the time of the next round."""
        return self._due

    def wake(self, now: float) -> Iterator[Action]:
        """Read what is due; write the views that need it."""
        self._due = now + ROUND_S
        watches = self.agent_state.watches_store()
        if now >= self._poll_due and len(self._calls) < OUTSTANDING:
            yield from self._poll(watches, now)
        yield from self._keep_watch(watches)
        if watches and now >= self._platform_due:
            self._platform_due = now + PLATFORM_S
            yield ListPlatform()
        if self._listed:
            yield from self._write_views(now)
        tuple(self.agent_state.succession.settle(now))

    @handles(StoreReply, TOPIC)
    def take_reply(self, event: StoreReply, now: float) -> Iterator[Action]:
        """Take what a call brought."""
        call = self._calls.finish(event.call)
        yield from self._adopt(event.objects, now)
        if event.call == self._listing:
            self._listing = ''
            self._listed = True
        if call is None:
            return
        written = self._writing.pop(event.call, None)
        if written is None:
            self._note_contact(call)
        elif event.status == 'ok':
            self.agent_state.freshness.record_store_read(written, call.sent)
            yield LogEvent(VIEW_WRITTEN, {'domain': written})

    @handles(StoreFailed, TOPIC)
    def take_failure(self, event: StoreFailed, now: float) -> Iterable[Action]:
        """Try again later."""
        self._calls.finish(event.call)
        domain = self._writing.pop(event.call, None)
        if domain is not None:
            self._turns[domain].again(now, RETRY_S)
        if event.call == self._listing:
            self._listing = ''
        if event.call == self._watch:
            self._watch = ''
        self._poll_due = now + RETRY_S * (1 + self.rng.random())
        return ()

    @handles(WatchEvent, TOPIC)
    def take_change(self, event: WatchEvent, now: float) -> Iterator[Action]:
        """Adopt views that changed."""
        yield from self._adopt(event.objects, now)

    @handles(WatchEnded, TOPIC)
    def end_watch(self, event: WatchEnded, now: float) -> Iterable[Action]:
        """Watch again."""
        if event.call == self._watch:
            self._watch = ''
        return ()

    @handles(PlatformList)
    def take_list(self, event: PlatformList, now: float) -> Iterable[Action]:
        """Note which VMs the platform no longer lists."""
        succession = self.agent_state.succession
        lists = [succession.former(domain) for domain in self.state.views]
        names = itertools.chain.from_iterable(
            itertools.chain.from_iterable(lists),
        )
        listed = {*event.live, *event.leaving}
        heard = {
            vm: heard.said for vm, heard in self.agent_state.pulses.items()
        }
        gone = self._gone.take(names, listed, heard, now)
        self.agent_state.succession.set_gone(gone)
        return ()

    def status(self, now: float) -> Mapping[str, Any]:
        """Return how old the knowledge of the own view is."""
        return {
            'watching': bool(self._watch),
            'waiting': len(self._calls),
            'vacant': sorted(self._vacant),
        }

    def _poll(self, watches: bool, now: float) -> Iterator[Action]:
        if not self._listed:
            if not self._listing:
                self._listing = self._calls.start('', now)
                yield StoreList(self._listing, VIEW_PREFIX)
            self._poll_due = now + POLL_S
            return
        stale = any(
            self.agent_state.freshness.store_read_age(name, now) > STALE_S
            for name in (CONFIG_HEAD, *self.agent_state.own_domains())
        )
        self._poll_due = now + self._pause(watches)
        if watches or stale:
            for domain in self.agent_state.own_domains():
                yield StoreGet(self._calls.start(domain, now), view_key(domain))

    def _pause(self, watches: bool) -> float:
        size = len(self.agent_state.roster.peers()) + 1
        return POLL_S if watches else max(POLL_S, size / FALLBACK_RATE)

    def _keep_watch(self, watches: bool) -> Iterator[Action]:
        if watches and self._listed and not self._watch:
            self._watch = self._calls.new_id()
            versions = self.state.view_versions().values()
            yield StoreWatch(
                self._watch,
                VIEW_PREFIX,
                max(versions, default=0),
            )
        elif self._watch and not watches:
            yield StoreUnwatch(self._watch)
            self._watch = ''

    def _adopt(
        self,
        objects: Iterable[StoreObject],
        now: float,
    ) -> Iterator[Action]:
        for obj in objects:
            if not obj.version or not obj.key.startswith(VIEW_PREFIX):
                continue
            try:
                view = decode_view(obj)
            except msgspec.MsgspecError:
                yield LogEvent(VIEW_UNREADABLE, {'key': obj.key})
                continue
            self.agent_state.adopt_views([view], now)

    def _write_views(self, now: float) -> Iterator[Action]:
        roster = self.agent_state.roster
        own = self.agent_state.domain
        yield from self._write(own, roster.present(own), now)
        present = roster.present()
        for domain in self._vacant_domains(present, now):
            yield from self._write(domain, delegates(domain, present), now)

    def _vacant_domains(
        self,
        present: list[Member],
        now: float,
    ) -> Iterator[str]:
        peopled = {member['domain'] for member in present}
        known = {*self.state.views, *self.state.config['domains']}
        vacant = known - peopled
        self._vacant = {
            domain: self._vacant.get(domain, now) for domain in vacant
        }
        return (
            domain
            for domain, since in self._vacant.items()
            if now >= since + DELEGATE_S
        )

    def _write(
        self,
        domain: str,
        members: list[Member],
        now: float,
    ) -> Iterator[Action]:
        view = self.state.views.get(domain)
        known = [] if view is None else view['members']
        desired = desired_members(members)
        differs = bool(desired) and not same_members(desired, known)
        if domain in self._writing.values():
            return
        turn = self._turns.setdefault(domain, ViewTurn(self.rng))
        rank = rank_of(self.state.uid.vm, members)
        if not turn.due(differs, rank, now):
            return
        turn.again(now, RETRY_S)
        call = self._calls.start(domain, now)
        self._writing[call] = domain
        former = self.agent_state.succession.former(domain)
        yield StorePut(
            call,
            view_key(domain),
            0 if view is None else view['version'],
            encode_view(domain, desired, former),
        )

    def _note_contact(self, call: PendingCall) -> None:
        read = (
            [call.subject] if call.subject else self.agent_state.own_domains()
        )
        for domain in read:
            self.agent_state.freshness.record_store_read(domain, call.sent)

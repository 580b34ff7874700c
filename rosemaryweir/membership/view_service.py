"""Reads, watches and writes the views in the store."""

import itertools
from collections.abc import Iterable, Iterator, Mapping
from random import Random
from typing import Any

import msgspec

from rosemaryweir.config.freshness import CONFIG_HEAD
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.relay_tree import rank_of
from rosemaryweir.membership.removed_vms import RemovedVms
from rosemaryweir.membership.store_calls import PendingCall, StoreCalls
from rosemaryweir.membership.views import (
    VIEW_PREFIX,
    ViewWriteTimer,
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
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import Member
from rosemaryweir.telemetry.log_events import register_event

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
    'An object under views/ could not be decoded as a view; it was ignored.',
)

TOPIC = 'membership'

#: Interval between two reads of the own view by a store watcher, in seconds.
POLL_INTERVAL_S = 0.5

#: Age of the store evidence beyond which any VM reads the store, in seconds.
STALE_AGE_S = 1.5

#: Reads per second, over the whole fleet, of VMs without fresh evidence.
MAX_FALLBACK_READS_PER_S = 100.0

#: Calls without a reply from which no further reads are sent.
MAX_PENDING_CALLS = 4

#: Interval between two checks of the views, in seconds.
ROUND_INTERVAL_S = 0.15

#: Shortest delay after a failed call, in seconds.
RETRY_DELAY_S = 0.5

#: Time without VMs after which delegates own a failure domain, in seconds.
DELEGATION_DELAY_S = 5.0

#: Interval between two requests of the platform's list of VMs, in seconds.
PLATFORM_LIST_INTERVAL_S = 2.0


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
        self._pending_writes: dict[str, str] = {}
        self._write_timers: dict[str, ViewWriteTimer] = {}
        self._vacant_since: dict[str, float] = {}
        self._views_listed = False
        self._list_call = ''
        self._watch_call = ''
        self._removed_vms = RemovedVms()

    def next_wake(self) -> float | None:
        """Return the time of the next round."""
        return self._due

    def wake(self, now: float) -> Iterator[Action]:
        """Read the store if due; write the views that are out of date."""
        self._due = now + ROUND_INTERVAL_S
        watches = self.agent_state.watches_store()
        if now >= self._poll_due and len(self._calls) < MAX_PENDING_CALLS:
            yield from self._poll(watches, now)
        yield from self._update_watch(watches)
        if watches and now >= self._platform_due:
            self._platform_due = now + PLATFORM_LIST_INTERVAL_S
            yield ListPlatform()
        if self._views_listed:
            yield from self._write_views(now)
        tuple(self.agent_state.succession.update_takeovers(now))

    @handles(StoreReply, TOPIC)
    def take_reply(self, event: StoreReply, now: float) -> Iterator[Action]:
        """Adopt the views of a reply and record what it proves."""
        call = self._calls.finish(event.call)
        yield from self._adopt(event.objects, now)
        if event.call == self._list_call:
            self._list_call = ''
            self._views_listed = True
        if call is None:
            return
        written = self._pending_writes.pop(event.call, None)
        if written is None:
            self._record_contact(call)
        elif event.status == 'ok':
            self.agent_state.freshness.record_store_read(written, call.sent)
            yield LogEvent(VIEW_WRITTEN, {'domain': written})

    @handles(StoreFailed, TOPIC)
    def take_failure(self, event: StoreFailed, now: float) -> Iterable[Action]:
        """Schedule another attempt."""
        self._calls.finish(event.call)
        domain = self._pending_writes.pop(event.call, None)
        if domain is not None:
            self._write_timers[domain].retry_after(now, RETRY_DELAY_S)
        if event.call == self._list_call:
            self._list_call = ''
        if event.call == self._watch_call:
            self._watch_call = ''
        self._poll_due = now + RETRY_DELAY_S * (1 + self.rng.random())
        return ()

    @handles(WatchEvent, TOPIC)
    def take_change(self, event: WatchEvent, now: float) -> Iterator[Action]:
        """Adopt views that changed."""
        yield from self._adopt(event.objects, now)

    @handles(WatchEnded, TOPIC)
    def end_watch(self, event: WatchEnded, now: float) -> Iterable[Action]:
        """Record the end of the watch; the next round starts another."""
        if event.call == self._watch_call:
            self._watch_call = ''
        return ()

    @handles(PlatformList)
    def take_list(self, event: PlatformList, now: float) -> Iterable[Action]:
        """Update which VMs the platform has removed for good."""
        succession = self.agent_state.succession
        lists = [
            succession.possible_member_lists(domain)
            for domain in self.state.views
        ]
        names = itertools.chain.from_iterable(
            itertools.chain.from_iterable(lists),
        )
        listed = {*event.live, *event.leaving}
        last_received = {
            vm: received.received_at
            for vm, received in self.agent_state.pulses.items()
        }
        removed = self._removed_vms.update(names, listed, last_received, now)
        self.agent_state.succession.set_removed_vms(removed)
        return ()

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the state of the watch, the calls and vacant domains."""
        return {
            'watching': bool(self._watch_call),
            'waiting': len(self._calls),
            'vacant': sorted(self._vacant_since),
        }

    def _poll(self, watches: bool, now: float) -> Iterator[Action]:
        if not self._views_listed:
            if not self._list_call:
                self._list_call = self._calls.start('', now)
                yield StoreList(self._list_call, VIEW_PREFIX)
            self._poll_due = now + POLL_INTERVAL_S
            return
        stale = any(
            self.agent_state.freshness.store_read_age(name, now) > STALE_AGE_S
            for name in (CONFIG_HEAD, *self.agent_state.own_domains())
        )
        self._poll_due = now + self._poll_interval(watches)
        if watches or stale:
            for domain in self.agent_state.own_domains():
                yield StoreGet(self._calls.start(domain, now), view_key(domain))

    def _poll_interval(self, watches: bool) -> float:
        size = len(self.agent_state.roster.peers()) + 1
        return (
            POLL_INTERVAL_S
            if watches
            else max(POLL_INTERVAL_S, size / MAX_FALLBACK_READS_PER_S)
        )

    def _update_watch(self, watches: bool) -> Iterator[Action]:
        if watches and self._views_listed and not self._watch_call:
            self._watch_call = self._calls.new_id()
            versions = self.state.view_versions().values()
            yield StoreWatch(
                self._watch_call,
                VIEW_PREFIX,
                max(versions, default=0),
            )
        elif self._watch_call and not watches:
            yield StoreUnwatch(self._watch_call)
            self._watch_call = ''

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
        self._vacant_since = {
            domain: self._vacant_since.get(domain, now) for domain in vacant
        }
        return (
            domain
            for domain, since in self._vacant_since.items()
            if now >= since + DELEGATION_DELAY_S
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
        if domain in self._pending_writes.values():
            return
        turn = self._write_timers.setdefault(domain, ViewWriteTimer(self.rng))
        rank = rank_of(self.state.uid.vm, members)
        if not turn.due(differs, rank, now):
            return
        turn.retry_after(now, RETRY_DELAY_S)
        call = self._calls.start(domain, now)
        self._pending_writes[call] = domain
        former = self.agent_state.succession.possible_member_lists(domain)
        yield StorePut(
            call,
            view_key(domain),
            0 if view is None else view['version'],
            encode_view(domain, desired, former),
        )

    def _record_contact(self, call: PendingCall) -> None:
        read = (
            [call.subject] if call.subject else self.agent_state.own_domains()
        )
        for domain in read:
            self.agent_state.freshness.record_store_read(domain, call.sent)

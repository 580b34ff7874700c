"""Simulates the platform's store in virtual time, with faults."""

import itertools
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from rosemaryweir.node.action import (
    ListPlatform,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
    StoreUnwatch,
    StoreWatch,
)
from rosemaryweir.node.event import (
    Event,
    PlatformList,
    StoreFailed,
    StoreObject,
    StoreReply,
    WatchEnded,
    WatchEvent,
)
from rosemaryweir.node.ports import StoreCall
from rosemaryweir.testing.scheduler import Scheduler

__all__ = ['FakeStore', 'Write']

Deliver = Callable[[Event], None]

#: Time until a call without a reply fails with result ``unknown``.
TIMEOUT_S = 1.0
#: Interval between messages on an idle watch.
BOOKMARK_INTERVAL_S = 0.5


class Write(NamedTuple):
    """A write that took effect: its time, client and resulting object."""

    when: float
    client: str
    obj: StoreObject


class OpenWatch(NamedTuple):
    """An open watch of a client on the keys with a prefix."""

    client: str
    call: str
    prefix: str
    deliver: Deliver


class FakeStore:
    """Simulates an object store with versions and watches.

    Parameters
    ----------
    scheduler : Scheduler
        Virtual time.
    rng : random.Random
        Random number generator.

    Attributes
    ----------
    down : bool
        Whether every call fails; set it with `set_down`.
    cut : set of str
        VMs that can't reach the store: their calls time out.
    latency : float
        Mean round-trip time of a call, in seconds.
    lose_replies : float
        Fraction of writes whose reply is lost after they took effect.
    lose_writes : float
        Fraction of writes that are lost before they take effect.
    stalled : bool
        Whether watches stay open but deliver nothing.
    history : list of Write
        All writes that took effect.
    calls : int
        Number of calls received; a watch counts once.
    live, leaving : tuple of str
        VMs that the platform lists as running, and as about to stop.
    objects : dict of str to StoreObject
        Objects by key.
    revision : int
        Version given to the last write.
    """

    def __init__(self, scheduler: Scheduler, rng: Random) -> None:
        self.scheduler = scheduler
        self.rng = rng
        self.down = False
        self.cut: set[str] = set()
        self.latency = 0.004
        self.lose_replies = 0.0
        self.lose_writes = 0.0
        self.stalled = False
        self.history: list[Write] = []
        self.calls = 0
        self.live: tuple[str, ...] = ()
        self.leaving: tuple[str, ...] = ()
        self.objects: dict[str, StoreObject] = {}
        self._revision = itertools.count(1)
        self.revision = 0
        self._watches: dict[tuple[str, str], OpenWatch] = {}

    def call(self, client: str, action: StoreCall, deliver: Deliver) -> None:
        """Start a call of process ``vm/role``; deliver its reply later."""
        self.calls += 1
        if isinstance(action, StoreUnwatch):
            self._watches.pop((client, action.call), None)
            return
        if self._unreachable(client):
            self._fail(action, deliver, TIMEOUT_S, 'unknown')
            return
        if self.down:
            self._fail(action, deliver, self.latency, 'unavailable')
            return
        delay = self.latency * self.rng.uniform(0.5, 1.5)
        self.scheduler.after(
            delay / 2, self._handle_call, client, action, deliver
        )

    def put(self, key: str, content: bytes) -> StoreObject:
        """Write an object unconditionally, as a client outside the VMs."""
        return self._write('outside', key, content)

    def set_down(self, down: bool) -> None:
        """Start or end an outage; its start ends all open watches."""
        self.down = down
        if down:
            watches = tuple(self._watches.values())
            self._watches.clear()
            for watch in watches:
                watch.deliver(WatchEnded(watch.call, 'unavailable'))

    def forget(self, client: str) -> None:
        """Remove the watches of a process that has ended."""
        self._watches = {
            key: watch
            for key, watch in self._watches.items()
            if key[0] != client
        }

    def _unreachable(self, client: str) -> bool:
        return client.partition('/')[0] in self.cut

    def _fail(
        self,
        action: StoreCall,
        deliver: Deliver,
        delay: float,
        reason: str,
    ) -> None:
        if isinstance(action, StoreWatch):
            event: Event = WatchEnded(action.call, reason)
        elif isinstance(action, (ListPlatform, StoreUnwatch)):
            return
        else:
            event = StoreFailed(action.call, reason)
        self.scheduler.after(delay, deliver, event)

    def _handle_call(
        self,
        client: str,
        action: StoreCall,
        deliver: Deliver,
    ) -> None:
        if self.down or self._unreachable(client):
            self._fail(action, deliver, TIMEOUT_S, 'unknown')
            return
        if isinstance(action, (StorePut, StoreDelete)):
            self._handle_write(client, action, deliver)
            return
        if isinstance(action, StoreWatch):
            self._open_watch(client, action, deliver)
            return
        self._reply(client, deliver, self._read(action))

    def _handle_write(
        self,
        client: str,
        action: StorePut | StoreDelete,
        deliver: Deliver,
    ) -> None:
        if self.rng.random() < self.lose_writes:
            self._fail(action, deliver, TIMEOUT_S, 'unknown')
            return
        event = self._try_write(client, action)
        if self.rng.random() < self.lose_replies:
            self._fail(action, deliver, TIMEOUT_S, 'unknown')
            return
        self._reply(client, deliver, event)

    def _reply(self, client: str, deliver: Deliver, event: Event) -> None:
        if not self._unreachable(client):
            self.scheduler.after(self.latency / 2, deliver, event)

    def _read(self, action: StoreCall) -> Event:
        if isinstance(action, ListPlatform):
            return PlatformList(self.live, self.leaving)
        if isinstance(action, StoreList):
            listed = tuple(
                self.objects[key]
                for key in sorted(self.objects)
                if key.startswith(action.prefix)
            )
            return StoreReply(action.call, 'ok', listed, self.revision)
        assert isinstance(action, StoreGet)
        found = self.objects.get(action.key)
        if found is None:
            return StoreReply(action.call, 'missing', (), self.revision)
        return StoreReply(action.call, 'ok', (found,), self.revision)

    def _try_write(
        self,
        client: str,
        action: StorePut | StoreDelete,
    ) -> StoreReply:
        absent = StoreObject(action.key, 0, b'')
        found = self.objects.get(action.key, absent)
        if found.version != action.expected:
            return StoreReply(action.call, 'conflict', (found,), self.revision)
        if isinstance(action, StorePut):
            written = self._write(client, action.key, action.content)
            return StoreReply(action.call, 'ok', (written,), self.revision)
        self.objects.pop(action.key, None)
        return StoreReply(action.call, 'ok', (), self.revision)

    def _write(self, client: str, key: str, content: bytes) -> StoreObject:
        self.revision = next(self._revision)
        written = StoreObject(key, self.revision, content)
        self.objects[key] = written
        self.history.append(Write(self.scheduler.now, client, written))
        if not self.stalled:
            self._notify(written)
        return written

    def _notify(self, written: StoreObject) -> None:
        for watch in tuple(self._watches.values()):
            if written.key.startswith(watch.prefix):
                event = WatchEvent(watch.call, (written,), self.revision)
                self._reply(watch.client, watch.deliver, event)

    def _open_watch(
        self,
        client: str,
        action: StoreWatch,
        deliver: Deliver,
    ) -> None:
        key = (client, action.call)
        watch = OpenWatch(client, action.call, action.prefix, deliver)
        self._watches[key] = watch
        missed = tuple(
            obj
            for obj in self.objects.values()
            if obj.key.startswith(action.prefix)
            and obj.version > action.revision
        )
        event = WatchEvent(action.call, missed, self.revision)
        self._reply(client, deliver, event)
        self.scheduler.after(BOOKMARK_INTERVAL_S, self._bookmark, key, watch)

    def _bookmark(self, key: tuple[str, str], watch: OpenWatch) -> None:
        if self._watches.get(key) is not watch:
            return
        if not self.stalled:
            event = WatchEvent(watch.call, (), self.revision)
            self._reply(watch.client, watch.deliver, event)
        self.scheduler.after(BOOKMARK_INTERVAL_S, self._bookmark, key, watch)

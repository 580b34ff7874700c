"""A fake of the platform's store, with faults on demand."""

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

TIMEOUT = 1.0
BOOKMARK_EVERY = 0.5


class Write(NamedTuple):
    """A write that took effect: when, by whom, and the object it left."""

    when: float
    client: str
    obj: StoreObject


class Watcher(NamedTuple):
    """A watch that waits for changes."""

    client: str
    call: str
    prefix: str
    deliver: Deliver


class FakeStore:
    """An object store with versions, conditional updates and watches.

    Parameters
    ----------
    scheduler : Scheduler
        Virtual time.
    rng : random.Random
        Source of chance.

    Attributes
    ----------
    down : bool
        Refuse every call; watches end.
    cut : set of str
        VMs that can't reach the store: their calls time out.
    latency : float
        Seconds that a call takes.
    lose_replies : float
        Share of writes whose reply is lost after they took effect.
    lose_writes : float
        Share of writes that are lost before they take effect, without reply.
    stalled : bool
        Watches deliver nothing, though they stay open.
    history : list of Write
        Every write that took effect.
    calls : int
        Calls so far, a waiting watch counted as one.
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
        self._watchers: dict[tuple[str, str], Watcher] = {}

    def call(self, client: str, action: StoreCall, deliver: Deliver) -> None:
        """Start a call of a process ``vm/role``; deliver its answer later."""
        self.calls += 1
        if isinstance(action, StoreUnwatch):
            self._watchers.pop((client, action.call), None)
            return
        if self._unreachable(client):
            self._fail(action, deliver, TIMEOUT, 'unknown')
            return
        if self.down:
            self._fail(action, deliver, self.latency, 'unavailable')
            return
        delay = self.latency * self.rng.uniform(0.5, 1.5)
        self.scheduler.after(delay / 2, self._arrive, client, action, deliver)

    def put(self, key: str, content: bytes) -> StoreObject:
        """Write an object from outside the system, unconditionally."""
        return self._write('outside', key, content)

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; open watches end with its beginning."""
        self.down = down
        if down:
            watchers = tuple(self._watchers.values())
            self._watchers.clear()
            for watcher in watchers:
                watcher.deliver(WatchEnded(watcher.call, 'unavailable'))

    def forget(self, client: str) -> None:
        """Drop the watches of a process that has ended."""
        self._watchers = {
            key: watcher
            for key, watcher in self._watchers.items()
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

    def _arrive(
        self,
        client: str,
        action: StoreCall,
        deliver: Deliver,
    ) -> None:
        if self.down or self._unreachable(client):
            self._fail(action, deliver, TIMEOUT, 'unknown')
            return
        if isinstance(action, (StorePut, StoreDelete)):
            self._arrive_write(client, action, deliver)
            return
        if isinstance(action, StoreWatch):
            self._open_watch(client, action, deliver)
            return
        self._reply(client, deliver, self._read(action))

    def _arrive_write(
        self,
        client: str,
        action: StorePut | StoreDelete,
        deliver: Deliver,
    ) -> None:
        if self.rng.random() < self.lose_writes:
            self._fail(action, deliver, TIMEOUT, 'unknown')
            return
        event = self._try_write(client, action)
        if self.rng.random() < self.lose_replies:
            self._fail(action, deliver, TIMEOUT, 'unknown')
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
        for watcher in tuple(self._watchers.values()):
            if written.key.startswith(watcher.prefix):
                event = WatchEvent(watcher.call, (written,), self.revision)
                self._reply(watcher.client, watcher.deliver, event)

    def _open_watch(
        self,
        client: str,
        action: StoreWatch,
        deliver: Deliver,
    ) -> None:
        key = (client, action.call)
        watcher = Watcher(client, action.call, action.prefix, deliver)
        self._watchers[key] = watcher
        missed = tuple(
            obj
            for obj in self.objects.values()
            if obj.key.startswith(action.prefix)
            and obj.version > action.revision
        )
        event = WatchEvent(action.call, missed, self.revision)
        self._reply(client, deliver, event)
        self.scheduler.after(BOOKMARK_EVERY, self._bookmark, key, watcher)

    def _bookmark(self, key: tuple[str, str], watcher: Watcher) -> None:
        if self._watchers.get(key) is not watcher:
            return
        if not self.stalled:
            event = WatchEvent(watcher.call, (), self.revision)
            self._reply(watcher.client, watcher.deliver, event)
        self.scheduler.after(BOOKMARK_EVERY, self._bookmark, key, watcher)

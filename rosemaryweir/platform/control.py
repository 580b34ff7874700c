"""What a VM knows, and from whom: the store, other VMs, or both."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from random import Random
from typing import Any

from rosemaryweir.catalog.relay import RelayPolicy
from rosemaryweir.catalog.table import ObjectVersion
from rosemaryweir.gateway.fleet import Fleet
from rosemaryweir.platform import events, words
from rosemaryweir.platform.belief import FOLLOWED, Belief
from rosemaryweir.platform.settings import VmSettings
from rosemaryweir.platform.store import (
    WATCH_MARGIN_S,
    WATCH_S,
    Follower,
    StoreError,
    delete_own,
    list_own,
    write_own,
)
from rosemaryweir.presence.heartbeats import (
    PeerTable,
    VmHeartbeat,
    VmState,
    find_abandoned,
)
from rosemaryweir.transport.gossip import (
    GossipPort,
    RelayServer,
    fetch_changes,
)

__all__ = ['Control', 'seed_addresses']

#: Time between tries to write the VM's own object, in seconds.
WRITE_PAUSE_S = 1.0
#: Time that a leaving VM has to remove its own object, in seconds.
REMOVE_S = 1.0
#: Time after its start at which a VM removes what those that are gone left in
#: the store, in seconds: longer than a restart, or most cuts, take.
SWEEP_S = 120.0
#: A VM counts as told by the store for so long after an answer, in seconds:
#: the length of a watch and some delay.
FOLLOWED_S = WATCH_S + WATCH_MARGIN_S
#: From this status on the store says that it can't answer.
SERVER_ERROR = 500

Write = Callable[[int, Mapping[str, Any]], None]


class Control:
    """Store, heartbeats and relay of one VM.

    Parameters
    ----------
    settings : VmSettings
        Checked settings.
    incarnation : int
        Wall-clock time of the process's start in ms.
    write : callable
        Takes log events by number.
    on_news : callable
        Called when what is believed has changed.
    target_registry : Fleet
        Targets: VMs tell each other which are slow.
    rng : random.Random
        Source of chance.
    """

    def __init__(
        self,
        settings: VmSettings,
        incarnation: int,
        write: Write,
        on_news: Callable[[], None],
        target_registry: TargetRegistry,
        rng: Random,
    ) -> None:
        self.belief = Belief(self._learnt)
        self.tasks: set[asyncio.Task[None]] = set()
        own = VmState(
            settings.name,
            settings.domain,
            f'{settings.ip}:{settings.first_port}',
            settings.front,
            incarnation,
            counter=0,
            ready=False,
            leaving=False,
            load=float(0),
            capacity=settings.capacity,
        )
        self.members = PeerTable(own, rng)
        self.members.add_candidates(seed_addresses(settings))
        self._settings = settings
        self._rng = rng
        self._write = write
        self._slow = target_registry.slow_targets
        self._advise = target_registry.apply_peer_slowness
        self._on_news = on_news
        self._relay_policy = RelayPolicy()
        self._gossip = GossipPort(self.hear)
        self._relay = RelayServer(self.belief.relay)
        self._lost: set[str] = set()
        #: When the store last answered, by kind, while this VM follows it.
        self._answered: dict[str, float] = {}
        self._last_beat = (False, False, float(0))

    async def start(self) -> None:
        """Listen to other VMs and follow the store."""
        address = self.members.own.address
        await self._gossip.start(address)
        await self._relay.http.start(address)
        for kind in FOLLOWED:
            self.spawn(Follower(self._settings.store, kind, self).run())
        self.spawn(self._register())

    async def leave(self) -> None:
        """Remove the VM's own object."""
        store = self._settings.store
        try:
            async with asyncio.timeout(REMOVE_S):
                await delete_own(store, words.VMS_KIND, self._settings.name)
        except (StoreError, TimeoutError) as exc:
            self._own_object_failed(exc)

    async def stop(self) -> None:
        """Close what is open."""
        for task in tuple(self.tasks):
            task.cancel()
        await self._relay.http.stop()
        self._gossip.close()

    def beat(self, ready: bool, leaving: bool, load: float) -> None:
        """Send a heartbeat."""
        self._last_beat = (ready, leaving, load)
        now = _now()
        beat, addresses = self.members.next_heartbeat(
            ready,
            leaving,
            load,
            self._follows(now),
            self.belief.newest(),
            self._slow(now),
            now,
        )
        self._gossip.send(beat, addresses)

    def hear(self, beat: VmHeartbeat) -> None:
        """Take a heartbeat of another VM."""
        now = _now()
        followed = self.members.receive(beat, now)
        self._advise(beat.slow_targets, now)
        if words.TARGETS_KIND in followed:
            # The store answers others: what they tell of it is as good as
            # its own word, also for a VM that makes no calls to it.
            self.belief.outage_grace.store_answered(now)
        for kind in FOLLOWED:
            known = self.belief.known_up_to(kind)
            newest = beat.newest_revisions.get(kind, 0)
            following = kind in self.members.own.watched_kinds
            if self._relay_policy.should_request(
                kind, known, newest, now, following
            ):
                self.spawn(self._catch_up(beat.sender.address, kind, known))

    def expire(self) -> None:
        """Give up targets whose entries did not come back."""
        if self.belief.expire(_now()):
            self._on_news()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a task until the end of the process."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def listed(
        self, kind: str, objects: list[ObjectVersion], revision: int
    ) -> None:
        """Take all objects of a kind from the store."""
        self._regained(kind)
        if self.belief.listed(kind, objects, revision, _now()):
            self._on_news()
            self.beat(*self._last_beat)

    def changed(
        self, kind: str, changes: list[ObjectVersion], revision: int
    ) -> None:
        """Take changes of a kind from the store."""
        self._regained(kind)
        if self.belief.changed(kind, changes, revision, _now()):
            self._on_news()
            # Those that don't follow hear of it at once.
            self.beat(*self._last_beat)

    def store_failed(self, kind: str, exc: StoreError) -> None:
        """Take that a call to the store failed."""
        self._answered.pop(kind, None)
        if not exc.status or exc.status >= SERVER_ERROR:
            self.belief.outage_grace.store_failed(_now())
        if kind not in self._lost:
            self._lost.add(kind)
            fields = {'kind': kind, 'status': exc.status, 'why': str(exc)}
            self._write(events.STORE_LOST, fields)

    def known_up_to(self, kind: str) -> int:
        """Return the revision up to which all of a kind is known."""
        return self.belief.known_up_to(kind)

    def should_watch(self, kind: str) -> bool:
        """Return whether this VM is to watch a kind itself."""
        return self.members.should_watch(kind, _now())

    async def _register(self) -> None:
        """Write the VM's own object, and find the others by theirs."""
        while True:
            try:
                found = await self._find_others()
            except StoreError as exc:
                self._own_object_failed(exc)
                await asyncio.sleep(WRITE_PAUSE_S)
                continue
            self.members.add_candidates(
                str(change.content['address'])
                for change in found
                if 'address' in change.content
            )
            self.spawn(self._sweep())
            return

    async def _sweep(self) -> None:
        """Remove objects of VMs that are gone, and never said so.

        Each VM looks at the names behind its own, the last one at the first:
        a list tells at most a page of them.
        """
        await asyncio.sleep(SWEEP_S * (1 + self._rng.random()))
        store, kind = self._settings.store, words.VMS_KIND
        try:
            found = await list_own(store, kind, self._settings.name)
            found = found or await list_own(store, kind)
            await self._remove_abandoned(found)
        except StoreError as exc:
            self._own_object_failed(exc)

    async def _remove_abandoned(self, found: list[ObjectVersion]) -> None:
        known = (vm.name for vm in self.members.possibly_alive(_now()))
        gone = find_abandoned((change.name for change in found), known)
        for change in found:
            if change.name in gone:
                # One after the other: the store bears few writes at once.
                await delete_own(  # noqa: WPS476
                    self._settings.store,
                    words.VMS_KIND,
                    change.name,
                    change.revision,
                )
                fields = {'vm': change.name, 'revision': change.revision}
                self._write(events.VM_REMOVED, fields)

    async def _find_others(self) -> list[ObjectVersion]:
        store = self._settings.store
        spec = {'address': self.members.own.address}
        await write_own(store, words.VMS_KIND, self._settings.name, spec)
        return await list_own(store, words.VMS_KIND)

    def _own_object_failed(self, exc: Exception) -> None:
        fields = {'kind': words.VMS_KIND, 'why': repr(exc)}
        self._write(events.STORE_LOST, fields)

    async def _catch_up(self, address: str, kind: str, known: int) -> None:
        fields: dict[str, Any] = {
            'kind': kind,
            'from': address,
            'since': known,
        }
        try:
            answer = await fetch_changes(address, kind, known)
        except (OSError, ValueError) as exc:
            self._write(events.RELAYED, {**fields, 'why': repr(exc)})
            return
        news = self.belief.relayed(kind, answer, _now())
        outcome = {'up_to': answer.complete_revision, 'news': news}
        self._write(events.RELAYED, {**fields, **outcome})
        if news:
            self._on_news()

    def _learnt(self, name: str, fields: Mapping[str, Any]) -> None:
        self._write(events.LEARNT[name], fields)

    def _follows(self, now: float) -> tuple[str, ...]:
        return tuple(
            kind
            for kind, answered in self._answered.items()
            if now - answered < FOLLOWED_S
            and self.members.should_watch(kind, now)
        )

    def _regained(self, kind: str) -> None:
        self._answered[kind] = _now()
        if kind in self._lost:
            self._lost.discard(kind)
            self._write(events.STORE_REGAINED, {'kind': kind})


def seed_addresses(settings: VmSettings) -> list[str]:
    """Return where the VMs that are listed as seeds hear heartbeats."""
    hosts = (seed.rpartition(':')[0] for seed in settings.seeds)
    return [f'{host}:{settings.first_port}' for host in hosts if host]


def _now() -> float:
    return asyncio.get_running_loop().time()

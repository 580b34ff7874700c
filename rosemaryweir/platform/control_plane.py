"""Keep a VM's knowledge up to date from the store and from other VMs."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine, Mapping
from functools import partial
from random import Random
from typing import Any

import msgspec

from rosemaryweir.catalog.relay import RelayPolicy, announced_revision
from rosemaryweir.catalog.table import ObjectVersion
from rosemaryweir.gateway.target_registry import TargetRegistry
from rosemaryweir.platform import events, protocol
from rosemaryweir.platform.settings import VmSettings
from rosemaryweir.platform.store_cache import WATCHED_KINDS, StoreCache
from rosemaryweir.platform.store_client import (
    WATCH_TIMEOUT_MARGIN_S,
    WATCH_WAIT_S,
    StoreError,
    StoreWatcher,
    delete_object,
    list_objects,
    write_object,
)
from rosemaryweir.platform.supervision import run_supervised
from rosemaryweir.presence.heartbeats import (
    PeerTable,
    VmHeartbeat,
    VmState,
    find_abandoned,
)
from rosemaryweir.telemetry.traffic import TrafficMeter
from rosemaryweir.transport.gossip import (
    GossipPort,
    RelayServer,
    fetch_changes,
    fetch_states,
)

__all__ = ['ControlPlane', 'seed_addresses']

#: Pause between attempts to write the VM's own object, in seconds.
REGISTER_RETRY_S = 1.0
#: Least time between two checks of a VM for objects of VMs that are gone, in
#: seconds: longer than a restart or most network partitions take.
STALE_VM_SWEEP_DELAY_S = 120.0
#: Time after an answer of the store for which its watch counts as working, in
#: seconds: the length of a watch and a margin.
WATCH_VALID_S = WATCH_WAIT_S + WATCH_TIMEOUT_MARGIN_S
#: From this HTTP status on, an error means that the store can't answer.
FIRST_SERVER_ERROR = 500

WriteEvent = Callable[[int, Mapping[str, Any]], None]


class ControlPlane:
    """Store watches, heartbeats and relay of one VM.

    Parameters
    ----------
    settings : VmSettings
        Validated settings.
    incarnation : int
        Wall-clock time of the process's start in ms.
    write : callable
        Called with the number and the fields of each log event.
    on_change : callable
        Called after the store cache has changed.
    target_registry : TargetRegistry
        Targets; VMs tell each other which of them are slow.
    rng : random.Random
        Source of random numbers.
    traffic : TrafficMeter
        Counts the bytes exchanged with other VMs and the store.
    """

    def __init__(
        self,
        settings: VmSettings,
        incarnation: int,
        write: WriteEvent,
        on_change: Callable[[], None],
        target_registry: TargetRegistry,
        rng: Random,
        traffic: TrafficMeter,
    ) -> None:
        self.store_cache = StoreCache(self._log_cache_event)
        self.tasks: set[asyncio.Task[None]] = set()
        own = VmState(
            settings.name,
            settings.domain,
            f'{settings.ip}:{settings.first_internal_port}',
            settings.front_address,
            incarnation,
            counter=0,
            ready=False,
            leaving=False,
            load=float(0),
            capacity=settings.capacity,
        )
        self.peers = PeerTable(own, rng)
        self.peers.add_candidates(seed_addresses(settings))
        self._settings = settings
        self._rng = rng
        self._write = write
        self._traffic = traffic
        self._count_store_bytes = partial(traffic.record, 'store', '')
        self._slow = target_registry.slow_targets
        self._advise = target_registry.apply_peer_slowness
        self._on_change = on_change
        self._relay_policy = RelayPolicy()
        self._gossip_port = GossipPort(
            self.receive_heartbeat,
            partial(self._count_bytes, 'heartbeats'),
            self._log_malformed_heartbeat,
        )
        self._relay_server = RelayServer(
            self.store_cache.answer_relay,
            lambda: self.peers.known_states(_now()),
        )
        self._lost_kinds: set[str] = set()
        #: Time of the store's last answer, by kind that this VM watches.
        self._answered_at: dict[str, float] = {}
        self._last_heartbeat = (False, False, float(0))

    async def start(self) -> None:
        """Start to exchange heartbeats and to follow the store."""
        address = self.peers.own.address
        await self._gossip_port.start(address)
        await self._relay_server.http.start(address)
        for kind in WATCHED_KINDS:
            watcher = StoreWatcher(
                self._settings.store_address,
                kind,
                self,
                self._count_store_bytes,
            )
            self.spawn_supervised(watcher.run)
        self.spawn_supervised(self._register)

    async def stop(self) -> None:
        """Stop all tasks and close all sockets."""
        for task in tuple(self.tasks):
            task.cancel()
        await self._relay_server.http.stop()
        self._gossip_port.close()

    def send_heartbeat(self, ready: bool, leaving: bool, load: float) -> None:
        """Send a heartbeat to some of the other VMs."""
        self._last_heartbeat = (ready, leaving, load)
        now = _now()
        heartbeat, addresses = self.peers.next_heartbeat(
            ready,
            leaving,
            load,
            self._watched_kinds(now),
            self.store_cache.newest_revisions(),
            self._slow(now),
            now,
        )
        if not leaving:
            heartbeat = msgspec.structs.replace(
                heartbeat, tables=self.store_cache.summaries()
            )
        self._gossip_port.send(heartbeat, addresses)
        remote, remote_addresses = self.peers.remote_heartbeat(heartbeat, now)
        if remote_addresses:
            self._gossip_port.send(remote, remote_addresses)

    def receive_heartbeat(self, heartbeat: VmHeartbeat) -> None:
        """Process a heartbeat of another VM."""
        now = _now()
        watched = self.peers.receive(heartbeat, now)
        if self.peers.should_request_states(heartbeat, now):
            self.spawn(self._fetch_states(heartbeat.sender.address))
        self._advise(heartbeat.slow_targets, now)
        if protocol.TARGETS_KIND in watched:
            # The store answers a watcher.  That ends an outage also for a VM
            # that makes no calls to the store itself.
            self.store_cache.outage_grace.store_answered(now)
        for kind, own_table in self.store_cache.summaries().items():
            own_revision = own_table.complete_revision
            peer_revision = announced_revision(
                heartbeat.newest_revisions.get(kind, 0),
                own_table,
                heartbeat.tables.get(kind),
            )
            watching = kind in self.peers.own.watched_kinds
            if self._relay_policy.should_request(
                kind, own_revision, peer_revision, now, watching
            ):
                self.spawn(
                    self._fetch_changes(
                        heartbeat.sender.address,
                        kind,
                        own_revision,
                    ),
                )

    def remove_expired_targets(self) -> None:
        """Remove targets whose grace period is over."""
        if self.store_cache.remove_expired_targets(_now()):
            self._on_change()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that `stop` cancels."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def spawn_supervised(
        self, start: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a coroutine as a task; start it again if it fails."""
        self.spawn(
            run_supervised(start, lambda exc: self.log_error(start, exc))
        )

    def log_error(self, source: object, exc: BaseException) -> None:
        """Log an unexpected error and the function where it occurred."""
        name = getattr(source, '__qualname__', str(source))
        frames = traceback.extract_tb(exc.__traceback__)
        places = [f'{frame.name}:{frame.lineno}' for frame in frames[-3:]]
        fields = {'source': name, 'error': repr(exc), 'at': places}
        self._write(events.UNEXPECTED_ERROR, fields)

    def merge_list(
        self, kind: str, objects: list[ObjectVersion], revision: int
    ) -> None:
        """Merge a list of all objects of a kind from the store."""
        self._record_answer(kind)
        if self.store_cache.merge_list(kind, objects, revision, _now()):
            self._on_change()
            self.send_heartbeat(*self._last_heartbeat)

    def merge_changes(
        self, kind: str, changes: list[ObjectVersion], revision: int
    ) -> None:
        """Merge changes of a kind from the store."""
        self._record_answer(kind)
        if self.store_cache.merge_changes(kind, changes, revision, _now()):
            self._on_change()
            # Announces the new revision at once to VMs that don't watch.
            self.send_heartbeat(*self._last_heartbeat)

    def store_failed(self, kind: str, exc: StoreError) -> None:
        """Record that a call to the store failed."""
        self._answered_at.pop(kind, None)
        if not exc.status or exc.status >= FIRST_SERVER_ERROR:
            self.store_cache.outage_grace.store_failed(_now())
        if kind not in self._lost_kinds:
            self._lost_kinds.add(kind)
            fields = {'kind': kind, 'status': exc.status, 'why': str(exc)}
            self._write(events.STORE_LOST, fields)

    def objects_skipped(self, kind: str, count: int) -> None:
        """Log objects of the store whose names could not be read."""
        fields = {'input': kind, 'from': 'store', 'objects': count}
        self._write(events.MALFORMED_INPUT, fields)

    def complete_revision(self, kind: str) -> int:
        """Return the revision up to which every change of a kind is known."""
        return self.store_cache.complete_revision(kind)

    def should_watch(self, kind: str) -> bool:
        """Return whether this VM is to watch a kind itself."""
        return self.peers.should_watch(kind, _now())

    async def _register(self) -> None:
        """Write the VM's own object; learn other VMs' addresses from theirs."""
        while True:
            try:
                found = await self._register_and_list()
            except StoreError as exc:
                self._log_registration_failure(exc)
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            for change in found:
                self._add_registered(change)
            self.spawn_supervised(self._remove_stale_vms)
            return

    def _add_registered(self, registered: ObjectVersion) -> None:
        content = registered.content
        if isinstance(content, Mapping) and 'address' in content:
            self.peers.add_candidates(
                (str(content['address']),), str(content.get('domain', ''))
            )

    async def _remove_stale_vms(self) -> None:
        """Remove objects of VMs that are gone without having removed them.

        A list returns at most one page, so that each VM checks the names that
        follow its own; the last VM checks the first names.
        """
        store, kind = self._settings.store_address, protocol.VMS_KIND
        while True:
            pause = STALE_VM_SWEEP_DELAY_S * (1 + self._rng.random())
            await asyncio.sleep(pause)
            try:
                found = await list_objects(store, kind, self._settings.name)
                found = found or await list_objects(store, kind)
                await self._remove_abandoned(found)
            except StoreError as exc:
                self._log_registration_failure(exc)

    async def _remove_abandoned(self, found: list[ObjectVersion]) -> None:
        alive = (vm.name for vm in self.peers.possibly_alive(_now()))
        gone = find_abandoned((change.name for change in found), alive)
        for change in found:
            if change.name in gone:
                # One at a time: the store takes few concurrent writes.
                await delete_object(  # noqa: WPS476
                    self._settings.store_address,
                    protocol.VMS_KIND,
                    change.name,
                    change.revision,
                )
                fields = {'vm': change.name, 'revision': change.revision}
                self._write(events.VM_REMOVED, fields)

    async def _register_and_list(self) -> list[ObjectVersion]:
        """Return all registered VMs; write the own object unless it is there.

        The list may be stale, so that it costs a tenth of the write that it
        saves a VM that has restarted.
        """
        store, name = self._settings.store_address, self._settings.name
        kind, count = protocol.VMS_KIND, self._count_store_bytes
        own = self.peers.own
        spec = {'address': own.address, 'domain': own.domain}
        found = await list_objects(store, kind, on_bytes=count)
        registered = {change.name: change.content for change in found}
        if registered.get(name) != spec:
            await write_object(store, kind, name, spec, count)
        return found

    def _log_registration_failure(self, exc: Exception) -> None:
        fields = {'kind': protocol.VMS_KIND, 'why': repr(exc)}
        self._write(events.STORE_LOST, fields)

    async def _fetch_changes(
        self,
        address: str,
        kind: str,
        revision: int,
    ) -> None:
        fields: dict[str, Any] = {
            'kind': kind,
            'from': address,
            'since': revision,
        }
        try:
            answer = await fetch_changes(
                address,
                kind,
                revision,
                partial(self._count_bytes, f'relay_{kind}', address),
            )
        except (OSError, ValueError) as exc:
            self._write(events.RELAYED, {**fields, 'why': repr(exc)})
            return
        changed = self.store_cache.merge_relayed(kind, answer, _now())
        outcome = {'up_to': answer.complete_revision, 'news': changed}
        self._write(events.RELAYED, {**fields, **outcome})
        if changed:
            self._on_change()

    def _count_bytes(self, purpose: str, address: str, size: int) -> None:
        self._traffic.record(purpose, self.peers.domain_of(address), size)

    async def _fetch_states(self, address: str) -> None:
        count = partial(self._count_bytes, 'states', address)
        try:
            found = await fetch_states(address, count)
        except (OSError, ValueError) as exc:
            fields = {'kind': 'vms', 'from': address, 'why': repr(exc)}
            self._write(events.RELAYED, fields)
            return
        self.peers.merge_all_states(found, _now())

    def _log_malformed_heartbeat(self, source: str, size: int) -> None:
        fields = {'input': 'heartbeat', 'from': source, 'bytes': size}
        self._write(events.MALFORMED_INPUT, fields)

    def _log_cache_event(self, name: str, fields: Mapping[str, Any]) -> None:
        self._write(events.CACHE_EVENTS[name], fields)

    def _watched_kinds(self, now: float) -> tuple[str, ...]:
        return tuple(
            kind
            for kind, answered in self._answered_at.items()
            if now - answered < WATCH_VALID_S
            and self.peers.should_watch(kind, now)
        )

    def _record_answer(self, kind: str) -> None:
        self._answered_at[kind] = _now()
        if kind in self._lost_kinds:
            self._lost_kinds.discard(kind)
            self._write(events.STORE_REGAINED, {'kind': kind})


def seed_addresses(settings: VmSettings) -> list[str]:
    """Return the heartbeat addresses of the VMs listed as seeds."""
    hosts = (seed.rpartition(':')[0] for seed in settings.seeds)
    return [f'{host}:{settings.first_internal_port}' for host in hosts if host]


def _now() -> float:
    return asyncio.get_running_loop().time()

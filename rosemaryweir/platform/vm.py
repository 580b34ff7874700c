"""The process of a VM on the platform: gateway, directory, control."""

import asyncio
import os
import signal
import time
from collections.abc import Mapping
from random import Random
from typing import Any

from rosemaryweir.catalog.relay import Behind, RelayAnswer
from rosemaryweir.catalog.table import Change
from rosemaryweir.daemons.clock import SystemClock
from rosemaryweir.daemons.logs import EventLog
from rosemaryweir.exception import InvalidInput
from rosemaryweir.gateway.action import (
    Action,
    Answer,
    Ask,
    CloseConnection,
    Note,
    OpenConnection,
    SendAttempt,
    TargetReply,
)
from rosemaryweir.gateway.gateway import Gateway
from rosemaryweir.gateway.spending import SpendingRule
from rosemaryweir.node.state import NodeUid
from rosemaryweir.platform import events, words
from rosemaryweir.platform.belief import FOLLOWED, Belief
from rosemaryweir.platform.callers import (
    CallerFront,
    Directory,
    ready_handler,
)
from rosemaryweir.platform.settings import VmSettings, read_settings
from rosemaryweir.platform.store import (
    Follower,
    StoreError,
    delete_own,
    list_own,
    write_own,
)
from rosemaryweir.platform.targets import TargetLinks
from rosemaryweir.presence.directory import caller_addresses
from rosemaryweir.presence.members import BEAT_S, Beat, Members, PeerNews
from rosemaryweir.telemetry.bounded import BoundedLog
from rosemaryweir.telemetry.exposition import exposition
from rosemaryweir.transport.gossip import (
    GossipPort,
    RelayServer,
    fetch_changes,
)
from rosemaryweir.transport.http_server import HttpServer
from rosemaryweir.transport.limits import HttpLimits

__all__ = ['Vm']

#: Time that callers keep a directory answer, in seconds.
TTL_S = 2.5
#: Time after SIGTERM for which callers with an old answer may still come, s.
LINGER_S = TTL_S + 0.3
#: Time before SIGKILL at which the process ends by itself, in seconds.
GRACE_MARGIN_S = 0.5
#: Time between tries to write the VM's own object, in seconds.
WRITE_PAUSE_S = 1.0
#: Largest body of a caller before a configuration sets the limit, in bytes.
FIRST_BODY_BYTES = 256 * 1024
HTTP_OK = 200
TEXT = 'text/plain; version=0.0.4'


class Vm:
    """All that runs on one VM.

    Parameters
    ----------
    settings : VmSettings
        Checked settings.
    path : str
        Where they stand, to be read again.
    metrics_port : int
        Port of the metrics page; 0 for none.
    """

    def __init__(
        self,
        settings: VmSettings,
        path: str,
        metrics_port: int,
    ) -> None:
        self.settings = settings
        self._path = path
        self._metrics_port = metrics_port
        # Chance only spreads load here; no secret hangs on it.
        rng = Random()  # noqa: S311
        incarnation = SystemClock().incarnation()
        uid = NodeUid(settings.name, 'vm', incarnation)
        self._log = BoundedLog(EventLog(uid))
        self.belief = Belief(self._learnt)
        rule = SpendingRule(
            settings.extra_ratio,
            settings.extra_slack,
            settings.extra_window,
        )
        self.gateway = Gateway(settings.domain, rule, rng)
        peer_address = f'{settings.ip}:{settings.first_port}'
        own = PeerNews(
            settings.name,
            settings.domain,
            peer_address,
            settings.front,
            incarnation,
            beat=0,
            ready=False,
            leaving=False,
            load=float(0),
        )
        self.members = Members(own, rng)
        self.members.lead(_seed_addresses(settings))
        self._behind = Behind()
        self._gossip = GossipPort(self._heard)
        self._relay = RelayServer(self.belief.relay)
        limits = HttpLimits(body_bytes=FIRST_BODY_BYTES)
        self._front = CallerFront(self._ask, self._left, limits)
        self._directory = Directory(
            self._addresses,
            min(TTL_S, settings.ttl_most),
        )
        self._ready = HttpServer(ready_handler(lambda: self.serving))
        self._metrics = HttpServer(self._expose)
        self._links = TargetLinks(self._opened, self._replied, self._broken)
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._wakes_at = float('inf')
        self._leaving = False
        self._lost: set[str] = set()
        self._stopped: asyncio.Event = asyncio.Event()
        self._used = time.process_time()
        self._load = float(0)

    @property
    def serving(self) -> bool:
        """Whether callers may be sent here."""
        return self.belief.known and not self._leaving

    async def run(self) -> None:
        """Serve until told to end."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.shutdown)
        loop.add_signal_handler(signal.SIGINT, self.shutdown)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._listen()
        self._write(events.STARTED, {'ip': self.settings.ip}, always=True)
        for kind in FOLLOWED:
            follower = Follower(self.settings.store, kind, self)
            self._spawn(follower.run())
        self._spawn(self._register())
        self._spawn(self._beat())
        await self._stopped.wait()
        await self._close()

    def shutdown(self) -> None:
        """Leave the directory, answer what comes, then end."""
        if self._leaving:
            return
        self._leaving = True
        self._write(
            events.STOPPING,
            {'open': len(self._front)},
            always=True,
        )
        self._front.http.closing = True
        self._send_beat()
        self._spawn(self._leave())

    def reload(self) -> None:
        """Read the settings again."""
        try:
            found = read_settings(self._path)
        except InvalidInput as exc:
            fields = {'findings': str(exc), 'outcome': 'kept'}
            self._write(events.RELOADED, fields, always=True)
            return
        self.settings = found
        rule = self.gateway.rule
        rule.ratio = found.extra_ratio
        rule.slack = found.extra_slack
        rule.window = found.extra_window
        self.members.lead(_seed_addresses(found))
        self._write(events.RELOADED, {'outcome': 'taken'}, always=True)

    def listed(self, kind: str, objects: list[Change], revision: int) -> None:
        """Take all objects of a kind from the store."""
        self._regained(kind)
        now = self._now()
        self._apply(self.belief.listed(kind, objects, revision, now))

    def changed(self, kind: str, changes: list[Change], revision: int) -> None:
        """Take changes of a kind from the store."""
        self._regained(kind)
        now = self._now()
        self._apply(self.belief.changed(kind, changes, revision, now))

    def store_failed(self, kind: str, exc: StoreError) -> None:
        """Take that a call to the store failed."""
        if not exc.status or exc.status >= 500:
            self.belief.lapses.failed(self._now())
        if kind not in self._lost:
            self._lost.add(kind)
            fields = {'kind': kind, 'status': exc.status, 'why': str(exc)}
            self._write(events.STORE_LOST, fields)

    def known_up_to(self, kind: str) -> int:
        """Return the revision up to which all of a kind is known."""
        return self.belief.known_up_to(kind)

    async def _listen(self) -> None:
        settings = self.settings
        peer_address = self.members.own.address
        await self._gossip.start(peer_address)
        await self._relay.http.start(peer_address)
        await self._directory.http.start(settings.directory)
        await self._ready.start(settings.ready)
        await self._front.http.start(settings.front)
        if self._metrics_port:
            address = f'{settings.ip}:{self._metrics_port}'
            await self._metrics.start(address)

    async def _register(self) -> None:
        """Write the VM's own object, and find the others by theirs."""
        store = self.settings.store
        spec = {'address': self.members.own.address}
        while not self._leaving:
            try:
                await write_own(store, words.VMS_KIND, self.settings.name, spec)
                found = await list_own(store, words.VMS_KIND)
            except StoreError as exc:
                fields = {'kind': words.VMS_KIND, 'why': str(exc)}
                self._write(events.STORE_LOST, fields)
                await asyncio.sleep(WRITE_PAUSE_S)
                continue
            self.members.lead(
                str(change.content['address'])
                for change in found
                if isinstance(change.content, dict)
                and 'address' in change.content
            )
            return

    async def _leave(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        last = began + self.settings.grace - GRACE_MARGIN_S
        try:
            async with asyncio.timeout(LINGER_S):
                await delete_own(
                    self.settings.store,
                    words.VMS_KIND,
                    self.settings.name,
                )
        except (StoreError, TimeoutError) as exc:
            fields = {'kind': words.VMS_KIND, 'why': str(exc)}
            self._write(events.STORE_LOST, fields)
        await asyncio.sleep(max(0, began + LINGER_S - loop.time()))
        self._front.http.stop_listening()
        self._front.http.close_idle()
        while len(self._front) and loop.time() < last:
            await asyncio.sleep(0.02)
        self._stopped.set()

    async def _close(self) -> None:
        cut = len(self._front)
        self._write(events.STOPPED, {'open': cut}, always=True)
        for task in tuple(self._tasks):
            task.cancel()
        for server in (self._front.http, self._directory.http, self._ready):
            await server.stop()
        # Lets the last bytes leave before the process does.
        await asyncio.sleep(0.05)
        self._gossip.close()

    async def _beat(self) -> None:
        while True:
            self._send_beat()
            await asyncio.sleep(BEAT_S)
            self._measure()
            if self.belief.expire(self._now()):
                self._apply(news=True)

    def _send_beat(self) -> None:
        beat, addresses = self.members.beat(
            self.serving,
            self._leaving,
            self._load,
            self.belief.newest(),
            self._now(),
        )
        vms = len(self.members.alive(self._now()))
        self.gateway.sender.vms = vms
        self.gateway.rule.vms = vms
        self._gossip.send(beat, addresses)

    def _measure(self) -> None:
        used = time.process_time()
        self._load += ((used - self._used) / BEAT_S - self._load) / 2
        self._used = used

    def _heard(self, beat: Beat) -> None:
        now = self._now()
        self.members.hear(beat, now)
        for kind, newest in beat.newest.items():
            if kind not in FOLLOWED:
                continue
            known = self.belief.known_up_to(kind)
            if self._behind.ask(kind, known, newest, now):
                self._spawn(self._catch_up(beat.sender.address, kind, known))

    async def _catch_up(self, address: str, kind: str, known: int) -> None:
        try:
            answer: RelayAnswer = await fetch_changes(address, kind, known)
        except (OSError, ValueError) as exc:
            fields = {'kind': kind, 'from': address, 'why': str(exc)}
            self._write(events.RELAYED, fields)
            return
        news = self.belief.relayed(kind, answer, self._now())
        fields = {
            'kind': kind,
            'from': address,
            'since': known,
            'up_to': answer.complete,
            'news': news,
        }
        self._write(events.RELAYED, fields)
        self._apply(news)

    def _apply(self, news: bool) -> None:
        """Put what is believed in force."""
        if not news:
            return
        config = self.belief.config
        if config is not None and config is not self.gateway.config:
            limits = config.limits
            self._front.http.limits = HttpLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.read_seconds,
                limits.idle_seconds,
            )
            self._perform(self.gateway.configure(config))
        self._perform(
            self.gateway.register(
                self.belief.targets,
                self.belief.domains_out,
                self._now(),
            ),
        )

    def _ask(self, ask: Ask) -> None:
        self._perform(self.gateway.ask(ask, self._now()))

    def _left(self, req: int) -> None:
        self._perform(self.gateway.caller_left(req, self._now()))

    def _opened(self, conn: int) -> None:
        self._perform(self.gateway.opened(conn, self._now()))

    def _replied(
        self,
        conn: int,
        reply: TargetReply,
        reusable: bool,
        keep_for: float | None,
    ) -> None:
        now = self._now()
        self._perform(
            self.gateway.replied(conn, reply, reusable, keep_for, now),
        )

    def _broken(self, conn: int, reason: str) -> None:
        self._perform(self.gateway.broken(conn, reason, self._now()))

    def _wake(self) -> None:
        self._timer = None
        self._wakes_at = float('inf')
        self._perform(self.gateway.wake(self._now()))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self._links.send(action)
            elif isinstance(action, Answer):
                self._front.answer(action)
            elif isinstance(action, OpenConnection):
                self._links.open(action)
            elif isinstance(action, CloseConnection):
                self._links.close(action)
            elif isinstance(action, Note):
                self._write(action.number, action.fields)
        self._arm()

    def _arm(self) -> None:
        due = self.gateway.next_wake()
        if due >= self._wakes_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(due, self._wake)
        self._wakes_at = due

    def _addresses(self, domain: str) -> list[str]:
        serving = self.members.serving(self._now())
        return caller_addresses(serving, domain)

    def _expose(self, exchange: Any) -> None:
        page = exposition(self.gateway.counts, {'requests': len(self.gateway)})
        exchange.reply(HTTP_OK, page, (('content-type', TEXT),))

    def _learnt(self, name: str, fields: Mapping[str, Any]) -> None:
        self._write(events.LEARNT[name], fields)

    def _regained(self, kind: str) -> None:
        if kind in self._lost:
            self._lost.discard(kind)
            self._write(events.STORE_REGAINED, {'kind': kind})

    def _write(
        self,
        number: int,
        fields: Mapping[str, Any],
        always: bool = False,
    ) -> None:
        self._log.event(number, fields, self._now(), always)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _seed_addresses(settings: VmSettings) -> list[str]:
    """Return where VMs listed as seeds hear heartbeats."""
    hosts = (seed.rpartition(':')[0] for seed in settings.seeds)
    return [f'{host}:{settings.first_port}' for host in hosts if host]


def settings_path() -> str:
    """Return the path of the settings file, from the environment."""
    return os.environ.get(words.SETTINGS_VARIABLE, '')

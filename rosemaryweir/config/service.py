"""Configuration at the agent: read it, pass it on, put it in force."""

from collections.abc import Iterable, Iterator, Mapping
from random import Random
from typing import Any

import msgspec

from rosemaryweir.config import note_service
from rosemaryweir.config.content import digest_of, encode_config
from rosemaryweir.config.fence import HEAD
from rosemaryweir.config.head import HEAD_KEY, decode_head
from rosemaryweir.config.loader import Loaded, Loader
from rosemaryweir.membership.calls import Calls
from rosemaryweir.membership.control import control_of
from rosemaryweir.membership.roster import address_of
from rosemaryweir.node.action import (
    Action,
    LogEvent,
    SendPeer,
    StoreGet,
    StoreUnwatch,
    StoreWatch,
)
from rosemaryweir.node.catalogue import register_event
from rosemaryweir.node.event import (
    CallerRequest,
    PeerMessage,
    StoreFailed,
    StoreObject,
    StoreReply,
    WatchEnded,
    WatchEvent,
)
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import (
    Configured,
    Content,
    Fetch,
    Head,
    Hello,
    Known,
)

__all__ = ['ConfigService', 'note_service']

CONFIG_IN_FORCE = register_event(
    500,
    'config.in_force',
    'info',
    'A newer configuration is in force on this VM.',
)
HEAD_UNREADABLE = register_event(
    501,
    'config.head_unreadable',
    'error',
    'The object config/head holds no head; what is in force stays.',
)

TOPIC = 'config'

#: Pause between two reads of the head by a VM that watches, in seconds.
POLL_S = 0.5

#: Age of the evidence from peers beyond which a VM reads for itself.
STALE_S = 1.5

#: Reads a second, over the whole fleet, of VMs that find no evidence.
FALLBACK_RATE = 100.0

#: Calls without answer beyond which no further one is made.
OUTSTANDING = 4

#: Pause before content is asked for again, in seconds.
REFETCH_S = 0.3

#: Size of the part of a configuration that one message carries.
MESSAGE_BYTES = 64 * 1024

#: Time after which an unsent message is worth nothing, in seconds.
SEND_S = 0.5


@part_of('agent')
class ConfigService(Part):
    """Keep the newest configuration in force on the VM."""

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.control = control_of(state)
        self._calls = Calls(TOPIC)
        self._stored = Loader()
        self._passed = Loader()
        self._due = 0.0
        self._refetch = 0.0
        self._watch = ''
        self._parts: list[str] = []
        self._roles: set[str] = set()

    def next_wake(self) -> float | None:
        """Return the time of the next read."""
        return 0.0 if self.control.accepted else self._due

    def wake(self, now: float) -> Iterator[Action]:
        """Put accepted notes in force; read the head if it is due."""
        while self.control.accepted:
            config = self.control.accepted.pop(0)
            digest = digest_of(encode_config(config))
            yield from self.put_in_force(Loaded(config, digest), now)
        if now >= self._due:
            yield from self._read_head(now)

    @handles(StoreReply, TOPIC)
    def take_reply(self, event: StoreReply, now: float) -> Iterator[Action]:
        """Take the head, or a chunk that it names."""
        call = self._calls.finish(event.call)
        if call is None:
            return
        if call.subject == HEAD_KEY:
            yield from self._take_heads(event.objects, now)
            self.control.fence.store_contact(HEAD, call.sent)
            unwritten = self.control.intents.settle_unwritten(
                self.control.told,
                call.sent,
            )
            self.control.unwritten.extend(unwritten)
        else:
            yield from self._take_chunk(event, now)

    @handles(StoreFailed, TOPIC)
    def take_failure(self, event: StoreFailed, now: float) -> Iterable[Action]:
        """Try again later."""
        call = self._calls.finish(event.call)
        if call is not None and call.subject != HEAD_KEY:
            self._stored.drop()
        if event.call == self._watch:
            self._watch = ''
        return ()

    @handles(WatchEvent, TOPIC)
    def take_change(self, event: WatchEvent, now: float) -> Iterator[Action]:
        """Take a new head at once."""
        yield from self._take_heads(event.objects, now)

    @handles(WatchEnded, TOPIC)
    def end_watch(self, event: WatchEnded, now: float) -> Iterable[Action]:
        """Watch again at the next read."""
        if event.call == self._watch:
            self._watch = ''
        return ()

    @handles(PeerMessage, 'heartbeat')
    @handles(PeerMessage, 'ack')
    def follow(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Fetch a configuration that a peer has and this VM lacks."""
        known: Known = event.message['known']
        newer = known['generation'] > self.state.config['generation']
        address = address_of(known, self.control.roster)
        if newer and address and now >= self._refetch:
            self._refetch = now + REFETCH_S
            yield self._fetch(event.sender, address, 0, now)

    @handles(PeerMessage, 'fetch')
    def pass_on(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Send a peer one part of the configuration in force."""
        fetch: Fetch = event.message  # type: ignore[assignment]
        vm = event.sender.partition('/')[0]
        member = self.control.roster.member(vm)
        config = self.state.config
        if member is None or fetch['generation'] >= config['generation']:
            return
        if fetch['chunk'] >= len(self._parts):
            return
        content = Content(
            kind='content',
            generation=config['generation'],
            digest=self.control.digest,
            note=config['note'],
            chunk=fetch['chunk'],
            chunks=len(self._parts),
            content=self._parts[fetch['chunk']],
        )
        yield SendPeer(
            event.sender,
            member['agent_peer'],
            content,
            now + SEND_S,
        )

    @handles(PeerMessage, 'content')
    def take_content(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Take one part of a configuration; ask for the next."""
        content: Content = event.message  # type: ignore[assignment]
        if content['generation'] <= self.state.config['generation']:
            return
        digest = content['digest']
        self._passed.want(content['generation'], digest, content['chunks'])
        loaded = self._passed.put(
            digest,
            content['chunk'],
            content['content'].encode(),
        )
        if loaded is not None:
            yield from self.put_in_force(loaded, now)
            return
        vm = event.sender.partition('/')[0]
        member = self.control.roster.member(vm)
        missing = next(self._passed.missing(), None)
        if member is not None and missing is not None:
            self._refetch = now + REFETCH_S
            address = member['agent_peer']
            yield self._fetch(event.sender, address, missing, now)

    @handles(PeerMessage, 'hello')
    def configure(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Bring a process of the VM up to date."""
        hello: Hello = event.message  # type: ignore[assignment]
        if event.sender.partition('/')[0] != self.state.uid.vm:
            return
        self._roles.add(hello['role'])
        if hello['generation'] < self.state.config['generation']:
            yield self._configured(hello['role'], now)

    @handles(CallerRequest, 'config')
    def show(self, event: CallerRequest, now: float) -> Iterator[Action]:
        """Show the configuration in force."""
        yield note_service.reply_ok(event.req, self.state.config)

    def put_in_force(self, loaded: Loaded, now: float) -> Iterator[Action]:
        """Put a newer configuration in force, here and in the VM."""
        config = loaded.config
        if config['generation'] <= self.state.config['generation']:
            return
        self.state.take_config(config)
        control = self.control
        control.told = max(control.told, config['generation'])
        control.digest = loaded.digest
        control.intents.settle_generation(config['generation'])
        control.urgent = True
        text = encode_config(config).decode()
        self._parts = [
            text[start : start + MESSAGE_BYTES]
            for start in range(0, len(text), MESSAGE_BYTES)
        ]
        yield LogEvent(CONFIG_IN_FORCE, {'generation': config['generation']})
        for role in sorted(self._roles):
            yield self._configured(role, now)

    def status(self, now: float) -> Mapping[str, Any]:
        """Return what is in force and how fresh the knowledge of it is."""
        return {
            'generation': self.state.config['generation'],
            'told': self.control.told,
            'note': self.state.config['note'],
            'fresh_ms': self.control.fence.fresh_ages(now),
            'suspended': self.control.intents.suspended(now),
        }

    def _read_head(self, now: float) -> Iterator[Action]:
        watches = self.control.watches()
        size = len(self.control.roster.peers()) + 1
        pause = POLL_S if watches else max(POLL_S, size / FALLBACK_RATE)
        self._due = now + pause
        stale = self.control.fence.age(HEAD, now) > STALE_S
        unsettled = bool(self.control.intents.suspended(now))
        if (watches or stale or unsettled) and len(self._calls) < OUTSTANDING:
            yield StoreGet(self._calls.start(HEAD_KEY, now), HEAD_KEY)
        yield from self._keep_watch(watches)

    def _keep_watch(self, watches: bool) -> Iterator[Action]:
        if watches and not self._watch:
            self._watch = self._calls.name()
            yield StoreWatch(self._watch, HEAD_KEY, 0)
        elif self._watch and not watches:
            yield StoreUnwatch(self._watch)
            self._watch = ''

    def _take_heads(
        self,
        objects: Iterable[StoreObject],
        now: float,
    ) -> Iterator[Action]:
        for obj in objects:
            if obj.key != HEAD_KEY:
                continue
            try:
                head = decode_head(obj)
            except msgspec.MsgspecError:
                yield LogEvent(HEAD_UNREADABLE, {'version': obj.version})
                continue
            yield from self._load(head, now)

    def _load(self, head: Head, now: float) -> Iterator[Action]:
        generation = head['generation']
        self.control.told = max(self.control.told, generation)
        if generation <= self.state.config['generation']:
            return
        chunks = head['chunks']
        if self._stored.want(generation, head['digest'], len(chunks)):
            for index, key in enumerate(chunks):
                subject = f'{head["digest"]}/{index}'
                yield StoreGet(self._calls.start(subject, now), key)

    def _take_chunk(
        self,
        event: StoreReply,
        now: float,
    ) -> Iterator[Action]:
        if not event.objects:
            self._stored.drop()
            return
        found = event.objects[0]
        _, digest, index = found.key.rsplit('/', 2)
        loaded = self._stored.put(digest, int(index), found.content)
        if loaded is not None:
            yield from self.put_in_force(loaded, now)

    def _fetch(
        self,
        sender: str,
        address: str,
        chunk: int,
        now: float,
    ) -> SendPeer:
        fetch = Fetch(
            kind='fetch',
            generation=self.state.config['generation'],
            chunk=chunk,
            views=dict(self.state.view_versions()),
        )
        return SendPeer(sender, address, fetch, now + SEND_S)

    def _configured(self, role: str, now: float) -> SendPeer:
        addresses = self.state.settings['addresses']
        configured = Configured(
            kind='configured',
            generation=self.state.config['generation'],
            content=''.join(self._parts),
        )
        return SendPeer(
            f'{self.state.uid.vm}/{role}',
            addresses['entry_peer' if role == 'entry' else 'leaf_peer'],
            configured,
            now + SEND_S,
        )

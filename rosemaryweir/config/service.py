"""Read the configuration from the store and put it in force on the VM."""

from collections.abc import Iterable, Iterator, Mapping
from random import Random
from typing import Any

import msgspec
from returns.result import Failure

from rosemaryweir.config.chunk_assembly import ChunkAssembler, ConfigUpdate
from rosemaryweir.config.config_in_force import DELTA_REFUSED
from rosemaryweir.config.delta_chain import (
    DeltaChainFetch,
    delta_key,
    notes_after,
)
from rosemaryweir.config.freshness import CONFIG_HEAD
from rosemaryweir.config.head import HEAD_KEY, decode_head
from rosemaryweir.config.note_responses import ok_response
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.store_calls import StoreCalls
from rosemaryweir.node.action import (
    Action,
    LogEvent,
    SendPeer,
    StoreGet,
    StoreUnwatch,
    StoreWatch,
)
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
    Head,
    Hello,
)
from rosemaryweir.telemetry.log_events import register_event

__all__ = ['ConfigService']

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
    'The object config/head cannot be decoded; the configuration in force '
    'stays.',
)

TOPIC = 'config'

#: Interval of reads of the head by a VM that watches the store, in seconds.
POLL_INTERVAL_S = 0.5

#: Delay before the head is read again if its content is missing, in s.
REREAD_DELAY_S = 0.2

#: Age of the evidence from peers after which a VM reads the head itself, in
#: seconds.
STALE_AFTER_S = 1.5

#: Maximum rate of such reads by all VMs together.
FALLBACK_READS_PER_S = 100.0

#: Number of unanswered calls at which the head is not read again.
MAX_OPEN_CALLS = 4

#: Prefix of the subject of a read of a delta; its digest follows.
DELTA_SUBJECT_PREFIX = 'delta/'

#: Time after which an unsent message is dropped, in seconds.
SEND_TIMEOUT_S = 0.5


@part_of('agent')
class ConfigService(Part):
    """Keep the newest configuration in force on the VM."""

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.agent_state = agent_state_of(state)
        self._calls = StoreCalls(TOPIC)
        self._assembler = ChunkAssembler()
        self._delta_fetch = DeltaChainFetch()
        self._head: Head | None = None
        self._refused_generation = 0
        self._content_missing = False
        self._read_due = 0.0
        self._watch = ''
        self._hellos: dict[str, Hello] = {}

    def next_wake(self) -> float | None:
        """Return the time of the next action."""
        return 0.0 if self.agent_state.pending_configs else self._read_due

    def wake(self, now: float) -> Iterator[Action]:
        """Put pending configurations in force; read the head if it is due."""
        while self.agent_state.pending_configs:
            yield from self.put_in_force(
                self.agent_state.pending_configs.pop(0),
                now,
            )
        if now >= self._read_due:
            yield from self._read_head(now)

    @handles(StoreReply, TOPIC)
    def take_reply(self, event: StoreReply, now: float) -> Iterator[Action]:
        """Handle the head, or a delta or a chunk that it names."""
        call = self._calls.finish(event.call)
        if call is None:
            return
        if call.subject == HEAD_KEY:
            self._content_missing = False
            yield from self._take_heads(event.objects, now)
            self.agent_state.freshness.record_store_read(CONFIG_HEAD, call.sent)
            unwritten = self.agent_state.intents.settle_unwritten(
                self.agent_state.newest_generation,
                call.sent,
            )
            self.agent_state.unwritten_notes.extend(unwritten)
        elif call.subject.startswith(DELTA_SUBJECT_PREFIX):
            digest = call.subject.removeprefix(DELTA_SUBJECT_PREFIX)
            yield from self._take_delta(digest, event, now)
        else:
            yield from self._take_chunk(event, now)

    @handles(StoreFailed, TOPIC)
    def take_failure(self, event: StoreFailed, now: float) -> Iterable[Action]:
        """Drop partly fetched content; the next read fetches it again."""
        call = self._calls.finish(event.call)
        if call is not None and call.subject != HEAD_KEY:
            self._assembler.reset()
            self._delta_fetch.reset()
        if event.call == self._watch:
            self._watch = ''
        return ()

    @handles(WatchEvent, TOPIC)
    def take_change(self, event: WatchEvent, now: float) -> Iterator[Action]:
        """Handle a changed head."""
        yield from self._take_heads(event.objects, now)

    @handles(WatchEnded, TOPIC)
    def end_watch(self, event: WatchEnded, now: float) -> Iterable[Action]:
        """Mark the watch as ended; the next read of the head renews it."""
        if event.call == self._watch:
            self._watch = ''
        return ()

    @handles(PeerMessage, 'hello')
    def configure(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Register a process of this VM; send it a newer configuration."""
        hello: Hello = event.message  # type: ignore[assignment]
        if event.sender.partition('/')[0] != self.state.uid.vm:
            return
        self._hellos[hello['role']] = hello
        if hello['generation'] < self.state.config['generation']:
            yield self._configured_message(hello, now)

    @handles(CallerRequest, 'config')
    def show(self, event: CallerRequest, now: float) -> Iterator[Action]:
        """Respond with the configuration in force."""
        yield ok_response(event.req, self.state.config)

    def put_in_force(
        self,
        update: ConfigUpdate,
        now: float,
    ) -> Iterator[Action]:
        """Put a newer configuration in force here and in the VM's processes."""
        agent_state = self.agent_state
        if not agent_state.config_in_force.replace(update):
            return
        generation = update.generation
        agent_state.newest_generation = max(
            agent_state.newest_generation,
            generation,
        )
        agent_state.intents.settle_generation(generation)
        agent_state.announce_now = True
        yield LogEvent(CONFIG_IN_FORCE, {'generation': generation})
        for _, hello in sorted(self._hellos.items()):
            yield self._configured_message(hello, now)

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the generation in force and the ages of reads of the store."""
        return {
            'generation': self.state.config['generation'],
            'told': self.agent_state.newest_generation,
            'note': self.state.config['note'],
            'fresh_ms': self.agent_state.freshness.store_read_ages(now),
            'suspended': self.agent_state.intents.suspended_domains(now),
        }

    def _read_head(self, now: float) -> Iterator[Action]:
        watches = self.agent_state.watches_store()
        size = len(self.agent_state.roster.peers()) + 1
        urgent = watches or self._content_missing
        pause = (
            POLL_INTERVAL_S
            if urgent
            else max(POLL_INTERVAL_S, size / FALLBACK_READS_PER_S)
        )
        self._read_due = now + pause
        stale = (
            self.agent_state.freshness.store_read_age(CONFIG_HEAD, now)
            > STALE_AFTER_S
        )
        unsettled = bool(self.agent_state.intents.suspended_domains(now))
        if (urgent or stale or unsettled) and len(self._calls) < MAX_OPEN_CALLS:
            yield StoreGet(self._calls.start(HEAD_KEY, now), HEAD_KEY)
        yield from self._update_watch(watches)

    def _update_watch(self, watches: bool) -> Iterator[Action]:
        if watches and not self._watch:
            self._watch = self._calls.new_id()
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
        self.agent_state.newest_generation = max(
            self.agent_state.newest_generation,
            generation,
        )
        if generation <= self.state.config['generation']:
            return
        self._head = head
        notes = notes_after(head, self.state.config['generation'])
        if notes is None or generation == self._refused_generation:
            yield from self._load_whole(head, now)
            return
        for digest in self._delta_fetch.expect(notes):
            call = self._calls.start(f'{DELTA_SUBJECT_PREFIX}{digest}', now)
            yield StoreGet(call, delta_key(digest))

    def _load_whole(self, head: Head, now: float) -> Iterator[Action]:
        chunks = head['chunks']
        generation = head['generation']
        if self._assembler.expect(generation, head['digest'], len(chunks)):
            for index, key in enumerate(chunks):
                subject = f'{head["digest"]}/{index}'
                yield StoreGet(self._calls.start(subject, now), key)

    def _take_delta(
        self,
        digest: str,
        event: StoreReply,
        now: float,
    ) -> Iterator[Action]:
        found = event.objects[0] if event.objects else None
        if found is None or not self._delta_fetch.add(digest, found.content):
            yield from self._refuse_deltas('missing link', now)
            return
        made = self.agent_state.config_in_force.try_deltas(
            self._delta_fetch.complete(),
        )
        if isinstance(made, Failure):
            yield from self._refuse_deltas(made.failure(), now)
        elif made.unwrap().deltas:
            yield from self.put_in_force(made.unwrap(), now)

    def _refuse_deltas(self, reason: str, now: float) -> Iterator[Action]:
        """Fetch full content instead, as long as this head is the newest."""
        yield LogEvent(DELTA_REFUSED, {'source': 'store', 'reason': reason})
        self._delta_fetch.reset()
        head = self._head
        if head is not None:
            self._refused_generation = head['generation']
            yield from self._load(head, now)

    def _take_chunk(
        self,
        event: StoreReply,
        now: float,
    ) -> Iterator[Action]:
        if not event.objects:
            self._schedule_reread(now)
            return
        found = event.objects[0]
        _, digest, index = found.key.rsplit('/', 2)
        update = self._assembler.add(digest, int(index), found.content)
        if update is not None:
            yield from self.put_in_force(update, now)

    def _schedule_reread(self, now: float) -> None:
        """Read the head again soon; content of the known one was deleted."""
        self._assembler.reset()
        self._content_missing = True
        self._read_due = min(self._read_due, now + REREAD_DELAY_S)

    def _configured_message(self, hello: Hello, now: float) -> SendPeer:
        addresses = self.state.settings['addresses']
        role = hello['role']
        in_force = self.agent_state.config_in_force
        configured = Configured(
            kind='configured',
            generation=self.state.config['generation'],
            content='',
        )
        deltas = (
            in_force.deltas_after(hello['generation'])
            if hello.get('deltas')
            else []
        )
        if deltas:
            configured['generation'] = deltas[-1]['generation']
            configured['deltas'] = deltas
        else:
            configured['content'] = in_force.json_text()
        return SendPeer(
            f'{self.state.uid.vm}/{role}',
            addresses['entry_peer' if role == 'entry' else 'leaf_peer'],
            configured,
            now + SEND_TIMEOUT_S,
        )

"""Receive operators' notes at the agent, write them and respond."""

from collections import deque
from collections.abc import Iterator, Mapping
from random import Random
from typing import Any, NamedTuple

from returns.result import Failure

from rosemaryweir.config.head import NoteOutcome, NoteWriter
from rosemaryweir.config.intent_announcement import IntentAnnouncement
from rosemaryweir.config.note import check, plan
from rosemaryweir.config.note_responses import (
    HTTP_UNAVAILABLE,
    findings_response,
    ok_response,
    outcome_response,
    refusal_response,
)
from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.relay_tree import children, rank_of
from rosemaryweir.node.action import Action, LogEvent, SendPeer
from rosemaryweir.node.event import (
    CallerRequest,
    PeerMessage,
    StoreFailed,
    StoreReply,
)
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import (
    IntentAck,
    IntentSent,
    Member,
    PlanAnswer,
    Settled,
)
from rosemaryweir.telemetry.log_events import register_event

__all__ = ['NoteService']

NOTE_SETTLED = register_event(
    510,
    'note.settled',
    'info',
    'The outcome of a release note is known: accepted, already applied or '
    'refused.',
)
INTENT_SETTLED = register_event(
    511,
    'note.intent_settled',
    'info',
    'It is known whether an announced withdrawal was accepted.',
)

TOPIC = 'note'

#: Maximum number of notes that wait at one agent.
MAX_QUEUED_NOTES = 16

#: Interval of checks whether the generation in the head has arrived here, in
#: seconds.
SYNC_POLL_S = 0.05

#: Time after which an operator gets a response in any case, in seconds.
ANSWER_TIMEOUT_S = 10.0

#: Interval at which the members of the views are recorded, in seconds.
VIEWS_POLL_S = 1.0

#: Maximum number of randomly chosen peers that a settled intent is sent to.
MAX_SETTLED_RECIPIENTS = 4

#: Time after which an unsent message is dropped, in seconds.
SEND_TIMEOUT_S = 0.5


class Submission(NamedTuple):
    """A note, its request and the time at which it was received."""

    req: int
    note: Mapping[str, Any]
    received: float


@part_of('agent')
class NoteService(Part):
    """Process operators' notes, one at a time."""

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.agent_state = agent_state_of(state)
        self._queue: deque[Submission] = deque()
        self._current: Submission | None = None
        self._writer: NoteWriter | None = None
        self._answered = False
        self._note_count = 0
        self._announcement = IntentAnnouncement(state.uid, rng)
        self._sync_checked = 0.0
        self._views_due = 0.0

    def next_wake(self) -> float | None:
        """Return the time of the next action."""
        writer = self._writer
        if self.agent_state.unwritten_notes:
            return 0.0
        if writer is None:
            return self._views_due
        waits = [writer.next_wake(), self._views_due]
        if writer.step == 'announcing':
            waits.append(self._announcement.ack_deadline)
        if writer.step == 'syncing':
            waits.append(self._sync_checked + SYNC_POLL_S)
        if not self._answered:
            waits.append(self._answer_deadline())
        return min((wait for wait in waits if wait is not None), default=None)

    def wake(self, now: float) -> Iterator[Action]:
        """Continue the current note; forward settled intents to peers."""
        self._views_due = now + VIEWS_POLL_S
        self._announcement.recent_members.observe(self.state.views, now)
        while self.agent_state.unwritten_notes:
            note = self.agent_state.unwritten_notes.pop()
            message = Settled(kind='settled', note=note, generation=0)
            yield from self._forward_settled(message, now)
        writer = self._writer
        if writer is None:
            return
        yield from writer.wake(now)
        yield from self._advance(now)
        if self._writer is writer and now >= self._answer_deadline():
            yield from self._answer_at_deadline(now)

    def busy(self, now: float) -> bool:
        """Return whether an operator waits for a response."""
        return self._writer is not None and not self._answered

    @handles(CallerRequest, 'note')
    def submit(self, event: CallerRequest, now: float) -> Iterator[Action]:
        """Queue a note, or refuse it if the queue is full."""
        if len(self._queue) >= MAX_QUEUED_NOTES:
            yield refusal_response(
                event.req,
                HTTP_UNAVAILABLE,
                'overloaded',
                'the queue of notes is full',
            )
            return
        self._queue.append(Submission(event.req, event.body, now))
        yield from self._start_next(now)

    @handles(CallerRequest, 'plan')
    def show_plan(self, event: CallerRequest, now: float) -> Iterator[Action]:
        """Respond with the changes that a note would make."""
        config = self.state.config
        checked = check(event.body, config)
        if isinstance(checked, Failure):
            found = checked.failure()
            yield findings_response(event.req, found)
            return
        note = checked.unwrap()
        body = PlanAnswer(
            note=note['note'],
            base=config['generation'],
            plan=plan(note, config),
        )
        yield ok_response(event.req, body)

    @handles(StoreReply, TOPIC)
    def take_reply(self, event: StoreReply, now: float) -> Iterator[Action]:
        """Continue the current note with the reply of the store."""
        if self._writer is not None:
            yield from self._writer.take_reply(event, self.state.config)
            yield from self._advance(now)

    @handles(StoreFailed, TOPIC)
    def take_failure(self, event: StoreFailed, now: float) -> Iterator[Action]:
        """Schedule a retry of the failed call, or end the note."""
        if self._writer is not None and self._writer.take_failure(event, now):
            yield from self._advance(now)

    @handles(PeerMessage, 'intent')
    def take_intent(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Record an announced intent and acknowledge it."""
        message: IntentSent = event.message  # type: ignore[assignment]
        self.agent_state.intents.add(message['intent'], now)
        vm = event.sender.partition('/')[0]
        member = self.agent_state.roster.member(vm)
        if member is not None:
            ack = IntentAck(kind='intent_ack', note=message['intent']['note'])
            yield _send(member, ack, now)

    @handles(PeerMessage, 'intent_ack')
    def take_ack(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Record a peer's acknowledgement of the announced intent."""
        vm = event.sender.partition('/')[0]
        if self._announcement.acknowledge(event.message['note'], vm):
            yield from self._advance(now)

    @handles(PeerMessage, 'settled')
    def take_settled(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Settle an intent, and forward the message if it was pending."""
        message: Settled = event.message  # type: ignore[assignment]
        if message['generation']:
            self.agent_state.newest_generation = max(
                self.agent_state.newest_generation,
                message['generation'],
            )
        if self.agent_state.intents.settle(message['note']):
            yield LogEvent(INTENT_SETTLED, {'note': message['note']})
            yield from self._forward_settled(message, now)

    def status(self, now: float) -> Mapping[str, Any]:
        """Return the step of the current note and the length of the queue."""
        return {
            'step': self._writer.step if self._writer else 'idle',
            'waiting': len(self._queue),
        }

    def _start_next(self, now: float) -> Iterator[Action]:
        if self._writer is not None or not self._queue:
            return
        self._current = self._queue.popleft()
        self._note_count += 1
        self._answered = False
        self._announcement.intent_id = ''
        topic = f'{TOPIC}:{self._note_count}'
        uid = self.state.uid
        name = f'{uid.vm}-{uid.incarnation}-{self._note_count}'
        self._writer = NoteWriter(self._current.note, topic, name, now)
        self._sync_checked = now
        yield from self._writer.begin()

    def _answer_deadline(self) -> float:
        received = self._current.received if self._current else 0.0
        return received + ANSWER_TIMEOUT_S

    def _advance(self, now: float) -> Iterator[Action]:
        writer = self._writer
        if writer is None:
            return
        if writer.step == 'syncing':
            self._sync_checked = now
            writer.resume(self.state.config)
        if writer.step == 'announcing':
            yield from self._announce(writer, now)
        if writer.outcome is not None:
            yield from self._settle(writer, writer.outcome, now)

    def _announce(self, writer: NoteWriter, now: float) -> Iterator[Action]:
        announcement = self._announcement
        expired = now >= announcement.ack_deadline
        if not writer.withdrawn:
            yield from writer.write()
        elif not announcement.intent_id:
            yield from self._send_intent(writer, now)
        elif announcement.all_acknowledged or (
            expired and announcement.majority_acknowledged
        ):
            yield from writer.write()
        elif expired:
            yield from self._revoke_intent(now)
            yield from self._send_intent(writer, now)

    def _send_intent(self, writer: NoteWriter, now: float) -> Iterator[Action]:
        announcement = self._announcement
        generation = writer.expected_generation
        intent = announcement.begin(generation, writer.withdrawn, now)
        self.agent_state.intents.add(intent, now)
        announcement.recent_members.observe(self.state.views, now)
        for member in announcement.choose_recipients(now):
            yield _send(member, IntentSent(kind='intent', intent=intent), now)
        if announcement.all_acknowledged:
            yield from writer.write()

    def _revoke_intent(self, now: float) -> Iterator[Action]:
        """Tell peers that the note of an intent will not be written."""
        if self._announcement.intent_id:
            yield from self._settle_intent(0, now)

    def _settle_intent(self, generation: int, now: float) -> Iterator[Action]:
        note = self._announcement.intent_id
        self._announcement.intent_id = ''
        self.agent_state.intents.settle(note)
        message = Settled(kind='settled', note=note, generation=generation)
        yield from self._forward_settled(message, now)

    def _settle(
        self,
        writer: NoteWriter,
        outcome: NoteOutcome,
        now: float,
    ) -> Iterator[Action]:
        self._writer = None
        current = self._current
        yield LogEvent(
            NOTE_SETTLED,
            {
                'note': writer.note.get('note'),
                'state': outcome.state,
                'generation': outcome.generation,
            },
        )
        if current is not None and not self._answered:
            yield outcome_response(current.req, writer, outcome)
        if outcome.state == 'accepted' and writer.update is not None:
            self.agent_state.pending_configs.append(writer.update)
            self.agent_state.accepted_generations.append(outcome.generation)
        if self._announcement.intent_id:
            accepted = outcome.state == 'accepted'
            generation = outcome.generation if accepted else 0
            yield from self._settle_intent(generation, now)
        yield from self._start_next(now)

    def _answer_at_deadline(self, now: float) -> Iterator[Action]:
        if self._answered or self._current is None or self._writer is None:
            return
        self._answered = True
        not_written = self._writer.step in {'reading', 'syncing', 'announcing'}
        outcome = _outcome_at_deadline(self._writer.step, not_written)
        yield outcome_response(self._current.req, self._writer, outcome)
        if not_written:
            yield from self._revoke_intent(now)
            self._writer = None
            yield from self._start_next(now)

    def _forward_settled(
        self,
        message: Settled,
        now: float,
    ) -> Iterator[Action]:
        peers = list(self.agent_state.roster.peers().values())
        ranked = self.agent_state.ranked_members()
        tree_children = children(rank_of(self.state.uid.vm, ranked), ranked)
        sampled = self.rng.sample(
            peers,
            min(MAX_SETTLED_RECIPIENTS, len(peers)),
        )
        for member in {
            each['vm']: each for each in [*tree_children, *sampled]
        }.values():
            yield _send(member, message, now)


def _outcome_at_deadline(step: str, not_written: bool) -> NoteOutcome:
    if step == 'announcing':
        detail = 'too few VMs acknowledged; send the note to another VM'
        return NoteOutcome('isolated', detail=detail)
    return NoteOutcome(
        'store_down' if not_written else 'unknown',
        detail='the store does not respond; send the same note again',
    )


def _send(
    member: Member,
    message: Mapping[str, Any],
    now: float,
) -> SendPeer:
    return SendPeer(
        f'{member["vm"]}/agent',
        member['agent_peer'],
        message,
        now + SEND_TIMEOUT_S,
    )
